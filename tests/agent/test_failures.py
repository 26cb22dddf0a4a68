"""Failures between an entry, the agent daemon and its server."""

from __future__ import annotations

from threading import Thread
from typing import TYPE_CHECKING

from kingcupwheel.messages.attempts import Ack
from kingcupwheel.messages.attempts import AttemptAccepted
from kingcupwheel.messages.attempts import AttemptEnd
from kingcupwheel.messages.attempts import AttemptRefused
from kingcupwheel.messages.attempts import AttemptUnknown
from kingcupwheel.messages.attempts import CancelRequest
from kingcupwheel.messages.attempts import ClaimRef
from kingcupwheel.messages.attempts import DispatchRefusal
from kingcupwheel.messages.attempts import Outcome
from kingcupwheel.messages.attempts import ResumeRequest
from kingcupwheel.messages.attempts import RunningAttempts
from kingcupwheel.messages.base import Message
from kingcupwheel.messages.membership import AgentHeartbeat
from kingcupwheel.settings.schema import AgentLimits
from tests.agent.builders import build_dispatch_for
from tests.agent.builders import completion_body
from tests.agent.fake_entry import wait_until
from tests.standins.engine_answers import build_streamed_answer
from tests.standins.relay import RelayMode


if TYPE_CHECKING:
    import pytest

    from tests.agent.conftest import AgentHarness


def test_duplicate_dispatch_runs_once(harness: AgentHarness) -> None:
    """Guards against a second run when a copy of a dispatch arrives.

    One copy arrives on a replacement link while the attempt runs, another after its
    end. The agent sends the unacknowledged bytes, and later the end, again.
    """
    engine = harness.start_engine()
    entry = harness.start_entry(harness.start_agent(engine.url))
    message = build_dispatch_for(
        entry.wait_for_heartbeat(), "a", body=completion_body("a", tokens=60)
    )

    entry.send(message)
    entry.wait_for_bytes("a", 200)
    entry.replace_link()
    entry.send(message)
    assert entry.wait_for_end("a").outcome is Outcome.RAN
    entry.received.clear()
    entry.send(message)

    assert entry.wait_for_end("a").length == len(entry.get_body("a"))
    assert entry.get_body("a") == build_streamed_answer("a", 60)
    assert engine.counters.get_counts()["by_request_id"] == {"a": 1}


def test_a_refused_dispatch_stays_refused_when_its_copy_comes_late(
    harness: AgentHarness,
) -> None:
    """Guards against running a request that was reported as not-run.

    The dispatch is refused because the server is full. Once the server is free, a copy
    delayed on a presumably dead link arrives before its token is stale.
    """
    engine = harness.start_engine()
    limits = AgentLimits(concurrency=1, queue=0)
    entry = harness.start_entry(harness.start_agent(engine.url, limits=limits))
    heartbeat = entry.wait_for_heartbeat()
    refused = build_dispatch_for(heartbeat, "refused")
    entry.send(
        build_dispatch_for(heartbeat, "long", body=completion_body("long", tokens=40))
    )
    entry.send(refused)
    assert entry.wait_for_refusal("refused").reason is DispatchRefusal.FULL
    entry.wait_for_end("long")

    entry.received.clear()
    entry.send(refused)

    assert entry.wait_for_refusal("refused").reason is DispatchRefusal.FULL
    assert engine.counters.get_counts()["by_request_id"] == {"long": 1}


def test_restarted_agent_refuses_dispatch_for_its_earlier_incarnation(
    harness: AgentHarness,
) -> None:
    """Guards against a second run of a non-repeatable request after a restart.

    The restarted agent has no record of the attempt. It refuses a late dispatch for the
    earlier incarnation, and reports the attempt as unknown to a resume.
    """
    service = harness.start_service()
    old = harness.start_entry(harness.start_agent(service.url, adapter="service"))
    message = build_dispatch_for(
        old.wait_for_heartbeat(), "a", claim=ClaimRef("claim", 1)
    )
    old.send(message)
    old.wait_for_end("a")
    agent = harness.start_agent(service.url, adapter="service")
    new = harness.start_entry(agent)

    new.send(message)
    assert new.wait_for_refusal("a").reason is DispatchRefusal.WRONG_INCARNATION
    new.send(ResumeRequest("b", 1, 0, 1000, "claim"))

    assert new.wait_for(AttemptUnknown).incarnation == agent.incarnation
    assert service.counters.get_counts()["by_request_id"] == {"a": 1}


