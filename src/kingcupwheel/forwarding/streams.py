"""Passes a stream on event by event, and goes on at another server where it is cut."""

from __future__ import annotations

from time import monotonic
from typing import TYPE_CHECKING

from kingcupwheel.entry.answers import WholeAnswer
from kingcupwheel.entry.exceptions import AnswerCutError
from kingcupwheel.entry.refusals import Refusal
from kingcupwheel.forwarding.events import EventSplitter
from kingcupwheel.forwarding.exceptions import AnswerLostError
from kingcupwheel.forwarding.outcomes import Came
from kingcupwheel.telemetry.json_logs import lines_of
from kingcupwheel.utils.numbers import whole_number


if TYPE_CHECKING:
    from collections.abc import Iterator

    from kingcupwheel.forwarding.events import StreamEvent
    from kingcupwheel.forwarding.runs import ForwardRun
    from kingcupwheel.forwarding.runs import Running

log = lines_of("requests")


class StreamRelay:
    """One stream's way to its caller; belongs to one thread."""

    def __init__(self, run: ForwardRun, running: Running) -> None:
        self._run = run
        self._running = running
        self._splitter = EventSplitter()
        self._events = 0
        self._bytes = 0
        self._status = running.answer.head.status
        self._began_at = monotonic()
        self._last_at = 0.0
        self._first_s = 0.0
        self._gap_s = 0.0

    def body(self) -> Iterator[bytes]:
        """Yield whole events; raises AnswerCutError where the rest can't be had."""
        held = True
        try:
            while True:
                try:
                    events = self._next_events()
                except AnswerLostError as error:
                    held = False
                    self._go_on(str(error))
                    held = True
                    continue
                if events is None:
                    break
                if events:
                    yield self._passed(events)
            self._ended_whole()
        except GeneratorExit:
            self._finished("caller-left")
            raise
        finally:
            if held:
                self._run.end(self._running.place, self._running.answer)

    def _next_events(self) -> list[StreamEvent] | None:
        """Return the next whole events, None at the stream's end."""
        data = self._running.answer.read()
        if data:
            return self._in_order(self._splitter.feed(data))
        if not self._splitter.is_between_events:
            raise AnswerLostError("it ended in the middle of an event")
        return None

    def _in_order(self, events: list[StreamEvent]) -> list[StreamEvent]:
        """Return what the caller has not had; raises if a piece is missing.

        Failure: a server goes on at another event than it was asked to. Symptom: the
        caller gets a piece twice, or an answer with a hole that looks whole.
        """
        last = self._run.last_event
        found: list[StreamEvent] = []
        for event in events:
            number, before = whole_number(event.id), whole_number(last)
            if number is None or before is None:
                found.append(event)
                continue
            if number <= before:
                continue
            if number > before + 1:
                raise AnswerLostError(f"event {event.id} came after {last}")
            last = event.id
            found.append(event)
        return found

    def _passed(self, events: list[StreamEvent]) -> bytes:
        for event in events:
            self._run.saw_event(event.id)
        raw = b"".join(event.raw for event in events)
        self._note_times()
        self._events += len(events)
        self._bytes += len(raw)
        return raw

    def _note_times(self) -> None:
        now = monotonic()
        if self._last_at:
            self._gap_s = max(self._gap_s, now - self._last_at)
        else:
            self._first_s = now - self._run.received_at
        self._last_at = now

    def _finished(self, how: str, why: str = "") -> None:
        self._run.finished(
            self._status,
            self._bytes,
            how,
            why,
            events=self._events,
            first_s=round(self._first_s, 3),
            longest_gap_s=round(self._gap_s, 3),
        )

    def _ended_whole(self) -> None:
        pace_s = (monotonic() - self._began_at) / max(1, self._events)
        self._run.succeeded(self._running.place, pace_s)
        self._finished("whole")

    def _go_on(self, why: str) -> None:
        """Take the stream up at another server, or cut it."""
        self._run.end(self._running.place, self._running.answer)
        refusal = self._run.after(self._running.place, Came.LOST, why)
        if refusal is None:
            found = self._run.next_answer()
            if not isinstance(found, Refusal | WholeAnswer):
                log.info(
                    "resumed",
                    id=self._run.request_id,
                    after=self._run.last_event,
                    server=found.place.server,
                )
                self._running = found
                self._splitter = EventSplitter()
                return
        self._finished("cut", why)
        raise AnswerCutError(why)
