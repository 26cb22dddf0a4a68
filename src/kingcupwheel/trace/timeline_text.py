"""Text output of a request timeline for a terminal."""

from __future__ import annotations

from datetime import UTC
from datetime import datetime
from typing import TYPE_CHECKING

from kingcupwheel.trace.events import ResendJoined
from kingcupwheel.trace.timeline import OutcomeState
from kingcupwheel.trace.timeline import TraceSource


if TYPE_CHECKING:
    from kingcupwheel.trace.timeline import ProcessTrace
    from kingcupwheel.trace.timeline import RequestTimeline
    from kingcupwheel.trace.timeline import TimelineLine

_SOURCE_LABELS = {
    TraceSource.LIVE: "answered itself",
    TraceSource.BATCHES: "gone; read from its batches",
    TraceSource.NOT_FOUND: "nothing found",
}


def format_timeline(timeline: RequestTimeline) -> str:
    """Return the sources, the events, the outcome and the gaps as text."""
    width = max((len(line.process) for line in timeline.lines), default=0)
    blocks = [
        [f"Request {timeline.request_id}", *_format_sources(timeline)],
        [_format_line(line, width) for line in timeline.lines],
        [_format_outcome(timeline), *_format_references(timeline)],
        [f"Missing: {gap}" for gap in timeline.gaps],
    ]
    return "\n\n".join("\n".join(block) for block in blocks if block)


def _format_sources(timeline: RequestTimeline) -> list[str]:
    return [f"  {part.process}: {_format_source(part)}" for part in timeline.traces]


def _format_source(trace: ProcessTrace) -> str:
    return f"{_SOURCE_LABELS[trace.source]}, {len(trace.events)} events"


def _format_line(line: TimelineLine, width: int) -> str:
    at = datetime.fromtimestamp(line.recorded_at, tz=UTC)
    stamp = at.strftime("%Y-%m-%d %H:%M:%S.") + f"{at.microsecond // 1000:03d}"
    return f"{stamp}  {line.process:<{width}}  {line.sentence}"


def _format_outcome(timeline: RequestTimeline) -> str:
    match timeline.state:
        case OutcomeState.FINISHED:
            reason = f" ({timeline.reason})" if timeline.reason else ""
            return f"Outcome told to the caller: {timeline.outcome}{reason}."
        case OutcomeState.IN_PROGRESS:
            return "The request is still under way."
        case OutcomeState.OUTCOME_MISSING:
            return "Outcome told to the caller: not recorded in what was found."
        case OutcomeState.CONTRADICTORY:
            return "Outcome told to the caller: recorded more than once, a fault."
        case OutcomeState.UNKNOWN:
            return "Nothing was found of this request."


def _format_references(timeline: RequestTimeline) -> list[str]:
    earlier = {
        event.event.earlier_request_id: None
        for part in timeline.traces
        for event in part.events
        if isinstance(event.event, ResendJoined)
    }
    return [f"See also: kingcupwheel trace {request_id}" for request_id in earlier]