def test_stream_resumes_after_entry_replaces_a_silent_link(
    harness: AgentHarness,
) -> None:
    """Guards against a truncated answer or a second run when a link goes silent.

    The connection between entry and agent freezes mid-stream; the entry opens a new one
    and resumes at its offset.
    """
    engine = harness.start_engine()
    agent = harness.start_agent(engine.url)
    relay = harness.start_relay(f"127.0.0.1:{agent.port}")
    entry = harness.start_entry(relay)
    entry.send(
        build_dispatch_for(
            entry.wait_for_heartbeat(), "a", body=completion_body("a", tokens=80)
        )
    )
    entry.wait_for_bytes("a", 300)

    relay.set_mode(RelayMode.FREEZE_OPEN)
    run = engine.find_run("a-1")
    assert run is not None
    wait_until(lambda: run.token_count >= 40, "tokens that the silent link swallows")
    entry.replace_link()
    entry.resume("a", credit=1_000_000)

    assert entry.wait_for_end("a").outcome is Outcome.RAN
    assert entry.get_body("a") == build_streamed_answer("a", 80)
    assert engine.counters.get_counts()["by_request_id"] == {"a": 1}


def test_stream_resumes_after_engine_connection_goes_silent(
    harness: AgentHarness,
) -> None:
    """Guards against a lost answer when a connection to the engine goes silent.

    The connection freezes twice while new ones work. The agent queries the engine on a
    new one, learns that the request still runs, and resumes at the offset reached.
    """
    engine = harness.start_engine(step_ms=20.0)
    relay = harness.start_relay(engine.address)
    entry = harness.start_entry(harness.start_agent(relay.url))
    entry.send(
        build_dispatch_for(
            entry.wait_for_heartbeat(), "a", body=completion_body("a", tokens=120)
        )
    )

    for count in (200, 3000):
        entry.wait_for_bytes("a", count)
        relay.set_mode(RelayMode.FREEZE_OPEN)

    assert entry.wait_for_end("a").outcome is Outcome.RAN
    assert entry.get_body("a") == build_streamed_answer("a", 120)
    assert engine.counters.get_counts()["by_request_id"] == {"a": 1}


def test_slow_engine_is_not_declared_lost(harness: AgentHarness) -> None:
    """Guards against giving up an answer that is only slow.

    The engine exceeds the silence timeout before the first byte and again mid-stream,
    but reports the request as running each time.
    """
    engine = harness.start_engine(late_ms=2000.0)
    entry = harness.start_entry(harness.start_agent(engine.url))
    entry.send(
        build_dispatch_for(
            entry.wait_for_heartbeat(), "a", body=completion_body("a", tokens=400)
        )
    )
    entry.wait_for_bytes("a", 200)

    engine.set_faults(stalled=True)
    entry.received.clear()
    for _ in range(8):
        entry.wait_for(RunningAttempts)
        entry.received.clear()
    engine.set_faults(stalled=False)

    assert entry.wait_for_end("a").outcome is Outcome.RAN
    assert entry.get_body("a") == build_streamed_answer("a", 400)


def test_a_crossed_answer_is_never_passed_on(harness: AgentHarness) -> None:
    """Guards against passing on the answer of another request.

    The engine answers with the id of another request; the outcome is unknown.
    """
    engine = harness.start_engine(crossed=True)
    entry = harness.start_entry(harness.start_agent(engine.url))

    entry.send(build_dispatch_for(entry.wait_for_heartbeat(), "a"))
    end = entry.wait_for_end("a")

    assert (end.outcome, end.length) == (Outcome.UNKNOWN, 0)
    assert end.detail == "answer of another request"
    assert entry.get_body("a") == b""


