"""Splits a byte stream into server-sent events."""

from __future__ import annotations

import re
from typing import NamedTuple


# Further empty lines belong to the event before, so that many of them are one match.
_END_OF_EVENT = re.compile(rb"(?:\r?\n){2,}")
# Bytes at the end of incomplete data that may begin the end of an event.
_END_OVERLAP_BYTES = 3
# A line with another name, or a comment, is no part of an event.
_FIELD_NAMES = frozenset({b"data", b"event", b"id", b"retry"})


class StreamEvent(NamedTuple):
    """One complete event: its unchanged bytes and its id, empty if it has none.

    ``is_empty`` tells that it has no fields: it consists of comments, if of anything.
    """

    raw: bytes
    id: str
    is_empty: bool = False


class EventSplitter:
    """Buffers data until its events are complete.

    A caller never gets a part of an event, so another server can resume the stream with
    the event that was interrupted.
    """

    def __init__(self) -> None:
        self._pending = bytearray()
        # Up to here no event ends, so that no byte is searched twice.
        self._searched_bytes = 0

    @property
    def is_between_events(self) -> bool:
        """Whether no incomplete event is buffered."""
        return not self._pending

    @property
    def pending_bytes(self) -> int:
        """Length of the incomplete event."""
        return len(self._pending)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that are completed by ``data``."""
        self._pending += data
        events: list[StreamEvent] = []
        begin, searched = 0, self._searched_bytes
        while end := _END_OF_EVENT.search(self._pending, searched):
            events.append(_read_event(bytes(self._pending[begin : end.end()])))
            begin = searched = end.end()
        del self._pending[:begin]
        self._searched_bytes = max(0, len(self._pending) - _END_OVERLAP_BYTES)
        return events


def _read_event(raw: bytes) -> StreamEvent:
    event_id, is_empty = "", True
    for line in raw.splitlines():
        name, _, value = line.partition(b":")
        is_empty = is_empty and name not in _FIELD_NAMES
        if name == b"id" and not event_id:
            event_id = value.strip().decode("ascii", "replace")
    return StreamEvent(raw, event_id, is_empty)
