from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import msgspec

from kingcupwheel.messages.attempts import Outcome
from kingcupwheel.messages.membership import AgentHeartbeat
from kingcupwheel.messages.traces import TraceReply
from kingcupwheel.messages.traces import TraceRequest
from kingcupwheel.trace.events import EVENTS_DECODER
from tests.agent.builders import build_dispatch_for
from tests.agent.builders import completion_body
from tests.standins.engine_answers import build_plain_answer
from tests.standins.engine_answers import build_streamed_answer
from tests.standins.service import build_service_answer


if TYPE_CHECKING:
    from tests.agent.conftest import AgentHarness


def test_streamed_completion_is_relayed_and_traced(
    harness: AgentHarness,
) -> None:
    engine = harness.start_engine()
    entry = harness.start_entry(harness.start_agent(engine.url))

    entry.send(
        build_dispatch_for(
            entry.wait_for_heartbeat(), "a", body=completion_body("hello", tokens=40)
        )
    )
    end = entry.wait_for_end("a")

    assert entry.get_body("a") == build_streamed_answer("hello", 40)
    assert (end.outcome, end.length) == (Outcome.RAN, len(entry.get_body("a")))
    assert engine.counters.get_counts()["by_request_id"] == {"a": 1}
    entry.send(TraceRequest("a"))
    events = EVENTS_DECODER.decode(entry.wait_for(TraceReply).events)
    names = [type(event.event).__name__ for event in events]
    assert names == ["AttemptForwarded", "FirstByteRelayed", "RequestFinished"]


def test_unstreamed_completion_and_service_answer_are_relayed(
    harness: AgentHarness,
) -> None:
    model = harness.start_entry(harness.start_agent(harness.start_engine().url))
    portal = harness.start_entry(
        harness.start_agent(harness.start_service().url, adapter="service")
    )
    body = completion_body("tag", tokens=9, stream=False)

    model.send(build_dispatch_for(model.wait_for_heartbeat(), "a", body=body))
    portal.send(
        build_dispatch_for(
            portal.wait_for_heartbeat(), "b", path="/reserve", body=b"part 7"
        )
    )

    assert model.wait_for_end("a").outcome is Outcome.RAN
    assert model.get_body("a") == build_plain_answer("tag", 9)
    assert portal.wait_for_end("b").outcome is Outcome.RAN
    assert portal.get_body("b") == build_service_answer("/reserve", b"part 7")


def test_concurrent_streams_are_not_mixed_up(harness: AgentHarness) -> None:
    entry = harness.start_entry(
        harness.start_agent(harness.start_engine(step_ms=2.0).url)
    )
    heartbeat = entry.wait_for_heartbeat()
    names = [f"request-{number}" for number in range(40)]

    for name in names:
        entry.send(
            build_dispatch_for(heartbeat, name, body=completion_body(name, tokens=30))
        )
    ends = {name: entry.wait_for_end(name).outcome for name in names}

    assert set(ends.values()) == {Outcome.RAN}
    digests = {name: hashlib.sha256(entry.get_body(name)).digest() for name in names}
    assert digests == {
        name: hashlib.sha256(build_streamed_answer(name, 30)).digest() for name in names
    }


def test_heartbeat_reports_load_and_incarnation(harness: AgentHarness) -> None:
    engine = harness.start_engine(stalled=True)
    agent = harness.start_agent(engine.url)
    entry = harness.start_entry(agent)

    entry.send(build_dispatch_for(entry.wait_for_heartbeat(), "a"))
    heartbeat = entry.wait_for(
        AgentHeartbeat, lambda heartbeat: heartbeat.load.running == 1
    )

    assert heartbeat.incarnation == agent.incarnation
    assert heartbeat.server_up
    assert heartbeat.load.work == 100.0
    assert msgspec.structs.asdict(heartbeat)["group"] == "bundles"
