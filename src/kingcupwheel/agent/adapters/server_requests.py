"""Requests to a backend server, and the response headers passed on to callers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from urllib3 import HTTPHeaderDict

from kingcupwheel.utils.http_headers import HOP_BY_HOP_HEADERS
from kingcupwheel.utils.http_headers import PER_REQUEST_HEADERS


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from kingcupwheel.messages.attempts import Dispatch

REQUEST_ID_HEADER = "X-Request-Id"
# Headers of a single connection, or of the call between agent and server only.
_REQUEST_HEADERS_DROPPED = HOP_BY_HOP_HEADERS | PER_REQUEST_HEADERS | {"x-request-id"}
_ANSWER_HEADERS_DROPPED = HOP_BY_HOP_HEADERS | {
    "content-length",
    "date",
    "server",
    "x-engine-life",
    "x-request-id",
}


class ServerRequest(NamedTuple):
    """HTTP request to the server."""

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes | None


def build_server_request(dispatch: Dispatch, run_id: str) -> ServerRequest:
    """Return the request to send for the dispatch, with its run id as a header."""
    headers = HTTPHeaderDict()
    for name, value in dispatch.headers:
        if name.lower() not in _REQUEST_HEADERS_DROPPED:
            headers.add(name, value)
    headers[REQUEST_ID_HEADER] = run_id
    headers["Connection"] = "close"
    return ServerRequest(dispatch.method, dispatch.path, headers, dispatch.body)


def build_run_id(dispatch: Dispatch, *, number: int = 1) -> str:
    """Return the id that identifies the attempt's ``number``-th send to the server.

    Each send that may run has its own id: if the server runs a delayed copy as well, a
    stream is never resumed from the other run, whose bytes may differ.
    """
    run_id = f"{dispatch.request_id}-{dispatch.attempt}"
    return run_id if number == 1 else f"{run_id}.{number}"


def build_get_request(path: str) -> ServerRequest:
    """Return a GET request without a body."""
    return ServerRequest("GET", path, {"Connection": "close"}, None)


def filter_visible_headers(
    headers: Iterable[tuple[str, str]],
) -> tuple[tuple[str, str], ...]:
    """Return the response headers that are passed on to the caller."""
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in _ANSWER_HEADERS_DROPPED
    )
