"""The WSGI application that callers talk to."""

from __future__ import annotations

import logging
import time
from http import HTTPStatus
from threading import Lock
from time import monotonic
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from kingcupwheel.entry.answers import RefusedAnswer
from kingcupwheel.entry.answers import StreamedAnswer
from kingcupwheel.entry.answers import WholeAnswer
from kingcupwheel.entry.exceptions import AnswerCutError
from kingcupwheel.entry.gateway import CLOSE_KEY
from kingcupwheel.entry.gateway import SOCKET_KEY
from kingcupwheel.entry.parsing import HttpRequest
from kingcupwheel.entry.parsing import check_sizes
from kingcupwheel.entry.parsing import organisation_of
from kingcupwheel.entry.parsing import parse
from kingcupwheel.entry.refusals import BODY_TOO_LARGE
from kingcupwheel.entry.refusals import BUSY
from kingcupwheel.entry.refusals import LEAVING
from kingcupwheel.entry.refusals import NO_MANIFEST
from kingcupwheel.entry.refusals import Refusal
from kingcupwheel.entry.refusals import body_of
from kingcupwheel.entry.running import RequestRun
from kingcupwheel.entry.watching import SocketWatch
from kingcupwheel.trace.events import Finished
from kingcupwheel.trace.events import Received
from kingcupwheel.trace.events import Refused
from kingcupwheel.utils.request_ids import new_request_id


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator

    from kingcupwheel.entry.answers import Answer
    from kingcupwheel.entry.callers import CallerPages
    from kingcupwheel.entry.context import EntryContext
    from kingcupwheel.entry.requests import CallerRequest
    from kingcupwheel.manifest.inforce import InForce

logger = logging.getLogger("kingcupwheel.entry")

REQUEST_ID_HEADER = "Kingcupwheel-Request-Id"
OUTCOME_HEADER = "Kingcupwheel-Outcome"
OWN_PREFIX = "/kingcupwheel/"
# What a refused caller is still listened to: twice the longest body, in small parts.
_DISCARDED_BODIES = 2
_DISCARDED_BYTES = 65_536


