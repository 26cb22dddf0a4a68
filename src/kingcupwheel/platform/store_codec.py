"""JSON codec of the users' object store; accepts arbitrary bytes."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec

from kingcupwheel.platform.decoding import decode_json
from kingcupwheel.platform.json_parts import replace_unreadable
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

# Excerpt of an invalid object in the log.
_MAX_LOGGED_BYTES = 120
# How deep the specification of an object stands in a list and in changes.
_PAGE_LEVELS = 3
_EVENTS_LEVELS = 4


class _Metadata(msgspec.Struct, rename="pascal"):
    name: str = ""
    revision: int = 0
    # The revision at creation, not a time.
    created: int = 0
    # Marked for deletion, which its finalizers delay.
    deleting: bool = False


class _ObjectRecord(msgspec.Struct, rename="pascal"):
    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")


class _PageRecord(msgspec.Struct, rename="pascal"):
    # Decoded one by one: an invalid object must not invalidate the others.
    items: list[msgspec.Raw] = []
    more: bool = False
    # Revision of the whole store, not of an object.
    store_revision: int = 0


class _EventRecord(msgspec.Struct, rename="pascal"):
    object: _ObjectRecord
    # The object was deleted; its last state is sent.
    tombstone: bool = False


class _EventsRecord(msgspec.Struct):
    # The only field of the store's own that is in lower case.
    events: list[msgspec.Raw] = []
    store_revision: int = msgspec.field(default=0, name="StoreRevision")


def encode_object(metadata: Mapping[str, object], body: bytes) -> bytes:
    """Return an object encoded for a write; ``body`` is its encoded specification."""
    return msgspec.json.encode({"Metadata": metadata, "Spec": msgspec.Raw(body)})


def decode_object(raw: bytes) -> Result[StoredObject, str]:
    """Return a decoded object, or why it is invalid."""
    return decode_json(raw, _ObjectRecord).map(_build_object)


def decode_page(raw: bytes) -> Result[ObjectPage, str]:
    """Return a decoded page of a list without its invalid objects."""
    return _decode_tolerantly(raw, _PageRecord, _PAGE_LEVELS).map(_build_page)


def decode_changes(raw: bytes) -> Result[WatchResult, str]:
    """Return the decoded result of a watch without its invalid events."""
    return _decode_tolerantly(raw, _EventsRecord, _EVENTS_LEVELS).map(_build_changes)


def _decode_tolerantly(raw: bytes, kind: type[T], levels: int) -> Result[T, str]:
    """Decode a document in which values from the ``levels``th level on are unreadable.

    The decoder fails the whole document for one of them. They are then null.
    """
    decoded = decode_json(raw, kind)
    if decoded.is_ok():
        return decoded
    return decode_json(replace_unreadable(raw, levels), kind)


def _decode_valid(raws: list[msgspec.Raw], kind: type[T]) -> list[T]:
    """Return the valid items of ``raws``, decoded as ``kind``; log the others.

    Other writers may store objects of another shape beside the servers'. If one such
    object invalidated the whole list, an entry that starts would know no server.
    Invalid objects describe nothing that the system uses.
    """
    valid: list[T] = []
    for raw in raws:
        result = decode_json(raw, kind)
        if result.is_error():
            log.warning("object-unreadable", why=result.error, begins=_log_excerpt(raw))
        else:
            valid.append(result.ok)
    return valid


def _log_excerpt(raw: msgspec.Raw) -> str:
    return bytes(raw)[:_MAX_LOGGED_BYTES].decode(errors="replace")


def _build_page(record: _PageRecord) -> ObjectPage:
    objects = tuple(map(_build_object, _decode_valid(record.items, _ObjectRecord)))
    after = objects[-1].name if record.more and objects else ""
    return ObjectPage(objects, record.store_revision, after)


def _build_object(item: _ObjectRecord) -> StoredObject:
    metadata = item.metadata
    return StoredObject(
        name=metadata.name,
        revision=metadata.revision,
        created_revision=metadata.created,
        body=bytes(item.spec),
        is_deleting=metadata.deleting,
    )


def _build_changes(record: _EventsRecord) -> WatchResult:
    events = _decode_valid(record.events, _EventRecord)
    changes = (
        ObjectChange(_build_object(event.object), event.tombstone) for event in events
    )
    return WatchResult(tuple(changes), record.store_revision)
