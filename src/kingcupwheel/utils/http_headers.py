"""HTTP headers that are not forwarded, and the declared length of a body."""

from __future__ import annotations

from typing import TYPE_CHECKING

from kingcupwheel.utils.integer_parsing import parse_non_negative_int


if TYPE_CHECKING:
    from collections.abc import Mapping

# Headers of one connection: RFC 9110, section 7.6.1, and obsolete ones still in use.
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# Headers of one request message; whoever forwards the request sets its own.
PER_REQUEST_HEADERS = frozenset({"content-length", "expect", "host"})


def is_body_truncated(headers: Mapping[str, str], body: bytes | bytearray) -> bool:
    """Return whether ``body`` is shorter than its headers declare.

    Failure: the caller's connection ends in the middle of a body, and the HTTP server
    reads what arrived as if it were all. Symptom: a server runs half of the request. A
    chunked body has an end of its own, without which the HTTP server rejects it.
    """
    if "transfer-encoding" in headers:
        return False
    length = parse_non_negative_int(headers.get("content-length", ""))
    return length is not None and len(body) < length
