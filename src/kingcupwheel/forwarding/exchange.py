"""Reads a caller's request from the HTTP server and writes the answer."""

from __future__ import annotations

from time import monotonic
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from kingcupwheel.entry.answers import BufferedAnswer
from kingcupwheel.entry.answers import RefusedAnswer
from kingcupwheel.entry.answers import StreamedAnswer
from kingcupwheel.entry.body_refusals import read_or_refuse
from kingcupwheel.entry.body_source import MAX_BODY_WAIT_S
from kingcupwheel.entry.http_exchange import extract_headers
from kingcupwheel.entry.http_exchange import format_status_line
from kingcupwheel.entry.http_server import CLOSE_ENVIRON_KEY
from kingcupwheel.entry.http_server import SOCKET_ENVIRON_KEY
from kingcupwheel.entry.refusals import build_refusal_body
from kingcupwheel.forwarding.admission import ReceivedRequest
from kingcupwheel.platform.headers import read_attempt_id
from kingcupwheel.platform.headers import read_request_headers
from kingcupwheel.utils.request_ids import generate_request_id


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from kingcupwheel.entry.answers import Answer
    from kingcupwheel.entry.body_memory import RequestBody
    from kingcupwheel.entry.refusals import Refusal

Environ = dict[str, Any]


class HttpExchange:
    """One request and its answer on the WSGI interface; not thread-safe."""

    def __init__(self, environ: Environ, start_response: Callable[..., Any]) -> None:
        self._environ = environ
        self._start_response = start_response
        self._received_at = monotonic()

    @property
    def socket(self) -> Any:
        """The caller's socket, None outside the HTTP server."""
        return self._environ.get(SOCKET_ENVIRON_KEY)

    def close_after_answer(self) -> None:
        """Close the connection after this answer."""
        close = self._environ.get(CLOSE_ENVIRON_KEY)
        if close is not None:
            close()

    def read_request(
        self, entry: str, body: RequestBody, body_limit: int
    ) -> ReceivedRequest:
        """Read the request, and its body into ``body`` if there is room for it.

        A body that is not read is empty, and the connection is closed after the answer:
        the rest of it would be taken for the next request.
        """
        headers = extract_headers(self._environ)
        target = self._environ.get("REQUEST_URI") or self._environ["PATH_INFO"]
        if isinstance(target, bytes):
            target = target.decode("latin-1")
        refusal = self._read_body(headers, body, body_limit)
        own_id = str(generate_request_id(entry, now=self._received_at))
        return ReceivedRequest(
            id=read_attempt_id(headers) or own_id,
            method=str(self._environ["REQUEST_METHOD"]),
            target=target,
            headers=headers,
            body=body,
            received_at=self._received_at,
            body_refusal=refusal,
        )

    def _read_body(
        self, headers: Mapping[str, str], body: RequestBody, body_limit: int
    ) -> Refusal | None:
        """Read the body; return why it was not read, None if it was."""
        timeout_s = read_request_headers(headers).timeout_s
        wait_s = min(MAX_BODY_WAIT_S, timeout_s or MAX_BODY_WAIT_S)
        return read_or_refuse(
            self._environ["wsgi.input"],
            body,
            limit_bytes=body_limit,
            deadline_at=self._received_at + wait_s,
        )

    def send_answer(self, answer: Answer, request_id: str) -> Iterable[bytes]:
        """Start the response and return its body."""
        match answer:
            case RefusedAnswer(refusal):
                return self._refuse(refusal, request_id)
            case BufferedAnswer(status, headers, body):
                length = ("Content-Length", str(len(body)))
                self._start_response(format_status_line(status), [*headers, length])
                return (body,)
            case StreamedAnswer(status, headers, stream):
                self._start_response(format_status_line(status), list(headers))
                return stream

    def _refuse(self, refusal: Refusal, request_id: str) -> Iterable[bytes]:
        body = msgspec.json.encode({"error": build_refusal_body(refusal, request_id)})
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        if refusal.retry_after_s > 0:
            headers.append(("Retry-After", f"{refusal.retry_after_s:.2f}"))
        self._start_response(format_status_line(refusal.status), headers)
        return (body,)
