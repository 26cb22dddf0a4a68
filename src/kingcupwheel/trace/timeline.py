"""Timeline of a request, merged from the traces of processes and batches."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

import msgspec

from kingcupwheel.trace.event_descriptions import describe_event
from kingcupwheel.trace.event_order import merge_events
from kingcupwheel.trace.events import AttemptDispatched
from kingcupwheel.trace.events import RequestFinished
from kingcupwheel.trace.events import RequestPlaced
from kingcupwheel.trace.events import RequestReceived
from kingcupwheel.trace.events import TraceEvent
from kingcupwheel.utils.request_ids import parse_request_id


if TYPE_CHECKING:
    from collections.abc import Iterable

# Clocks are synchronised within some milliseconds; a larger skew is reported.
_MAX_CLOCK_SKEW_S = 0.05


class TraceSource(StrEnum):
    """Where the trace of a process was found."""

    LIVE = "live"
    BATCHES = "batches"
    NOT_FOUND = "nowhere"


class ProcessTrace(msgspec.Struct, frozen=True):
    """What one process recorded; ``gaps`` say what may be missing, and why."""

    process: str
    source: TraceSource
    events: tuple[TraceEvent, ...] = ()
    gaps: tuple[str, ...] = ()


class OutcomeState(StrEnum):
    """Whether the final outcome of a request is known.

    ``CONTRADICTORY`` means more than one final outcome, which is a system fault.
    """

    FINISHED = "finished"
    IN_PROGRESS = "under-way"
    OUTCOME_MISSING = "outcome-missing"
    CONTRADICTORY = "contradictory"
    UNKNOWN = "unknown"


class TimelineLine(msgspec.Struct, frozen=True):
    """One event as a sentence, with its Unix time and recording process."""

    recorded_at: float = msgspec.field(name="at")
    process: str
    sentence: str


class RequestTimeline(msgspec.Struct, frozen=True):
    """The events of a request in causal order, its outcome and its known gaps.

    ``outcome`` is the outcome sent to the caller, empty unless ``state`` is finished;
    ``manifest_version`` is the version in force at arrival, None if unknown.
    """

    request_id: str
    state: OutcomeState
    outcome: str
    reason: str
    manifest_version: int | None
    lines: tuple[TimelineLine, ...]
    gaps: tuple[str, ...]
    traces: tuple[ProcessTrace, ...] = msgspec.field(name="parts")

    @property
    def is_complete(self) -> bool:
        """True if nothing is known to be missing."""
        return not self.gaps and self.state is not OutcomeState.CONTRADICTORY


def build_timeline(request_id: str, traces: Iterable[ProcessTrace]) -> RequestTimeline:
    """Return the timeline of ``traces``, one for each process."""
    process_traces = tuple(traces)
    parsed = parse_request_id(request_id)
    entry = parsed.entry if parsed else ""
    events = merge_events(entry, tuple(trace.events for trace in process_traces))
    received = _find_received(events)
    final_outcomes = _list_final_outcomes(events, entry)
    state = _determine_state(process_traces, final_outcomes, entry)
    return RequestTimeline(
        request_id=request_id,
        state=state,
        outcome=final_outcomes[0].outcome if state is OutcomeState.FINISHED else "",
        reason=final_outcomes[0].reason if state is OutcomeState.FINISHED else "",
        manifest_version=_get_manifest_version(received),
        lines=_build_lines(events, entry, received.recorded_at if received else None),
        gaps=(
            *_describe_outcome_gaps(state, events, final_outcomes, entry),
            *_list_gaps(process_traces),
        ),
        traces=process_traces,
    )


def list_servers(events: Iterable[TraceEvent]) -> tuple[str, ...]:
    """Return the servers that the request was placed on or sent to, in order."""
    servers = {
        event.event.server: None
        for event in events
        if isinstance(event.event, RequestPlaced | AttemptDispatched)
    }
    return tuple(servers)


def _find_received(events: list[TraceEvent]) -> TraceEvent | None:
    return next((e for e in events if isinstance(e.event, RequestReceived)), None)


def _get_manifest_version(received: TraceEvent | None) -> int | None:
    if received is None or not isinstance(received.event, RequestReceived):
        return None
    return received.event.manifest_version


def _list_final_outcomes(events: list[TraceEvent], entry: str) -> list[RequestFinished]:
    return [
        event.event
        for event in events
        if event.process == entry and isinstance(event.event, RequestFinished)
    ]


def _determine_state(
    traces: tuple[ProcessTrace, ...], final_outcomes: list[RequestFinished], entry: str
) -> OutcomeState:
    if len(final_outcomes) > 1:
        return OutcomeState.CONTRADICTORY
    if final_outcomes:
        return OutcomeState.FINISHED
    entry_trace = next((trace for trace in traces if trace.process == entry), None)
    if (
        entry_trace
        and entry_trace.events
        and not entry_trace.gaps
        and entry_trace.source is TraceSource.LIVE
    ):
        return OutcomeState.IN_PROGRESS
    if any(trace.events for trace in traces):
        return OutcomeState.OUTCOME_MISSING
    return OutcomeState.UNKNOWN


def _build_lines(
    events: list[TraceEvent], entry: str, arrived_at: float | None
) -> tuple[TimelineLine, ...]:
    lines = []
    latest = 0.0
    for event in events:
        own_arrival = arrived_at if event.process == entry else None
        text = describe_event(event, entry=entry, arrived_at=own_arrival)
        if latest - event.recorded_at > _MAX_CLOCK_SKEW_S:
            text += (
                f" (Its clock is {latest - event.recorded_at:.3f} s or more behind.)"
            )
        latest = max(latest, event.recorded_at)
        lines.append(TimelineLine(event.recorded_at, event.process, text))
    return tuple(lines)


def _describe_outcome_gaps(
    state: OutcomeState,
    events: list[TraceEvent],
    final_outcomes: list[RequestFinished],
    entry: str,
) -> tuple[str, ...]:
    match state:
        case OutcomeState.CONTRADICTORY:
            outcomes = " and ".join(
                final_outcome.outcome for final_outcome in final_outcomes
            )
            return (
                f"{entry} recorded {len(final_outcomes)} final outcomes: {outcomes}.",
            )
        case OutcomeState.OUTCOME_MISSING:
            return (
                f"What {entry} told the caller is missing. "
                f"{_describe_last_attempt(events)}",
            )
        case _:
            return ()


def _describe_last_attempt(events: list[TraceEvent]) -> str:
    finished_events = [
        event for event in events if isinstance(event.event, RequestFinished)
    ]
    if not finished_events:
        return "No process recorded an end of the work."
    last_event = finished_events[-1]
    outcome = (
        last_event.event.outcome
        if isinstance(last_event.event, RequestFinished)
        else ""
    )
    return f"{last_event.process} recorded that its attempt ended as {outcome}."


def _list_gaps(traces: tuple[ProcessTrace, ...]) -> tuple[str, ...]:
    return tuple(gap for trace in traces for gap in trace.gaps)
