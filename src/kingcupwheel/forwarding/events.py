"""Splits a stream of server-sent events, however its bytes arrive."""

from __future__ import annotations

from typing import NamedTuple


class StreamEvent(NamedTuple):
    """One whole event: its bytes as they came, and its id (empty if it has none)."""

    raw: bytes
    id: str


class EventSplitter:
    """Gives out events once they are whole.

    A caller never gets a part of an event, so a stream that is cut midway can go on at
    another server with the event that was cut.
    """

    def __init__(self) -> None:
        self._pending = b""

    @property
    def is_between_events(self) -> bool:
        """Whether no part of an event is held."""
        return not self._pending

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that ``data`` completes."""
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