def test_only_failed_connections_are_refused_as_unreachable(
    harness: AgentHarness,
) -> None:
    """Guards against reporting not-run for a request that may have been sent.

    Behind a relay that cuts each accepted connection the outcome is unknown. Only a
    failure to connect is refused as unreachable.
    """
    engine = harness.start_engine()
    relay = harness.start_relay(engine.address)
    relay.set_mode(RelayMode.CUT)
    cut = harness.start_entry(harness.start_agent(relay.url))
    cut.send(build_dispatch_for(cut.wait_for_heartbeat(), "cut"))
    assert cut.wait_for_end("cut").outcome is Outcome.UNKNOWN
    relay.stop()

    cut.send(build_dispatch_for(cut.wait_for_heartbeat(), "down"))

    assert cut.wait_for_refusal("down").reason is DispatchRefusal.SERVER_UNREACHABLE
    assert not engine.counters.get_counts()["by_request_id"]


def test_entries_with_little_credit_slow_the_stream_without_loss(
    harness: AgentHarness,
) -> None:
    """Guards against lost bytes and blocked streams when callers read slowly.

    Two attempts have little credit and no acknowledgements for a while. The agent sends
    no more than the credit, buffers up to its limit and then slows the engine, while a
    third stream continues.
    """
    limits = AgentLimits(answers_bytes=40_000)
    entry = harness.start_entry(
        harness.start_agent(harness.start_engine(step_ms=1.0).url, limits=limits)
    )
    other = harness.start_entry(entry, name="entry-2")
    entry.auto_ack_enabled.clear()
    body = completion_body("slow", tokens=1000)
    for name in ("slow-1", "slow-2"):
        entry.send(
            build_dispatch_for(entry.wait_for_heartbeat(), name, body=body, credit=500)
        )
    entry.wait_for_bytes("slow-1", 500)
    entry.wait_for_bytes("slow-2", 500)

    other.send(
        build_dispatch_for(
            other.wait_for_heartbeat(), "quick", body=completion_body("q", tokens=600)
        )
    )
    assert other.wait_for_end("quick").outcome is Outcome.RAN
    assert other.get_body("quick") == build_streamed_answer("q", 600)
    assert len(entry.get_body("slow-1")) == len(entry.get_body("slow-2")) == 500
    entry.auto_ack_enabled.set()
    for name in ("slow-1", "slow-2"):
        entry.send(Ack(name, 1, 500))

    for name in ("slow-1", "slow-2"):
        assert entry.wait_for_end(name).outcome is Outcome.RAN
        assert entry.get_body(name) == build_streamed_answer("slow", 1000)


def test_freed_answer_is_reported_as_incomplete(
    harness: AgentHarness,
) -> None:
    """Guards against an answer that looks complete after its bytes were freed.

    The whole answer was acknowledged and freed. A resume gets its outcome and length,
    and no bytes.
    """
    entry = harness.start_entry(harness.start_agent(harness.start_engine().url))
    entry.send(build_dispatch_for(entry.wait_for_heartbeat(), "a"))
    length = entry.wait_for_end("a").length

    late = harness.start_entry(entry, name="entry-2")
    late.send(ResumeRequest("a", 1, 10, 1000, None))
    end = late.wait_for_end("a")

    assert (end.outcome, end.length) == (Outcome.RAN, length)
    assert end.detail == "the answer's bytes are no longer held"
    assert late.get_body("a") == b""


