"""The WSGI application for callers."""

from __future__ import annotations

import logging
from contextlib import ExitStack
from threading import Lock
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from kingcupwheel.entry.body_memory import BodyMemory
from kingcupwheel.entry.caller_connection import CallerSocket
from kingcupwheel.entry.http_exchange import HttpExchange
from kingcupwheel.entry.http_exchange import close_after
from kingcupwheel.entry.refusals import ENTRY_BUSY
from kingcupwheel.entry.refusals import ENTRY_LEAVING
from kingcupwheel.entry.refusals import NO_MANIFEST
from kingcupwheel.entry.request_parser import authenticate_organisation
from kingcupwheel.entry.request_parser import check_sizes
from kingcupwheel.entry.request_parser import parse_request
from kingcupwheel.entry.request_runner import RequestRunner
from kingcupwheel.trace.events import RequestReceived


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from kingcupwheel.entry.body_memory import RequestBody
    from kingcupwheel.entry.caller_pages import CallerPages
    from kingcupwheel.entry.caller_requests import CallerRequest
    from kingcupwheel.entry.context import EntryContext
    from kingcupwheel.manifest.compiled_manifest import CompiledManifest

logger = logging.getLogger("kingcupwheel.entry")

PAGES_PREFIX = "/kingcupwheel/"


class Application:
    """Answers callers; ``get_manifest`` returns the manifest for new requests.

    All requests share the memory ``bodies``, without a limit by default.
    """

    def __init__(
        self,
        context: EntryContext,
        get_manifest: Callable[[], CompiledManifest | None],
        caller_pages: CallerPages,
        bodies: BodyMemory | None = None,
    ) -> None:
        self._context = context
        self._get_manifest = get_manifest
        self._caller_pages = caller_pages
        self._bodies = bodies or BodyMemory(float("inf"))
        self._in_progress = 0
        self._is_closed = False
        self._lock = Lock()

    @property
    def in_progress_count(self) -> int:
        """Number of requests whose answers are not yet sent completely."""
        return self._in_progress

    def stop_accepting(self) -> None:
        """Refuse all new requests; those in progress continue."""
        self._is_closed = True

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answer one request."""
        exchange = HttpExchange(self._context, environ, start_response)
        if self._context.leaving.is_set():
            exchange.close_connection_after()
        if not self._try_begin_request():
            # On a kept connection the server would read the rest of the body before
            # the next request. It is closed instead, because few threads are left.
            exchange.close_connection_after()
            return exchange.refuse(ENTRY_BUSY)
        with ExitStack() as stack:
            stack.callback(self._end_request)
            body = self._bodies.open()
            stack.callback(body.close)
            answer = self._answer(exchange, body)
            return close_after(answer, stack.pop_all())

    def _try_begin_request(self) -> bool:
        with self._lock:
            if self._in_progress >= self._context.settings.entry.threads:
                return False
            self._in_progress += 1
        return True

    def _end_request(self) -> None:
        with self._lock:
            self._in_progress -= 1

    def _answer(self, exchange: HttpExchange, held: RequestBody) -> Iterable[bytes]:
        settings = self._context.settings.entry
        manifest = self._get_manifest()
        if self._is_closed or manifest is None:
            return exchange.refuse(ENTRY_LEAVING if self._is_closed else NO_MANIFEST)
        refusal = check_sizes(
            exchange.headers,
            header_bytes=settings.header_bytes,
            body_bytes=settings.body_bytes,
        )
        if refusal is not None:
            return exchange.refuse(refusal)
        authenticated = authenticate_organisation(exchange.headers, manifest)
        if authenticated.is_error():
            return exchange.refuse(authenticated.error)
        if exchange.path.startswith(PAGES_PREFIX):
            page = self._caller_pages.get_page(
                exchange.method, exchange.path, authenticated.ok
            )
            return exchange.send_json(page.status, (), msgspec.json.encode(page.body))
        refusal = exchange.read_body(held, settings.body_bytes)
        if refusal is not None:
            return exchange.refuse(refusal)
        body = bytes(held.data or b"")
        held.set(b"")
        parsed = parse_request(
            exchange.build_http_request(body),
            authenticated.ok,
            manifest,
            request_id=exchange.request_id,
            received_at=exchange.received_at,
        )
        if parsed.is_error():
            return exchange.refuse(parsed.error)
        self._record_received(parsed.ok)
        connection = CallerSocket(exchange.socket)
        return exchange.send_answer(
            RequestRunner(self._context, parsed.ok, connection).run()
        )

    def _record_received(self, request: CallerRequest) -> None:
        event = RequestReceived(
            request.method,
            request.path,
            len(request.body),
            request.organisation.name,
            request.route.path,
            request.group.name,
            request.manifest_version,
            request.route.repeatable,
            request.idempotency_key,
        )
        self._context.recorder.record(request.request_id, event)
