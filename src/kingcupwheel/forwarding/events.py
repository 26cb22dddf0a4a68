"""Splits a byte stream into server-sent events."""

from __future__ import annotations

from typing import NamedTuple


class StreamEvent(NamedTuple):
    """One complete event: its unchanged bytes and its id, empty if it has none."""

    raw: bytes
    id: str


class EventSplitter:
    """Buffers data until its events are complete.

    A caller never gets a part of an event, so another server can resume the stream with
    the event that was interrupted.
    """

    def __init__(self) -> None:
        self._pending = b""

    @property
    def is_between_events(self) -> bool:
        """Whether no incomplete event is buffered."""
        return not self._pending

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that are completed by ``data``."""
        self._pending += data
        events: list[StreamEvent] = []
        while (end := _end_of_event(self._pending)) > 0:
            raw, self._pending = self._pending[:end], self._pending[end:]
            events.append(StreamEvent(raw, _id_of(raw)))
        return events


def _end_of_event(data: bytes) -> int:
    ends = [
        at + len(mark)
        for mark in (b"\n\n", b"\r\n\r\n")
        if (at := data.find(mark)) >= 0
    ]
    return min(ends, default=0)


def _id_of(raw: bytes) -> str:
    for line in raw.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id":
            return value.strip().decode("ascii", "replace")
    return ""