def test_claimed_answer_is_found_by_its_claim(harness: AgentHarness) -> None:
    """Guards against losing the answer of a non-repeatable request whose caller left.

    The request runs on after the cancel, and its answer is kept for a caller that
    repeats the request at another entry with the same claim.
    """
    service = harness.start_service(delay_ms=400.0)
    agent = harness.start_agent(service.url, adapter="service")
    first, second = (
        harness.start_entry(agent),
        harness.start_entry(agent, name="entry-2"),
    )
    claim = ClaimRef("claim", 1)
    first.send(
        build_dispatch_for(
            first.wait_for_heartbeat(), "a", claim=claim, path="/pickups"
        )
    )
    wait_until(
        lambda: bool(service.counters.get_counts()["by_request_id"]),
        "the call to start",
    )

    first.send(CancelRequest("a", 1))
    second.send(ResumeRequest("b", 1, 0, 1000, "claim"))
    again = second.wait_for_end("b")
    later = harness.start_entry(agent, name="entry-3")
    later.send(
        build_dispatch_for(later.wait_for_heartbeat(), "c", claim=ClaimRef("claim", 2))
    )

    assert again.outcome is Outcome.RAN
    assert later.wait_for_end("c").outcome is Outcome.RAN
    assert later.get_body("c") == second.get_body("b") != b""
    assert service.counters.get_counts()["by_request_id"] == {"a": 1}


def test_cancel_frees_the_engine_slot(
    harness: AgentHarness,
) -> None:
    """Guards against a cancelled request that occupies the engine.

    The caller leaves while the engine is stalled. The agent wakes the thread that waits
    for the engine and cancels the request there.
    """
    engine = harness.start_engine(stalled=True)
    limits = AgentLimits(concurrency=1, queue=0)
    entry = harness.start_entry(harness.start_agent(engine.url, limits=limits))
    entry.send(build_dispatch_for(entry.wait_for_heartbeat(), "left"))
    wait_until(lambda: bool(engine.get_state()["running"]), "the engine to run it")

    entry.send(CancelRequest("left", 1))
    wait_until(lambda: not engine.get_state()["running"], "the engine to stop it")
    entry.wait_for(AgentHeartbeat, lambda heartbeat: heartbeat.load.running == 0)
    engine.set_faults(stalled=False)
    entry.send(build_dispatch_for(entry.wait_for_heartbeat(), "next"))

    assert entry.wait_for_end("next").outcome is Outcome.RAN


def test_draining_agent_finishes_running_attempts_and_refuses_new_ones(
    harness: AgentHarness,
) -> None:
    """Guards against truncated answers and new attempts during a drain.

    The agent is told to leave twice while one attempt runs and one is queued. It
    reports the drain at once, refuses the queued attempt, and delivers the running one.
    """
    engine = harness.start_engine()
    limits = AgentLimits(concurrency=1)
    agent = harness.start_agent(engine.url, limits=limits)
    entry = harness.start_entry(agent)
    heartbeat = entry.wait_for_heartbeat()
    entry.send(
        build_dispatch_for(heartbeat, "runs", body=completion_body("runs", tokens=200))
    )
    entry.send(build_dispatch_for(heartbeat, "waits"))
    entry.wait_for_bytes("runs", 1)

    agent.leave()
    leaving = entry.wait_for(AgentHeartbeat, lambda heartbeat: heartbeat.leaving)
    agent.leave()
    entry.send(build_dispatch_for(leaving, "new"))

    assert entry.wait_for_refusal("waits").reason is DispatchRefusal.LEAVING
    assert entry.wait_for_refusal("new").reason is DispatchRefusal.LEAVING
    assert entry.wait_for_end("runs").outcome is Outcome.RAN
    assert entry.get_body("runs") == build_streamed_answer("runs", 200)
    assert agent.wait_drained(10.0)
    assert engine.counters.get_counts()["by_request_id"] == {"runs": 1}


