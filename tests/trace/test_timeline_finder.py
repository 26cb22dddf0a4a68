from __future__ import annotations

import time
from datetime import UTC
from datetime import datetime
from datetime import timedelta

from freezegun import freeze_time

from kingcupwheel.trace.batch_shipper import BatchShipper
from kingcupwheel.trace.batch_sweeper import BatchSweeper
from kingcupwheel.trace.events import RequestFinished
from kingcupwheel.trace.exceptions import InvalidRequestId
from kingcupwheel.trace.recorder import TraceRecorder
from kingcupwheel.trace.timeline import OutcomeState
from kingcupwheel.trace.timeline import RequestTimeline
from kingcupwheel.trace.timeline import TraceSource
from kingcupwheel.trace.timeline_finder import TimelineFinder
from tests.trace.builders import AGENT
from tests.trace.builders import AGENT_EVENTS
from tests.trace.builders import ENTRY
from tests.trace.builders import ENTRY_EVENTS
from tests.trace.builders import MemoryPlatform
from tests.trace.builders import MemoryQueryClient
from tests.trace.builders import build_request_id


class RecordedRequest:
    """A request recorded by an entry and an agent, and the platform."""

    def __init__(self) -> None:
        self.platform = MemoryPlatform(ENTRY, AGENT, "agent-9")
        self.entry = TraceRecorder(ENTRY, max_requests=100)
        self.agent = TraceRecorder(AGENT, max_requests=100)
        self.request_id = build_request_id(arrived_at=time.time() + 0.01)
        for event in ENTRY_EVENTS:
            self.entry.record(self.request_id, event)
        for event in AGENT_EVENTS:
            self.agent.record(self.request_id, event)

    def ship(self, recorder: TraceRecorder) -> None:
        """Stop the process's shipper, which writes its pending events."""
        BatchShipper(
            recorder, self.platform, period_s=30, retention_s=lambda: 1e6
        ).stop()

    def find(self, **live: TraceRecorder) -> tuple[RequestTimeline, MemoryQueryClient]:
        query_client = MemoryQueryClient(**live)
        return TimelineFinder(self.platform, query_client).find(
            self.request_id
        ).ok, query_client


def test_live_processes_give_complete_timeline_without_further_queries() -> None:
    stored_request = RecordedRequest()
    timeline, query_client = stored_request.find(
        entry=stored_request.entry, agent=stored_request.agent
    )

    assert (timeline.state, timeline.is_complete) == (OutcomeState.FINISHED, True)
    assert query_client.queried_processes == [ENTRY, AGENT]
    assert stored_request.platform.calls == ["instances"]


def test_batches_give_complete_timeline_after_processes_are_replaced() -> None:
    """Guards against events lost when processes are replaced.

    Entry and agent stop gracefully and write their last batch, one of them with a lost
    confirmation. The timeline is the same as from the live processes.
    """
    stored_request = RecordedRequest()
    live, _ = stored_request.find(
        entry=stored_request.entry, agent=stored_request.agent
    )
    stored_request.ship(stored_request.entry)
    BatchSweeper(stored_request.platform, AGENT).create_marker()
    stored_request.platform.loses_next_confirmation = True
    stored_request.ship(stored_request.agent)
    timeline, _ = stored_request.find()

    assert {f"trace-writers/{ENTRY}", f"trace-writers/{AGENT}"} < {
        *stored_request.platform.objects
    }
    assert [trace.source for trace in timeline.traces] == [
        TraceSource.BATCHES,
        TraceSource.BATCHES,
    ]
    assert timeline.is_complete
    assert timeline.lines == live.lines


def test_all_agents_are_queried_when_entry_trace_is_lost() -> None:
    """Guards against a timeline without the agent's events if the entry is killed.

    SIGKILL loses the entry's events, so that none names the agent. All agents are
    queried, up to a bound, and the entry's trace is reported as missing.
    """
    stored_request = RecordedRequest()
    timeline, query_client = stored_request.find(agent=stored_request.agent)

    assert timeline.state is OutcomeState.OUTCOME_MISSING
    assert {trace.process for trace in timeline.traces if trace.events} == {AGENT}
    assert any("entry-1 does not answer" in gap for gap in timeline.gaps)
    assert query_client.queried_processes == [ENTRY, AGENT, "agent-9"]


def test_batches_of_replaced_agent_are_found_when_entry_trace_is_lost() -> None:
    """Guards against ignoring batches of agents that are no longer listed.

    The entry's events are lost; the agent stopped gracefully and is not in the list.
    Its marker on the platform leads to its batches.
    """
    stored_request = RecordedRequest()
    stored_request.ship(stored_request.agent)
    stored_request.platform.names = (ENTRY, "agent-9")
    timeline, _ = stored_request.find()

    assert timeline.state is OutcomeState.OUTCOME_MISSING
    agent_trace = next(trace for trace in timeline.traces if trace.events)
    assert (agent_trace.process, agent_trace.source) == (AGENT, TraceSource.BATCHES)


def test_later_batches_prove_that_agent_never_received_request() -> None:
    stored_request = RecordedRequest()
    other = TraceRecorder(AGENT, max_requests=10)
    with freeze_time(datetime.now(tz=UTC) + timedelta(seconds=5)):
        other.record("another", RequestFinished("ran", 200, 1, "whole"))
        stored_request.ship(other)
    timeline, _ = stored_request.find(entry=stored_request.entry)

    assert timeline.is_complete
    assert timeline.traces[1].events == ()


def test_given_addresses_are_queried_during_platform_outage() -> None:
    """The platform's list and the batches are unavailable; addresses are given."""
    stored_request = RecordedRequest()
    stored_request.platform.is_down = True
    query_client = MemoryQueryClient(entry=stored_request.entry)
    finder = TimelineFinder(
        stored_request.platform, query_client, address_by_process={ENTRY: "127.0.0.1:1"}
    )
    timeline = finder.find(stored_request.request_id).ok

    assert timeline.outcome == "ran"
    assert not timeline.is_complete
    assert "The list of instances is missing" in timeline.gaps[0]
    assert any("agent-2 does not answer" in gap for gap in timeline.gaps)


def test_unissued_id_is_unknown_and_malformed_id_is_rejected() -> None:
    stored_request = RecordedRequest()
    stored_request.request_id = build_request_id(arrived_at=time.time() + 1)
    timeline, query_client = stored_request.find(
        entry=stored_request.entry, agent=stored_request.agent
    )

    assert timeline.state is OutcomeState.UNKNOWN
    assert query_client.queried_processes == [ENTRY]
    rejected = TimelineFinder(stored_request.platform, MemoryQueryClient()).find(
        "no id"
    )
    assert rejected.error == InvalidRequestId("no id")
