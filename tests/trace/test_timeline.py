from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from kingcupwheel.trace.event_order import merge_events
from kingcupwheel.trace.events import AnyEvent
from kingcupwheel.trace.events import RequestFinished
from kingcupwheel.trace.events import RequestRefused
from kingcupwheel.trace.events import ResendJoined
from kingcupwheel.trace.timeline import OutcomeState
from kingcupwheel.trace.timeline import ProcessTrace
from kingcupwheel.trace.timeline import TraceSource
from kingcupwheel.trace.timeline import build_timeline
from kingcupwheel.trace.timeline_text import format_timeline
from tests.trace.builders import AGENT
from tests.trace.builders import AGENT_EVENTS
from tests.trace.builders import ENTRY
from tests.trace.builders import ENTRY_EVENTS
from tests.trace.builders import START
from tests.trace.builders import build_received_event
from tests.trace.builders import build_request_id
from tests.trace.builders import build_trace_events


WANTED = build_request_id()


def build_live_trace(
    process: str, recorded: tuple[AnyEvent, ...], *, at: float = START
) -> ProcessTrace:
    return ProcessTrace(
        process,
        TraceSource.LIVE,
        build_trace_events(WANTED, process, recorded, started_at=at),
    )


def test_timeline_describes_placement_wait_and_outcome() -> None:
    timeline = build_timeline(
        WANTED,
        (build_live_trace(ENTRY, ENTRY_EVENTS), build_live_trace(AGENT, AGENT_EVENTS)),
    )
    text = format_timeline(timeline)

    assert (timeline.state, timeline.outcome, timeline.manifest_version) == (
        OutcomeState.FINISHED,
        "ran",
        7,
    )
    assert "it runs at most once. Manifest version 7 was in force." in text
    assert "Placed on agent-2 for attempt 1 after 0.120 s in the queue: least" in text
    assert "Weighed: agent-2 at 25%, agent-3 at 75%." in text
    assert "2027-01-15 08:00:00.030  entry-1  Sent to agent-2 as attempt 1." in text
    assert text.count("Final outcome: ran") == 1
    assert "Missing" not in text


def test_refusal_names_its_limit_and_resend_names_first_request() -> None:
    refusal = RequestRefused("allowance-concurrency", "201 of 200 in use", 2.5)
    timeline = build_timeline(
        WANTED,
        (
            build_live_trace(
                ENTRY,
                (
                    build_received_event(),
                    ResendJoined("entry-3.1.aa"),
                    refusal,
                    RequestFinished("not-run", 429, 0, ""),
                ),
            ),
        ),
    )
    text = format_timeline(timeline)

    assert "Refused by the limit allowance-concurrency: 201 of 200 in use." in text
    assert "The caller may come back after 2.5 s." in text
    assert "See also: kingcupwheel trace entry-3.1.aa" in text


def test_two_final_outcomes_are_contradictory() -> None:
    events_with_two_outcomes = (
        *ENTRY_EVENTS,
        RequestFinished("unknown", 0, 0, "gave up"),
    )
    timeline = build_timeline(
        WANTED, (build_live_trace(ENTRY, events_with_two_outcomes),)
    )

    assert timeline.state is OutcomeState.CONTRADICTORY
    assert not timeline.is_complete
    assert timeline.gaps == ("entry-1 recorded 2 final outcomes: ran and unknown.",)


def test_lost_entry_trace_leaves_outcome_missing() -> None:
    """Guards against reporting the agent's outcome as the one sent to the caller.

    The entry dies with its events; only the agent's trace is left.
    """
    lost_trace = ProcessTrace(ENTRY, TraceSource.NOT_FOUND, gaps=("entry-1 is gone.",))
    timeline = build_timeline(
        WANTED, (lost_trace, build_live_trace(AGENT, AGENT_EVENTS))
    )

    assert timeline.state is OutcomeState.OUTCOME_MISSING
    assert timeline.outcome == ""
    assert "agent-2 recorded that its attempt ended as ran." in timeline.gaps[0]
    assert timeline.gaps[1] == "entry-1 is gone."


def test_request_without_end_at_live_entry_is_in_progress() -> None:
    timeline = build_timeline(WANTED, (build_live_trace(ENTRY, ENTRY_EVENTS[:3]),))

    assert timeline.state is OutcomeState.IN_PROGRESS
    assert timeline.is_complete


@given(st.floats(-5, 5))
def test_clock_skew_never_orders_answer_before_request(skew: float) -> None:
    traces = (
        build_trace_events(WANTED, ENTRY, ENTRY_EVENTS),
        build_trace_events(WANTED, AGENT, AGENT_EVENTS, started_at=START + skew),
    )
    merged = merge_events(ENTRY, traces)
    kinds = [(event.process, type(event.event).__name__) for event in merged]

    assert len(merged) == len(ENTRY_EVENTS) + len(AGENT_EVENTS)
    assert kinds.index((ENTRY, "AttemptDispatched")) < kinds.index(
        (AGENT, "AttemptForwarded")
    )
    assert kinds.index((AGENT, "FirstByteRelayed")) < kinds.index(
        (ENTRY, "FirstByteRelayed")
    )
    for trace in traces:
        assert [event for event in merged if event in trace] == list(trace)
