"""Reads a caller's request from the HTTP server and writes the answer."""

from __future__ import annotations

from time import monotonic
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from kingcupwheel.entry.answers import BufferedAnswer
from kingcupwheel.entry.answers import RefusedAnswer
from kingcupwheel.entry.answers import StreamedAnswer
from kingcupwheel.entry.exceptions import BodyTruncatedError
from kingcupwheel.entry.http_exchange import extract_headers
from kingcupwheel.entry.http_exchange import format_status_line
from kingcupwheel.entry.http_server import CLOSE_ENVIRON_KEY
from kingcupwheel.entry.http_server import SOCKET_ENVIRON_KEY
from kingcupwheel.entry.refusals import build_refusal_body
from kingcupwheel.forwarding.admission import ReceivedRequest
from kingcupwheel.platform.headers import read_attempt_id
from kingcupwheel.utils.request_ids import generate_request_id


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from kingcupwheel.entry.answers import Answer
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

    def read_request(self, entry: str, body_limit: int) -> ReceivedRequest:
        """Read the request, at most one byte more than ``body_limit`` of its body.

        After a longer body the connection is closed, since the rest of the body would
        be taken for the next request. The body of one that is broken off is empty.
        """
        headers = extract_headers(self._environ)
        target = self._environ.get("REQUEST_URI") or self._environ["PATH_INFO"]
        if isinstance(target, bytes):
            target = target.decode("latin-1")
        body, is_complete = b"", True
        try:
            body = self._environ["wsgi.input"].read(body_limit + 1)
        except BodyTruncatedError:
            is_complete = False
        if len(body) > body_limit or not is_complete:
            self.close_after_answer()
        own_id = str(generate_request_id(entry, now=self._received_at))
        return ReceivedRequest(
            id=read_attempt_id(headers) or own_id,
            method=str(self._environ["REQUEST_METHOD"]),
            target=target,
            headers=headers,
            body=body,
            received_at=self._received_at,
            is_complete=is_complete,
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
