"""Reads and writes the JSON of the users' object store; any bytes may come in."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec

from kingcupwheel.platform.decoding import decode_json
from kingcupwheel.platform.store_types import ObjectChange
from kingcupwheel.platform.store_types import ObjectPage
from kingcupwheel.platform.store_types import StoredObject
from kingcupwheel.platform.store_types import WatchResult
from kingcupwheel.telemetry.json_logs import lines_of


if TYPE_CHECKING:
    from collections.abc import Mapping

    from expression import Result

T = TypeVar("T")

log = lines_of("store")

# Of an object that can't be read so much goes into the log.
_MAX_LOGGED_BYTES = 120


class _Metadata(msgspec.Struct, rename="pascal"):
    name: str = ""
    revision: int = 0
    # A revision too, not a time.
    created: int = 0
    # Marked for removal, held back by its finalizers.
    deleting: bool = False


class _ObjectRecord(msgspec.Struct, rename="pascal"):
    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")


class _PageRecord(msgspec.Struct, rename="pascal"):
    # Decoded one by one: an object of another shape must not cost the others.
    items: list[msgspec.Raw] = []
    more: bool = False
    # The revision of the whole store, not of an object.
    store_revision: int = 0


class _EventRecord(msgspec.Struct, rename="pascal"):
    object: _ObjectRecord
    # The object is gone; it is sent as it was last.
    tombstone: bool = False


class _EventsRecord(msgspec.Struct):
    # Alone among the store's own fields it comes in lower case.
    events: list[msgspec.Raw] = []
    store_revision: int = msgspec.field(default=0, name="StoreRevision")


def encode_object(metadata: Mapping[str, object], body: bytes) -> bytes:
    """Return an object as it is written; ``body`` is its encoded specification."""
    return msgspec.json.encode({"Metadata": metadata, "Spec": msgspec.Raw(body)})


def decode_object(raw: bytes) -> Result[StoredObject, str]:
    """Return one object, or what is wrong with it."""
    return decode_json(raw, _ObjectRecord).map(_build_object)


def decode_page(raw: bytes) -> Result[ObjectPage, str]:
    """Return a part of a list; objects that can't be read are left out."""
    return decode_json(raw, _PageRecord).map(_build_page)


def decode_changes(raw: bytes) -> Result[WatchResult, str]:
    """Return what a watch tells; events that can't be read are left out."""
    return decode_json(raw, _EventsRecord).map(_build_changes)


def _decode_valid(raws: list[msgspec.Raw], kind: type[T]) -> list[T]:
    """Return those of ``raws`` that can be read as a ``kind``.

    Failure: another writer has put an object of another shape beside the servers'.
    Symptom: the whole list is refused, and an entry that starts knows no server. What
    can't be read names nothing that is used, so nothing is lost without it.
    """
    found: list[T] = []
    for raw in raws:
        read = decode_json(raw, kind)
        if read.is_error():
            log.warning("object-unreadable", why=read.error, begins=_log_excerpt(raw))
        else:
            found.append(read.ok)
    return found


def _log_excerpt(raw: msgspec.Raw) -> str:
    return bytes(raw)[:_MAX_LOGGED_BYTES].decode(errors="replace")


def _build_page(found: _PageRecord) -> ObjectPage:
    objects = tuple(map(_build_object, _decode_valid(found.items, _ObjectRecord)))
    after = objects[-1].name if found.more and objects else ""
    return ObjectPage(objects, found.store_revision, after)


def _build_object(item: _ObjectRecord) -> StoredObject:
    metadata = item.metadata
    return StoredObject(
        name=metadata.name,
        revision=metadata.revision,
        created_revision=metadata.created,
        body=bytes(item.spec),
        is_deleting=metadata.deleting,
    )


def _build_changes(found: _EventsRecord) -> WatchResult:
    events = _decode_valid(found.events, _EventRecord)
    changes = (ObjectChange(_build_object(one.object), one.tombstone) for one in events)
    return WatchResult(tuple(changes), found.store_revision)
