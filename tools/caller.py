"""An HTTP client of entries for demonstrations, tests and measurements."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import msgspec
import urllib3


if TYPE_CHECKING:
    from collections.abc import Iterator

_READ_TIMEOUT_S = 60.0
_OUTCOME_EVENT = b"event: kingcupwheel\ndata: "


class Reply(NamedTuple):
    """An entry's reply to a call.

    ``outcome`` is the outcome stated by the entry, empty if there is none;
    ``is_complete`` is False if the connection was cut; ``body`` excludes the outcome
    event that the entry appends.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    outcome: str
    is_complete: bool
    first_byte_s: float
    duration_s: float

    @property
    def request_id(self) -> str:
        """The request id given by the entry, empty if there is none."""
        return self.headers.get("kingcupwheel-request-id", "")

    @property
    def json(self) -> Any:
        """The body decoded from JSON."""
        return msgspec.json.decode(self.body)


class ConnectionFailure(NamedTuple):
    """A call whose connection failed before any reply."""

    detail: str


class Caller:
    """A thread-safe client that calls entries with one organisation's key."""

    def __init__(self, api_key: str, *, timeout_s: float = _READ_TIMEOUT_S) -> None:
        self._api_key = api_key
        self._pool = urllib3.PoolManager(
            maxsize=256,
            retries=False,
            timeout=urllib3.Timeout(connect=5.0, read=timeout_s),
        )

    def call(
        self,
        address: str,
        path: str,
        body: Any = None,
        *,
        method: str = "POST",
        idempotency_key: str = "",
        headers: dict[str, str] | None = None,
    ) -> Reply | ConnectionFailure:
        """Send one request and read its reply to the end."""
        started = time.monotonic()
        sent = {"Authorization": f"Bearer {self._api_key}", **(headers or {})}
        if idempotency_key:
            sent["Idempotency-Key"] = idempotency_key
        payload = None if body is None else msgspec.json.encode(body)
        url = f"http://{address}{path}"
        try:
            response = self._pool.request(
                method, url, body=payload, headers=sent, preload_content=False
            )
        except urllib3.exceptions.HTTPError as error:
            return ConnectionFailure(str(error))
        return _read_reply(response, started)

    def measure_chunk_gaps(self, address: str, path: str, body: Any) -> list[float]:
        """Return the times in seconds between the chunks of a streamed answer."""
        response = self._pool.request(
            "POST",
            f"http://{address}{path}",
            body=msgspec.json.encode(body),
            headers={"Authorization": f"Bearer {self._api_key}"},
            preload_content=False,
        )
        gaps: list[float] = []
        last = 0.0
        for _ in _read_chunks(response):
            now = time.monotonic()
            if last:
                gaps.append(now - last)
            last = now
        response.release_conn()
        return gaps


def _read_reply(response: urllib3.BaseHTTPResponse, started: float) -> Reply:
    parts: list[bytes] = []
    first_at = 0.0
    whole = True
    try:
        for part in _read_chunks(response):
            first_at = first_at or time.monotonic()
            parts.append(part)
    except (urllib3.exceptions.HTTPError, OSError):
        whole = False
    finally:
        response.release_conn()
    body, outcome = _split_outcome(b"".join(parts))
    headers = {name.lower(): value for name, value in response.headers.items()}
    outcome = outcome or headers.get("kingcupwheel-outcome", "")
    now = time.monotonic()
    first_byte_s = (first_at or now) - started
    return Reply(
        response.status, headers, body, outcome, whole, first_byte_s, now - started
    )


def _read_chunks(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    while part := response.read1():
        yield part


def _split_outcome(body: bytes) -> tuple[bytes, str]:
    """Split a body into the backend server's answer and the entry's outcome."""
    answer, separator, event_data = body.rpartition(_OUTCOME_EVENT)
    if not separator:
        return body, ""
    return answer, str(msgspec.json.decode(event_data)["outcome"])