class Application:
    """Answers callers; ``in_force`` returns the manifest to use for a new request."""

    def __init__(
        self,
        context: EntryContext,
        in_force: Callable[[], InForce | None],
        pages: CallerPages,
    ) -> None:
        self._context = context
        self._in_force = in_force
        self._pages = pages
        self._in_progress = 0
        self._closed = False
        self._lock = Lock()

    @property
    def in_progress(self) -> int:
        """Requests not yet answered to their end."""
        return self._in_progress

    def refuse_new(self) -> None:
        """Refuse every request from now on; those in progress go on."""
        self._closed = True

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answer one request."""
        exchange = _Exchange(self._context, environ, start_response)
        if self._context.leaving.is_set():
            exchange.close_after()
        if not self._enter():
            # The server would read whatever body comes before the next request; here
            # it is not even listened to, because few threads are left.
            exchange.close_after()
            return exchange.refuse(BUSY)
        try:
            body = self._answer(exchange)
        except BaseException:
            self._leave()
            raise
        return self._until_sent(body)

    def _enter(self) -> bool:
        with self._lock:
            if self._in_progress >= self._context.settings.entry.threads:
                return False
            self._in_progress += 1
        return True

    def _leave(self) -> None:
        with self._lock:
            self._in_progress -= 1

    def _until_sent(self, body: Iterable[bytes]) -> Iterator[bytes]:
        """Yield ``body``; the request counts as in progress until it is sent."""
        try:
            yield from body
        finally:
            self._leave()

    def _answer(self, exchange: _Exchange) -> Iterable[bytes]:
        limits = self._context.settings.entry
        in_force = self._in_force()
        if self._closed or in_force is None:
            exchange.discard_body(limits.body_bytes)
            return exchange.refuse(LEAVING if self._closed else NO_MANIFEST)
        refusal = check_sizes(
            exchange.headers,
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
        )
        if refusal is not None:
            exchange.discard_body(_DISCARDED_BODIES * limits.body_bytes)
            return exchange.refuse(refusal)
        found = organisation_of(exchange.headers, in_force)
        if found.is_error():
            # Little, because anybody may send it and hold a thread meanwhile.
            exchange.discard_body(_DISCARDED_BYTES)
            return exchange.refuse(found.error)
        if exchange.path.startswith(OWN_PREFIX):
            page = self._pages.answer(exchange.method, exchange.path, found.ok)
            return exchange.send(page.status, (), msgspec.json.encode(page.body))
        body = exchange.read_body(limits.body_bytes)
        if body is None:
            exchange.close_after()
            return exchange.refuse(BODY_TOO_LARGE)
        parsed = parse(
            exchange.http_request(body),
            found.ok,
            in_force,
            request_id=exchange.request_id,
            now=exchange.received_at,
        )
        if parsed.is_error():
            return exchange.refuse(parsed.error)
        self._record_received(parsed.ok)
        watch = SocketWatch(exchange.socket)
        return exchange.pass_on(RequestRun(self._context, parsed.ok, watch).answer())

    def _record_received(self, request: CallerRequest) -> None:
        event = Received(
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


class _Exchange:
    """One request and its response in WSGI's terms."""

    def __init__(
        self,
        context: EntryContext,
        environ: dict[str, Any],
        start_response: Callable[..., Any],
    ) -> None:
        self._context = context
        self._environ = environ
        self._start_response = start_response
        self.received_at = monotonic()
        name = context.settings.name
        self.request_id = str(new_request_id(name, now=time.time()))
        self.headers = _headers_of(environ)

    @property
    def method(self) -> str:
        return str(self._environ["REQUEST_METHOD"])

    @property
    def path(self) -> str:
        return str(self._environ.get("PATH_INFO", "/"))

    @property
    def socket(self) -> Any:
        return self._environ.get(SOCKET_KEY)

    def close_after(self) -> None:
        """Close the connection after this answer."""
        close = self._environ.get(CLOSE_KEY)
        if close is not None:
            close()

    def read_body(self, limit: int) -> bytes | None:
        """Return the body, or None if it is longer than ``limit`` bytes."""
        body: bytes = self._environ["wsgi.input"].read(limit + 1)
        return body if len(body) <= limit else None

    def discard_body(self, limit: int) -> None:
        """Read and drop up to ``limit`` bytes, then close after the answer.

        Failure: a connection is closed while the caller still sends. Symptom: it gets a
        reset in place of the refusal. Past the limit that has to be accepted.
        """
        left = limit
        while left > 0:
            part = self._environ["wsgi.input"].read(min(left, _DISCARDED_BYTES))
            if not part:
                break
            left -= len(part)
        self.close_after()

    def http_request(self, body: bytes) -> HttpRequest:
        host = self.headers.get("host", "").rsplit(":", 1)[0].lower()
        query = str(self._environ.get("QUERY_STRING", ""))
        return HttpRequest(self.method, host, self.path, query, self.headers, body)

    def refuse(self, refusal: Refusal) -> Iterable[bytes]:
        """Answer a request that did not get as far as being run, and record why."""
        record = self._context.recorder.record
        event = Refused(refusal.limit, refusal.message, refusal.retry_after_s)
        record(self.request_id, event)
        outcome = refusal.outcome.value
        record(self.request_id, Finished(outcome, refusal.status, 0, refusal.limit))
        return self._send_refusal(refusal)

    def _send_refusal(self, refusal: Refusal) -> Iterable[bytes]:
        body = msgspec.json.encode({"error": body_of(refusal, self.request_id)})
        headers: list[tuple[str, str]] = [(OUTCOME_HEADER, refusal.outcome.value)]
        if refusal.retry_after_s > 0:
            headers.append(("Retry-After", str(max(1, round(refusal.retry_after_s)))))
        return self.send(refusal.status, tuple(headers), body)

    def send(
        self, status: int, headers: tuple[tuple[str, str], ...], body: bytes
    ) -> Iterable[bytes]:
        """Answer with a whole JSON body."""
        kind = ("Content-Type", "application/json")
        length = ("Content-Length", str(len(body)))
        self._start(status, (kind, length, *headers))
        return (body,)

    def pass_on(self, answer: Answer) -> Iterable[bytes]:
        """Send what a request came to."""
        match answer:
            case RefusedAnswer(refusal):
                return self._send_refusal(refusal)
            case WholeAnswer(status, headers, body, outcome):
                length = ("Content-Length", str(len(body)))
                told = (OUTCOME_HEADER, outcome.value)
                self._start(status, (*headers, length, told))
                return (body,)
            case StreamedAnswer(status, headers, stream):
                self._start(status, headers)
                return self._stream(stream)

    def _stream(self, stream: Iterator[bytes]) -> Iterator[bytes]:
        try:
            yield from stream
        except AnswerCutError as error:
            logger.warning("Answer cut: %s. [%s]", error, self.request_id)
            raise

    def _start(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        told = (REQUEST_ID_HEADER, self.request_id)
        self._start_response(_status_line(status), [*headers, told])


def _status_line(status: int) -> str:
    try:
        phrase = HTTPStatus(status).phrase
    except ValueError:
        phrase = "Status"
    return f"{status} {phrase}"


def _headers_of(environ: dict[str, Any]) -> dict[str, str]:
    headers = {
        name[5:].replace("_", "-").lower(): str(value)
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    for name in ("CONTENT_TYPE", "CONTENT_LENGTH"):
        value = environ.get(name)
        if value:
            headers[name.replace("_", "-").lower()] = str(value)
    return headers
