"""HTTP endpoints of an entry for readiness probes and address resolution."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import parse_qs

import msgspec


if TYPE_CHECKING:
    from collections.abc import Iterable

READY_PATH = "/v1/ready"
ADDRESSES_PATH = "/v1/resolve"
# Callers use no more addresses of a response.
MAX_ADDRESSES = 64


class _Addresses(msgspec.Struct, rename="pascal"):
    addresses: list[str]
    # How long a caller may cache the response; some cache it three times as long.
    ttl_s: float


def parse_data_centre(query: str) -> str:
    """Return the caller's data centre from the query of an address request."""
    return parse_qs(query).get("Zone", [""])[0]


def encode_addresses(addresses: Iterable[str], keep_s: float) -> bytes:
    """Return the response body to an address request."""
    return msgspec.json.encode(_Addresses(list(addresses)[:MAX_ADDRESSES], keep_s))
