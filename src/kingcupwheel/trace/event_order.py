"""One order for the events of several processes, by time and by cause.

Clocks of processes differ by some milliseconds, so that time alone may put an answer
before its request. A process's own events keep their order; between processes an event
waits for what must have come before it.
"""

from __future__ import annotations

from typing import NamedTuple

from kingcupwheel.trace.events import AnyEvent
from kingcupwheel.trace.events import AttemptDispatched
from kingcupwheel.trace.events import FirstByteRelayed
from kingcupwheel.trace.events import TraceEvent


class _Prerequisite(NamedTuple):
    kind: type[AnyEvent]
    attempt: int


def merge_events(
    entry: str, traces: tuple[tuple[TraceEvent, ...], ...]
) -> list[TraceEvent]:
    """Return all events in order; ``entry`` is the process that took the request.

    Each part holds the events of one process in order of recording. An event that
    waits for one that nobody recorded is not held up; a contradiction falls back to
    time.
    """
    queues = [list(part) for part in traces if part]
    merged: list[TraceEvent] = []
    while queues:
        ready = [queue for queue in queues if not _is_blocked(entry, queue, queues)]
        chosen = min(ready or queues, key=lambda queue: queue[0].recorded_at)
        merged.append(chosen.pop(0))
        queues = [queue for queue in queues if queue]
    return merged


def _is_blocked(
    entry: str, queue: list[TraceEvent], queues: list[list[TraceEvent]]
) -> bool:
    cause = _find_prerequisite(entry, queue[0])
    if cause is None:
        return False
    return any(
        _matches(cause, event)
        for other in queues
        if other is not queue
        for event in other
    )


def _find_prerequisite(entry: str, event: TraceEvent) -> _Prerequisite | None:
    """Return what another process must have recorded before ``event``."""
    attempt: int | None = getattr(event.event, "attempt", None)
    if event.process != entry:
        return (
            _Prerequisite(AttemptDispatched, attempt) if attempt is not None else None
        )
    if isinstance(event.event, FirstByteRelayed):
        return _Prerequisite(FirstByteRelayed, event.event.attempt)
    return None


def _matches(cause: _Prerequisite, event: TraceEvent) -> bool:
    return (
        isinstance(event.event, cause.kind)
        and getattr(event.event, "attempt", None) == cause.attempt
    )
