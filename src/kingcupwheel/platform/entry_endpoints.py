"""What callers and the platform ask of an entry beside requests."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import parse_qs

import msgspec


if TYPE_CHECKING:
    from collections.abc import Iterable

READY_PATH = "/v1/ready"
ADDRESSES_PATH = "/v1/resolve"
# The most addresses that callers take from one answer.
MAX_ADDRESSES = 64


class _Addresses(msgspec.Struct, rename="pascal"):
    addresses: list[str]
    # How long a caller may keep the answer; some keep it three times as long.
    ttl_s: float


def parse_data_centre(query: str) -> str:
    """Return the data centre of the caller that asks for addresses."""
    return parse_qs(query).get("Zone", [""])[0]


def encode_addresses(addresses: Iterable[str], keep_s: float) -> bytes:
    """Return the answer to a caller that asks where to connect."""
    return msgspec.json.encode(_Addresses(list(addresses)[:MAX_ADDRESSES], keep_s))
