"""Causal order of the events of several processes.

Clocks of processes differ by some milliseconds, so ordering by time alone may put an
answer before its request. Events of one process keep their order; across processes an
event is placed after the events that must precede it.
"""

from __future__ import annotations

from typing import NamedTuple

from kingcupwheel.trace.events import AnyEvent
from kingcupwheel.trace.events import AttemptDispatched
from kingcupwheel.trace.events import FirstByteRelayed
from kingcupwheel.trace.events import TraceEvent


class _Prerequisite(NamedTuple):
    event_type: type[AnyEvent]
    attempt: int


def merge_events(
    entry: str, traces: tuple[tuple[TraceEvent, ...], ...]
) -> list[TraceEvent]:
    """Return all events in order; ``entry`` is the process that received the request.

    Each of ``traces`` holds the events of one process in order of recording. A
    prerequisite that no process recorded is ignored; contradictory events are ordered
    by time.
    """
    queues = [list(trace) for trace in traces if trace]
    merged: list[TraceEvent] = []
    while queues:
        unblocked = [queue for queue in queues if not _is_blocked(entry, queue, queues)]
        next_queue = min(unblocked or queues, key=lambda queue: queue[0].recorded_at)
        merged.append(next_queue.pop(0))
        queues = [queue for queue in queues if queue]
    return merged


def _is_blocked(
    entry: str, queue: list[TraceEvent], queues: list[list[TraceEvent]]
) -> bool:
    prerequisite = _find_prerequisite(entry, queue[0])
    if prerequisite is None:
        return False
    return any(
        _matches(prerequisite, event)
        for other in queues
        if other is not queue
        for event in other
    )


def _find_prerequisite(entry: str, event: TraceEvent) -> _Prerequisite | None:
    """Return what another process must have recorded before ``event``, if any."""
    attempt: int | None = getattr(event.event, "attempt", None)
    if event.process != entry:
        return (
            _Prerequisite(AttemptDispatched, attempt) if attempt is not None else None
        )
    if isinstance(event.event, FirstByteRelayed):
        return _Prerequisite(FirstByteRelayed, event.event.attempt)
    return None


def _matches(prerequisite: _Prerequisite, event: TraceEvent) -> bool:
    return (
        isinstance(event.event, prerequisite.event_type)
        and getattr(event.event, "attempt", None) == prerequisite.attempt
    )
