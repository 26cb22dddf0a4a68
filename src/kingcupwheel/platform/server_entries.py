"""Decodes the backend servers' own entries in the users' store."""

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
from kingcupwheel.utils.numbers import whole_number


if TYPE_CHECKING:
    from kingcupwheel.platform.store_types import StoredObject

# Each object is one server and is named by its id, which it may keep from life to life.
SERVERS_KIND = "servers"

_MS = 1000.0
_MAX_PORT = 65_535
# The id goes out in a header of each request; no server has a longer one.
_MAX_NAME_LENGTH = 200


class _ServerEntry(msgspec.Struct, rename="pascal"):
    """All fields that every server writes; an entry without one is another writer's."""

    service: Annotated[str, msgspec.Meta(min_length=1)]
    address: str
    zone: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
    state: Literal["ready", "draining"]
    cold_remaining_ms: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    # Unix milliseconds of its start; told apart from the rest in lower case.
    born: StartTimeMs = msgspec.field(default=0, name="born")


def decode_server(stored: StoredObject) -> Result[Backend, str]:
    """Return the server, or why this entry names none."""
    if not _is_header_token(stored.name):
        return Error("no server has such a name")
    read = decode_json(stored.body, _ServerEntry)
    if read.is_error():
        return Error(read.error)
    found = read.ok
    if not _is_address(found.address):
        return Error("the address is not an IP and a port")
    return Ok(
        Backend(
            instance=stored.name,
            service=found.service,
            address=found.address,
            data_centre=found.zone,
            places=found.slots,
            leaving=found.state == "draining" or stored.is_deleting,
            cold_s=found.cold_remaining_ms / _MS,
            created=stored.created_revision,
            born_ms=found.born,
        )
    )


def _is_header_token(name: str) -> bool:
    readable = name.isascii() and name.isprintable() and " " not in name
    return readable and 0 < len(name) <= _MAX_NAME_LENGTH


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    try:
        IPv4Address(host)
    except AddressValueError:
        return False
    return 0 < (whole_number(port) or 0) <= _MAX_PORT
