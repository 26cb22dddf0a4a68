"""Reads the events of a server's stream.

Bytes alone are no progress of a stream: a server in trouble may send some without end.
Only an event that the caller does not have yet ends a server's silence, and the bytes
between two of them are limited.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from kingcupwheel.forwarding.events import EventSplitter
from kingcupwheel.forwarding.exceptions import AnswerLostError
from kingcupwheel.forwarding.server_answer import limit_exceeded
from kingcupwheel.utils.integer_parsing import parse_non_negative_int
from kingcupwheel.utils.response_limits import ResponseLimit


if TYPE_CHECKING:
    from kingcupwheel.forwarding.events import StreamEvent
    from kingcupwheel.forwarding.server_answer import ServerAnswer

# A thousand times a usual event.
MAX_EVENT_BYTES = 1_000_000


class EventReader:
    """Events of an answer after the one with ``last_event_id``; not thread-safe."""

    def __init__(self, answer: ServerAnswer, last_event_id: str) -> None:
        self._answer = answer
        self._last_id = last_event_id
        self._splitter = EventSplitter()
        # Bytes since the last event that the caller did not have.
        self._idle_bytes = 0
        self._prefetched: list[StreamEvent] | None = None

    def read(self) -> list[StreamEvent] | None:
        """Return the next complete events, None at the end of the stream.

        Raises AnswerLostError if the rest is lost.
        """
        events, self._prefetched = self._prefetched, None
        return self._read_events() if events is None else events

    def prefetch(self) -> None:
        """Read up to the first event or the end, which the next ``read`` returns.

        Raises AnswerLostError.
        """
        found: list[StreamEvent] = []
        while not _has_progress(found):
            events = self._read_events()
            if events is None:
                break
            found += events
        # Without an event, the end is found again by the next read.
        self._prefetched = found or None

    def _read_events(self) -> list[StreamEvent] | None:
        data = self._answer.read()
        if not data:
            if not self._splitter.is_between_events:
                raise AnswerLostError("the stream ended in the middle of an event")
            self._answer.use_part()
            return None
        events = self._select_new(self._splitter.feed(data))
        self._limit_idle_bytes(len(data), has_progress=_has_progress(events))
        if _has_progress(events):
            self._answer.use_part()
        elif events and self._splitter.is_between_events:
            # Comments show that the server lives, but not that it makes progress.
            self._answer.disregard_received()
        return events

    def _limit_idle_bytes(self, count: int, *, has_progress: bool) -> None:
        pending = self._splitter.pending_bytes
        self._idle_bytes = pending if has_progress else self._idle_bytes + count
        if self._idle_bytes > MAX_EVENT_BYTES:
            raise limit_exceeded(ResponseLimit.EVENT, MAX_EVENT_BYTES)
        self._answer.hold(pending)

    def _select_new(self, events: list[StreamEvent]) -> list[StreamEvent]:
        """Return the events that the caller does not have yet.

        Raises AnswerLostError if an event is missing. If a server resumed at another
        event than requested, the caller would otherwise get an event twice, or an
        incomplete answer that seems complete.
        """
        new_events: list[StreamEvent] = []
        for event in events:
            number, last_number = (
                parse_non_negative_int(event.id),
                parse_non_negative_int(self._last_id),
            )
            if number is not None and last_number is not None:
                if number <= last_number:
                    continue
                if number > last_number + 1:
                    raise AnswerLostError(
                        f"event {event.id} follows event {self._last_id}; "
                        "some are missing"
                    )
            if event.id:
                self._last_id = event.id
            new_events.append(event)
        return new_events


def _has_progress(events: list[StreamEvent]) -> bool:
    return any(not event.is_empty for event in events)
