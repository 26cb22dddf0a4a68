"""Headers that no process passes on, by lower-case name."""

from __future__ import annotations


# Those of one connection: RFC 9110, 7.6.1, with the older ones still seen.
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
# Those of one request message, which whoever sends it on writes anew.
PER_REQUEST_HEADERS = frozenset({"content-length", "expect", "host"})
