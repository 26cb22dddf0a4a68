"""HTTP request and response of one caller over WSGI."""

from __future__ import annotations

import logging
import time
from http import HTTPStatus
from time import monotonic
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from kingcupwheel.entry.answers import BufferedAnswer
from kingcupwheel.entry.answers import RefusedAnswer
from kingcupwheel.entry.answers import StreamedAnswer
from kingcupwheel.entry.body_refusals import read_or_refuse
from kingcupwheel.entry.body_source import MAX_BODY_WAIT_S
from kingcupwheel.entry.exceptions import AnswerTruncatedError
from kingcupwheel.entry.http_server import CLOSE_ENVIRON_KEY
from kingcupwheel.entry.http_server import SOCKET_ENVIRON_KEY
from kingcupwheel.entry.refusals import build_refusal_body
from kingcupwheel.entry.request_parser import HttpRequest
from kingcupwheel.trace.events import RequestFinished
from kingcupwheel.trace.events import RequestRefused
from kingcupwheel.utils.request_ids import generate_request_id


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator
    from contextlib import ExitStack

    from kingcupwheel.entry.answers import Answer
    from kingcupwheel.entry.body_memory import RequestBody
    from kingcupwheel.entry.context import EntryContext
    from kingcupwheel.entry.refusals import Refusal

logger = logging.getLogger("kingcupwheel.entry")

REQUEST_ID_HEADER = "Kingcupwheel-Request-Id"
OUTCOME_HEADER = "Kingcupwheel-Outcome"


class HttpExchange:
    """Reads a request and writes its response; not thread-safe."""

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
        self.request_id = str(generate_request_id(name, now=time.time()))
        self.headers = extract_headers(environ)

    @property
    def method(self) -> str:
        """HTTP method of the request."""
        return str(self._environ["REQUEST_METHOD"])

    @property
    def path(self) -> str:
        """Path of the request without the query."""
        return str(self._environ.get("PATH_INFO", "/"))

    @property
    def socket(self) -> Any:
        """Socket of the caller's connection, None outside the HTTP server."""
        return self._environ.get(SOCKET_ENVIRON_KEY)

    def close_connection_after(self) -> None:
        """Close the connection after this response."""
        close = self._environ.get(CLOSE_ENVIRON_KEY)
        if close is not None:
            close()

    def read_body(self, body: RequestBody, limit_bytes: int) -> Refusal | None:
        """Read the body into ``body``; return the refusal if it can't be read."""
        return read_or_refuse(
            self._environ["wsgi.input"],
            body,
            limit_bytes=limit_bytes,
            deadline_at=self.received_at + MAX_BODY_WAIT_S,
        )

    def build_http_request(self, body: bytes) -> HttpRequest:
        """Return the request in the form that is parsed."""
        host = self.headers.get("host", "").rsplit(":", 1)[0].lower()
        query = str(self._environ.get("QUERY_STRING", ""))
        return HttpRequest(self.method, host, self.path, query, self.headers, body)

    def refuse(self, refusal: Refusal) -> Iterable[bytes]:
        """Send and record the refusal of a request that has not been run."""
        record = self._context.recorder.record
        event = RequestRefused(refusal.reason, refusal.message, refusal.retry_after_s)
        record(self.request_id, event)
        outcome = refusal.outcome.value
        record(
            self.request_id, RequestFinished(outcome, refusal.status, 0, refusal.reason)
        )
        return self._send_refusal(refusal)

    def _send_refusal(self, refusal: Refusal) -> Iterable[bytes]:
        body = msgspec.json.encode(
            {"error": build_refusal_body(refusal, self.request_id)}
        )
        headers: list[tuple[str, str]] = [(OUTCOME_HEADER, refusal.outcome.value)]
        if refusal.retry_after_s > 0:
            headers.append(("Retry-After", str(max(1, round(refusal.retry_after_s)))))
        return self.send_json(refusal.status, tuple(headers), body)

    def send_json(
        self, status: int, headers: tuple[tuple[str, str], ...], body: bytes
    ) -> Iterable[bytes]:
        """Send a response with a JSON body."""
        content_type = ("Content-Type", "application/json")
        length = ("Content-Length", str(len(body)))
        self._send_head(status, (content_type, length, *headers))
        return (body,)

    def send_answer(self, answer: Answer) -> Iterable[bytes]:
        """Send the result of a request."""
        match answer:
            case RefusedAnswer(refusal):
                return self._send_refusal(refusal)
            case BufferedAnswer(status, headers, body, outcome):
                length = ("Content-Length", str(len(body)))
                outcome_header = (OUTCOME_HEADER, outcome.value)
                self._send_head(status, (*headers, length, outcome_header))
                return (body,)
            case StreamedAnswer(status, headers, stream):
                self._send_head(status, headers)
                return self._stream_body(stream)

    def _stream_body(self, stream: Iterator[bytes]) -> Iterator[bytes]:
        try:
            yield from stream
        except AnswerTruncatedError as error:
            logger.warning("Answer truncated: %s. [%s]", error, self.request_id)
            raise

    def _send_head(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        request_id_header = (REQUEST_ID_HEADER, self.request_id)
        self._start_response(format_status_line(status), [*headers, request_id_header])


def close_after(answer: Iterable[bytes], resources: ExitStack) -> Iterator[bytes]:
    """Yield the body of an answer, then close the request's resources."""
    with resources:
        yield from answer


def format_status_line(status: int) -> str:
    """Return the status code and its phrase in WSGI's format."""
    try:
        phrase = HTTPStatus(status).phrase
    except ValueError:
        phrase = "Status"
    return f"{status} {phrase}"


def extract_headers(environ: dict[str, Any]) -> dict[str, str]:
    """Return the headers of a WSGI request by lower-case name."""
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
