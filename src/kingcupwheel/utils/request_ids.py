"""Request ids, which contain the entry and the arrival time.

A request is therefore found by its id without an index.
"""

from __future__ import annotations

import secrets
from typing import NamedTuple


_SEPARATOR = "."
_RANDOM_SUFFIX_BYTES = 5


class RequestId(NamedTuple):
    """A parsed request id.

    ``entry`` is the entry's name, ``arrived_at_ms`` the arrival of the request in Unix
    milliseconds, ``random_suffix`` makes the id unique.
    """

    entry: str
    arrived_at_ms: int
    random_suffix: str

    def __str__(self) -> str:
        return _SEPARATOR.join(
            (self.entry, f"{self.arrived_at_ms:x}", self.random_suffix)
        )


def generate_request_id(entry: str, *, now: float) -> RequestId:
    """Return a new id of a request that reached ``entry`` at ``now`` (Unix seconds)."""
    return RequestId(entry, int(now * 1000), secrets.token_hex(_RANDOM_SUFFIX_BYTES))


def parse_request_id(text: str) -> RequestId | None:
    """Return ``text`` as a request id, or None if it is not valid."""
    parts = text.rsplit(_SEPARATOR, 2)
    if len(parts) != 3 or not all(parts):
        return None
    try:
        return RequestId(parts[0], int(parts[1], 16), parts[2])
    except ValueError:
        return None
