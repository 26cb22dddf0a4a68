"""Failures of processes that are killed, paused or told to stop."""

from __future__ import annotations

import signal
import time
from typing import TYPE_CHECKING

import pytest

from kingcupwheel.messages.attempts import DispatchRefusal
from kingcupwheel.messages.attempts import Outcome
from kingcupwheel.messages.membership import AgentHeartbeat
from kingcupwheel.messages.traces import TraceReply
from kingcupwheel.messages.traces import TraceRequest
from kingcupwheel.trace.events import EVENTS_DECODER
from kingcupwheel.trace.events import ServerDied
from tests.agent.builders import TIMINGS
from tests.agent.builders import agent_settings
from tests.agent.builders import build_dispatch_for
from tests.agent.builders import completion_body
from tests.agent.processes import AgentProcess
from tests.agent.processes import StandInProcess
from tests.standins.engine_answers import build_streamed_answer


if TYPE_CHECKING:
    from pathlib import Path

    from tests.agent.conftest import AgentHarness


def test_killed_server_ends_attempts_as_unknown_and_counts_once(
    harness: AgentHarness,
) -> None:
    """Guards against a late crash report, and against counting one crash twice.

    The engine is killed while two requests run. The heartbeat that reports the server
    as down carries both fingerprints with the same crash id; a new engine on the same
    port does not count as a second crash.
    """
    engine = harness.add_process(StandInProcess("engine", "--step-ms", "20"))
    entry = harness.start_entry(harness.start_agent(engine.url))
    heartbeat = entry.wait_for(AgentHeartbeat, lambda heartbeat: heartbeat.server_up)
    for name in ("a", "b"):
        entry.send(
            build_dispatch_for(heartbeat, name, body=completion_body(name, tokens=1000))
        )
        entry.wait_for_bytes(name, 200)

    engine.kill()
    for name in ("a", "b"):
        assert entry.wait_for_end(name).outcome is Outcome.UNKNOWN
        assert build_streamed_answer(name, 1000).startswith(entry.get_body(name))
    crash_heartbeats = [
        message
        for message in tuple(entry.received)
        if isinstance(message, AgentHeartbeat) and message.suspicions
    ]
    assert (
        [heartbeat.server_up for heartbeat in crash_heartbeats]
        == [False] * len(crash_heartbeats)
        != []
    )
    port = engine.address.rsplit(":", 1)[1]
    harness.add_process(StandInProcess("engine", "--port", port))
    entry.wait_for(AgentHeartbeat, lambda heartbeat: not heartbeat.server_up)
    up = entry.wait_for(
        AgentHeartbeat,
        lambda heartbeat: heartbeat.server_up and bool(heartbeat.suspicions),
    )
    entry.send(build_dispatch_for(up, "c"))

    assert entry.wait_for_end("c").outcome is Outcome.RAN
    reported = entry.wait_for_heartbeat().suspicions
    assert sorted(one.key for one in reported) == ["print of a", "print of b"]
    assert len({run.crash_id for one in reported for run in one.runs}) == 1


def test_crashing_request_is_reported_with_concurrent_ones(
    harness: AgentHarness,
) -> None:
    """Guards against wrong attribution of a crash to concurrent requests.

    One request crashes the engine while another runs. The agent can't distinguish them
    and reports both, also in the trace; a second crash adds only the faulty one.
    """
    options = ("--step-ms", "20", "--crash-on", "poison")
    engine = harness.add_process(StandInProcess("engine", *options))
    port = engine.address.rsplit(":", 1)[1]
    entry = harness.start_entry(harness.start_agent(engine.url))
    heartbeat = entry.wait_for(AgentHeartbeat, lambda heartbeat: heartbeat.server_up)
    body = completion_body("innocent", tokens=1000)
    entry.send(build_dispatch_for(heartbeat, "innocent", body=body))
    entry.wait_for_bytes("innocent", 100)

    for name in ("faulty", "faulty again"):
        poison = build_dispatch_for(
            entry.wait_for(AgentHeartbeat, lambda heartbeat: heartbeat.server_up),
            name,
            body=completion_body("poison"),
            fingerprint="faulty",
        )
        entry.send(poison)
        assert entry.wait_for_end(name).outcome is Outcome.UNKNOWN
        harness.add_process(StandInProcess("engine", "--port", port, *options))
    assert entry.wait_for_end("innocent").outcome is Outcome.UNKNOWN
    entry.send(TraceRequest("innocent"))
    events = EVENTS_DECODER.decode(entry.wait_for(TraceReply).events)

    reported = {
        (one.key, run.crash_id)
        for one in entry.wait_for_heartbeat().suspicions
        for run in one.runs
    }
    assert sorted(name for name, _ in reported) == [
        "faulty",
        "faulty",
        "print of innocent",
    ]
    assert ServerDied("agent-1", "print of innocent", 1) in [
        event.event for event in events
    ]


@pytest.mark.parametrize("signals", [1, 2])
def test_a_stopped_agent_delivers_what_runs_and_exits_with_0(
    harness: AgentHarness, tmp_path: Path, signals: int
) -> None:
    """Guards against a truncated answer when SIGTERM arrives once or twice mid-stream.

    New requests are refused, and the process exits with 0 after the answer was
    delivered.
    """
    engine = harness.start_engine(step_ms=20.0)
    agent = harness.add_process(AgentProcess(agent_settings(engine.url), tmp_path))
    entry = harness.start_entry(agent)
    heartbeat = entry.wait_for_heartbeat()
    entry.send(
        build_dispatch_for(heartbeat, "a", body=completion_body("a", tokens=100))
    )
    entry.wait_for_bytes("a", 200)

    for _ in range(signals):
        agent.send_signal(signal.SIGTERM)
        leaving = entry.wait_for(AgentHeartbeat, lambda heartbeat: heartbeat.leaving)
    entry.send(build_dispatch_for(leaving, "b"))

    assert entry.wait_for_refusal("b").reason is DispatchRefusal.LEAVING
    assert entry.wait_for_end("a").outcome is Outcome.RAN
    assert entry.get_body("a") == build_streamed_answer("a", 100)
    assert agent.wait_for_exit_code() == 0


def test_dispatch_received_after_a_pause_is_refused(
    harness: AgentHarness, tmp_path: Path
) -> None:
    """Guards against running a request that its entry has given up.

    The dispatch reaches the socket of a paused agent. When the agent continues, it
    refuses the dispatch, whose token is stale.
    """
    engine = harness.start_engine()
    agent = harness.add_process(AgentProcess(agent_settings(engine.url), tmp_path))
    entry = harness.start_entry(agent)
    heartbeat = entry.wait_for_heartbeat()

    agent.send_signal(signal.SIGSTOP)
    entry.send(build_dispatch_for(heartbeat, "a"))
    time.sleep(TIMINGS.token_s + TIMINGS.heartbeat_s)
    agent.send_signal(signal.SIGCONT)

    assert entry.wait_for_refusal("a").reason is DispatchRefusal.STALE_TOKEN
    entry.send(build_dispatch_for(entry.wait_for_heartbeat(), "b"))
    assert entry.wait_for_end("b").outcome is Outcome.RAN
    assert engine.counters.get_counts()["by_request_id"] == {"b": 1}
