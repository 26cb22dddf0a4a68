"""HTTP headers that are not forwarded, in lower case."""

from __future__ import annotations


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