def test_server_silent_on_every_connection_is_declared_lost(
    harness: AgentHarness,
) -> None:
    """Guards against waiting forever for a server that hangs.

    Open and new connections to the engine all freeze. After a few queries on new ones
    the outcome is unknown, and later requests run once the engine replies again.
    """
    engine = harness.start_engine(step_ms=20.0)
    relay = harness.start_relay(engine.address)
    entry = harness.start_entry(harness.start_agent(relay.url))
    entry.send(
        build_dispatch_for(
            entry.wait_for_heartbeat(), "a", body=completion_body("a", tokens=1000)
        )
    )
    entry.wait_for_bytes("a", 200)

    relay.set_mode(RelayMode.FREEZE_ALL)
    end = entry.wait_for_end("a")
    relay.set_mode(RelayMode.PASS)
    entry.send(build_dispatch_for(entry.wait_for_heartbeat(), "b"))

    assert (end.outcome, end.detail) == (Outcome.UNKNOWN, "server silent")
    assert end.length == len(entry.get_body("a"))
    assert entry.wait_for_end("b").outcome is Outcome.RAN


def test_draining_agent_waits_for_entry_to_resume_after_silent_link(
    harness: AgentHarness,
) -> None:
    """Guards against a truncated answer when an agent stops behind a dead link.

    The agent's last frames are lost on a frozen link during the drain. It waits until
    the entry has resumed on a new one.
    """
    engine = harness.start_engine()
    agent = harness.start_agent(engine.url)
    relay = harness.start_relay(f"127.0.0.1:{agent.port}")
    entry = harness.start_entry(relay)
    entry.send(
        build_dispatch_for(
            entry.wait_for_heartbeat(), "a", body=completion_body("a", tokens=60)
        )
    )
    entry.wait_for_bytes("a", 200)

    relay.set_mode(RelayMode.FREEZE_OPEN)
    agent.leave()
    wait_until(lambda: not engine.get_state()["running"], "the engine to finish")
    assert not agent.wait_drained(2.0)
    entry.replace_link()
    entry.resume("a", credit=1_000_000)

    assert entry.wait_for_end("a").outcome is Outcome.RAN
    assert entry.get_body("a") == build_streamed_answer("a", 60)
    assert agent.wait_drained(5.0)


def test_attempt_without_a_thread_is_refused_and_frees_its_capacity(
    harness: AgentHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an accepted attempt that neither runs nor ends.

    The operating system has no thread left for it. Its caller would wait until its
    deadline and be told that it may have run, and its capacity would be lost for good.
    """
    service = harness.start_service()
    agent = harness.start_agent(
        service.url, adapter="service", limits=AgentLimits(concurrency=1)
    )
    entry = harness.start_entry(agent)
    heartbeat = entry.wait_for_heartbeat()
    start = Thread.start

    def fail_to_start(thread: Thread) -> None:
        if thread.name == "run r1":
            raise RuntimeError("can't start new thread")
        start(thread)

    monkeypatch.setattr(Thread, "start", fail_to_start)

    entry.send(build_dispatch_for(heartbeat, "r1"))
    refusal = entry.wait_for_refusal("r1")
    entry.send(build_dispatch_for(heartbeat, "r2"))
    end = entry.wait_for_end("r2")

    assert refusal.reason is DispatchRefusal.FULL
    assert end.outcome is Outcome.RAN


def test_attempt_cancelled_before_its_request_is_sent_is_refused(
    harness: AgentHarness,
) -> None:
    """Guards against an unknown outcome of a request that was never sent.

    The engine is silent, so the agent still asks for its state when the caller leaves
    and the attempt is cancelled. It must end as not run.
    """
    engine = harness.start_engine()
    relay = harness.start_relay(engine.address)
    relay.set_mode(RelayMode.FREEZE_ALL)
    entry = harness.start_entry(harness.start_agent(relay.url))
    entry.send(build_dispatch_for(entry.wait_for_heartbeat(), "r1"))
    entry.wait_for(AttemptAccepted)

    entry.send(CancelRequest("r1", 1))
    entry.resume("r1", credit=1_000)
    answer = entry.wait_for(
        Message, lambda message: isinstance(message, AttemptRefused | AttemptEnd)
    )

    assert engine.counters.get_counts()["by_request_id"] == {}
    assert isinstance(answer, AttemptRefused), answer
    assert answer.reason is DispatchRefusal.CANCELLED
