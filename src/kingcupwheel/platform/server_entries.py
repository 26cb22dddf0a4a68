"""Decoder of backend servers' entries in the users' store."""

from __future__ import annotations

from ipaddress import AddressValueError
from ipaddress import IPv4Address
from typing import TYPE_CHECKING
from typing import Annotated
from typing import Literal

import msgspec
from expression import Error
from expression import Ok
from expression import Result

from kingcupwheel.forwarding.backends import Backend
from kingcupwheel.platform.decoding import StartTimeMs
from kingcupwheel.platform.decoding import decode_json
from kingcupwheel.utils.integer_parsing import parse_non_negative_int


if TYPE_CHECKING:
    from kingcupwheel.platform.store_types import StoredObject

# Each object is a server and is named by its id, which may outlive a restart.
SERVERS_KIND = "servers"

_MS_PER_S = 1000.0
_MAX_PORT = 65_535
# The id is sent in a header of each request; no server has a longer one.
_MAX_NAME_LENGTH = 200


class _ServerEntry(msgspec.Struct, rename="pascal"):
    """Fields that every server writes; an entry without one is not a server's."""

    service: Annotated[str, msgspec.Meta(min_length=1)]
    address: str
    zone: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
    state: Literal["ready", "draining"]
    cold_remaining_ms: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    # Unlike the other fields in lower case.
    born: StartTimeMs = msgspec.field(default=0, name="born")


def decode_server(stored: StoredObject) -> Result[Backend, str]:
    """Return the server, or why the entry is invalid."""
    if not _is_header_token(stored.name):
        return Error("the name is not a valid server id")
    result = decode_json(stored.body, _ServerEntry)
    if result.is_error():
        return Error(result.error)
    entry = result.ok
    if not _is_address(entry.address):
        return Error("the address is not an IPv4 address and a port")
    return Ok(
        Backend(
            instance=stored.name,
            service=entry.service,
            address=entry.address,
            data_centre=entry.zone,
            capacity=entry.slots,
            is_leaving=entry.state == "draining" or stored.is_deleting,
            warmup_left_s=entry.cold_remaining_ms / _MS_PER_S,
            created_revision=stored.created_revision,
            started_at_ms=entry.born,
        )
    )


def _is_header_token(name: str) -> bool:
    is_printable = name.isascii() and name.isprintable() and " " not in name
    return is_printable and 0 < len(name) <= _MAX_NAME_LENGTH


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    try:
        IPv4Address(host)
    except AddressValueError:
        return False
    return 0 < (parse_non_negative_int(port) or 0) <= _MAX_PORT
