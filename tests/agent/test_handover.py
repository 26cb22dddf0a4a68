"""Connections that fail while the agent hands a request over to its server.

A relay stops the request's connection at a chosen byte. The server keeps its
incarnation and answers new connections, unless a test says otherwise.
"""

from __future__ import annotations

import time
from itertools import product
from typing import TYPE_CHECKING
from typing import Any

import pytest

from kingcupwheel.messages.attempts import AttemptEnd
from kingcupwheel.messages.attempts import AttemptRefused
from kingcupwheel.messages.attempts import ClaimRef
from kingcupwheel.messages.attempts import Outcome
from kingcupwheel.messages.membership import AgentHeartbeat
from tests.agent.builders import build_dispatch_for
from tests.agent.builders import completion_body
from tests.agent.fake_entry import TIMEOUT_S
from tests.agent.fake_entry import wait_until
from tests.standins.engine_answers import build_streamed_answer
from tests.standins.relay import RelayMode
from tests.standins.relay import StopAction
from tests.standins.relay import StopPoint


if TYPE_CHECKING:
    from tests.agent.conftest import AgentHarness
    from tests.agent.fake_entry import FakeEntry
    from tests.standins.engine import EngineStandIn
    from tests.standins.relay import StoppingRelay
    from tests.standins.service import ServiceStandIn

    Server = EngineStandIn | ServiceStandIn

CLAIM = ClaimRef("claim", 1)
TOKENS = 100
# More than the socket buffers between agent and relay hold.
LARGE_BODY_CHARS = 16_000_000
# Time in which a copy that was delivered late, or sent again, would begin.
LATE_RUN_S = 1.0
# Time until a busy engine reads a request whose connection has failed.
LATE_READ_S = 0.5
# Long enough for an engine to reply, and to restart, on a busy machine.
ENGINE_SILENCE_S = 1.5

SERVERS = pytest.mark.parametrize("adapter", ["engine", "service"])
LATE_ENDINGS = (StopAction.HOLD, StopAction.CLOSE_CALLER)
ENDINGS = pytest.mark.parametrize(
    "action", [StopAction.CLOSE, StopAction.RESET, StopAction.HOLD]
)
PARTIAL_POINTS = (StopPoint.START, StopPoint.HEADERS, StopPoint.BODY)


def start_server(harness: AgentHarness, adapter: str) -> Server:
    return harness.start_engine() if adapter == "engine" else harness.start_service()


def connect_entry(
    harness: AgentHarness, server: Server, **options: Any
) -> tuple[StoppingRelay, FakeEntry]:
    """Start an agent that reaches the server by a relay, and an entry."""
    relay = harness.start_stopping_relay(server.address)
    return relay, harness.start_entry(harness.start_agent(relay.url, **options))


def run_request(entry: FakeEntry, name: str) -> None:
    """Run a request, so that the agent knows that the server waits for bodies."""
    entry.send(build_dispatch_for(entry.wait_for_heartbeat(), name))
    assert entry.wait_for_end(name).outcome is Outcome.RAN


def send_stopped(
    relay: StoppingRelay,
    entry: FakeEntry,
    point: StopPoint,
    action: StopAction,
    *,
    claim: ClaimRef | None = None,
    padding: str = "",
) -> None:
    """Dispatch request ``a`` and wait until the relay has stopped it.

    The agent knows the engine's incarnation by then.
    """
    heartbeat = entry.wait_for(AgentHeartbeat, lambda message: message.server_up)
    relay.stop_next_request(point, action)
    body = completion_body("a", tokens=TOKENS, padding=padding)
    entry.send(build_dispatch_for(heartbeat, "a", body=body, claim=claim))
    assert relay.stopped.wait(TIMEOUT_S)


def count_runs(server: Server) -> int:
    """Return how often the server ran request ``a``, under any run id."""
    by_attempt = server.counters.get_counts()["by_attempt"]
    return sum(count for run_id, count in by_attempt.items() if run_id[:2] == "a-")


def has_begun_or_ended(entry: FakeEntry) -> bool:
    return bool(entry.get_body("a")) or any(
        isinstance(message, AttemptEnd | AttemptRefused)
        for message in tuple(entry.received)
    )


@ENDINGS
@pytest.mark.parametrize("point", [*PARTIAL_POINTS, StopPoint.WHOLE])
def test_repeatable_request_whose_connection_fails_runs_once(
    harness: AgentHarness, point: StopPoint, action: StopAction
) -> None:
    """Guards against losing a repeatable request, and against running it twice.

    Its connection closes, is reset or goes silent for good before the engine has the
    last byte, or before the answer. The caller gets the whole answer of one run.
    """
    engine = harness.start_engine(numbered=True)
    relay, entry = connect_entry(harness, engine, silence_s=ENGINE_SILENCE_S)

    send_stopped(relay, entry, point, action)
    end = entry.wait_for_end("a")

    assert (end.outcome, end.detail) == (Outcome.RAN, "")
    assert entry.get_body("a") == build_streamed_answer("a 1", TOKENS)
    assert count_runs(engine) == 1


@ENDINGS
def test_claimed_request_whose_body_stayed_with_the_agent_is_not_unknown(
    harness: AgentHarness, action: StopAction
) -> None:
    """Guards against an unknown outcome though the engine can't have run it.

    The body is larger than the socket buffers and nobody reads it, so that the agent
    still has a part of it when the connection fails.
    """
    engine = harness.start_engine()
    relay, entry = connect_entry(harness, engine, silence_s=ENGINE_SILENCE_S)
    run_request(entry, "earlier")

    padding = "a" * LARGE_BODY_CHARS
    send_stopped(relay, entry, StopPoint.UNREAD, action, claim=CLAIM, padding=padding)
    told = entry.wait_for_outcome("a")
    time.sleep(LATE_RUN_S)

    runs_by_outcome = {Outcome.NOT_RUN: 0, Outcome.RAN: 1}
    assert told in runs_by_outcome
    assert count_runs(engine) == runs_by_outcome[told]


def test_service_that_acts_on_headers_alone_runs_a_claimed_request_once(
    harness: AgentHarness,
) -> None:
    """Guards against taking a body that was not sent for a request that has not run.

    The service has asked for the body of an earlier request. It runs this one by its
    headers and closes the connection.
    """
    service = harness.start_service()
    entry = harness.start_entry(harness.start_agent(service.url, adapter="service"))
    run_request(entry, "earlier")
    service.acts_on_headers = True

    heartbeat = entry.wait_for_heartbeat()
    entry.send(build_dispatch_for(heartbeat, "a", claim=CLAIM))
    told = entry.wait_for_outcome("a")

    assert told is Outcome.UNKNOWN
    assert count_runs(service) == 1


@pytest.mark.parametrize(
    ("point", "action"),
    [
        *((StopPoint.WHOLE, action) for action in StopAction),
        *product((StopPoint.START, StopPoint.BODY), LATE_ENDINGS),
    ],
)
@pytest.mark.parametrize("is_first", [True, False])
@SERVERS
def test_claimed_request_that_reaches_the_server_is_not_told_as_not_run(
    harness: AgentHarness,
    adapter: str,
    is_first: bool,
    point: StopPoint,
    action: StopAction,
) -> None:
    """Guards against a false not-run, and against a second run under one claim.

    The connection fails before the answer. The server has received the whole request by
    then, or receives the rest of it after the caller has been told the outcome.
    """
    server = start_server(harness, adapter)
    relay, entry = connect_entry(harness, server, adapter=adapter)
    if not is_first:
        run_request(entry, "earlier")

    send_stopped(relay, entry, point, action, claim=CLAIM)
    told = entry.wait_for_outcome("a")
    relay.deliver_held()
    time.sleep(LATE_RUN_S)

    runs = count_runs(server)
    assert runs <= 1
    assert (told, runs) != (Outcome.NOT_RUN, 1)


@pytest.mark.parametrize("action", LATE_ENDINGS)
@pytest.mark.parametrize("point", PARTIAL_POINTS)
def test_answers_of_two_runs_are_not_mixed(
    harness: AgentHarness, point: StopPoint, action: StopAction
) -> None:
    """Guards against an answer whose parts come from two runs of one request.

    The stopped copy is delivered while the answer of another one is being streamed, if
    there is another. Then the connection breaks, and the agent resumes by the run's id,
    which both runs have. The engine answers each run differently.
    """
    engine = harness.start_engine(numbered=True, step_ms=20.0)
    relay, entry = connect_entry(harness, engine, silence_s=ENGINE_SILENCE_S)

    send_stopped(relay, entry, point, action)
    wait_until(lambda: has_begun_or_ended(entry), "the answer to begin or end")
    relay.deliver_held()
    time.sleep(LATE_RUN_S)
    relay.set_mode(RelayMode.CUT)
    relay.set_mode(RelayMode.PASS)
    told = entry.wait_for_outcome("a")

    answers = [build_streamed_answer(f"a {number}", TOKENS) for number in (1, 2, 3)]
    body = entry.get_body("a")
    assert any(answer.startswith(body) for answer in answers)
    assert told is not Outcome.RAN or body in answers


def test_request_that_the_engine_reads_late_runs_once(harness: AgentHarness) -> None:
    """Guards against a second run of a request that was only read late.

    Its connection fails, and the engine does not have it when it is first asked.
    """
    engine = harness.start_engine()
    relay, entry = connect_entry(harness, engine, silence_s=ENGINE_SILENCE_S)

    send_stopped(relay, entry, StopPoint.BODY, StopAction.CLOSE_CALLER)
    time.sleep(LATE_READ_S)
    relay.deliver_held()

    assert entry.wait_for_end("a").outcome is Outcome.RAN
    assert count_runs(engine) == 1


def test_late_copy_is_cancelled_once_the_answer_is_complete(
    harness: AgentHarness,
) -> None:
    """Guards against an engine that is kept busy by a copy nobody reads.

    The stopped copy is delivered in the middle of the second send's answer, so that it
    would run on for about a second after the answer's end.
    """
    engine = harness.start_engine(step_ms=20.0)
    relay, entry = connect_entry(harness, engine, silence_s=ENGINE_SILENCE_S)

    send_stopped(relay, entry, StopPoint.BODY, StopAction.CLOSE_CALLER)
    entry.wait_for_bytes("a", len(build_streamed_answer("a", TOKENS)) // 2)
    relay.deliver_held()
    wait_until(lambda: engine.find_run("a-1") is not None, "the late copy to run")
    assert entry.wait_for_end("a").outcome is Outcome.RAN

    late = engine.find_run("a-1")
    assert late is not None
    wait_until(lambda: late.is_cancelled or late.is_done, "the end of the late copy")
    assert late.is_cancelled


@pytest.mark.parametrize("claim", [None, CLAIM])
@pytest.mark.parametrize("point", [StopPoint.BODY, StopPoint.WHOLE])
def test_restarted_engine_is_not_sent_the_request_again(
    harness: AgentHarness, point: StopPoint, claim: ClaimRef | None
) -> None:
    """Guards against a second run on an engine that restarted during the hand-over.

    The connection goes silent and the engine's incarnation changes. Whether the earlier
    one had begun the request can't be known anymore, so that it isn't sent again.
    """
    engine = harness.start_engine()
    relay, entry = connect_entry(harness, engine, silence_s=ENGINE_SILENCE_S)

    send_stopped(relay, entry, point, StopAction.HOLD, claim=claim)
    engine.incarnation = "restarted"
    told = entry.wait_for_outcome("a")
    time.sleep(LATE_RUN_S)

    assert told is not Outcome.RAN
    assert count_runs(engine) == (1 if point is StopPoint.WHOLE else 0)


def test_engine_that_dies_while_the_body_is_held_back_names_its_suspect(
    harness: AgentHarness,
) -> None:
    """Guards against a request that crashes one engine after another unsuspected.

    The engine dies of the headers: their connection is closed and new ones are refused.
    Entries that aren't told of the suspect place it on the next engine.
    """
    engine = harness.start_engine()
    relay, entry = connect_entry(harness, engine)
    run_request(entry, "earlier")

    send_stopped(relay, entry, StopPoint.UNREAD, StopAction.HOLD)
    relay.stop()

    heartbeat = entry.wait_for(AgentHeartbeat, lambda message: bool(message.suspicions))
    assert [one.key for one in heartbeat.suspicions] == ["print of a"]
    assert entry.wait_for_outcome("a") is Outcome.UNKNOWN


def test_engine_that_restarts_while_the_body_is_held_back_is_not_sent_it_again(
    harness: AgentHarness,
) -> None:
    """Guards against a request that crashes the same engine again and again.

    The engine dies of the headers and is back before the agent connects again.
    """
    engine = harness.start_engine()
    relay, entry = connect_entry(harness, engine, silence_s=ENGINE_SILENCE_S)
    run_request(entry, "earlier")

    heartbeat = entry.wait_for_heartbeat()
    relay.stop_next_request(StopPoint.UNREAD, StopAction.CLOSE)
    engine.incarnation = "restarted"
    entry.send(build_dispatch_for(heartbeat, "a"))

    assert entry.wait_for_outcome("a") is Outcome.UNKNOWN
    assert count_runs(engine) == 0


def test_engine_of_unknown_incarnation_is_not_sent_the_request_again(
    harness: AgentHarness,
) -> None:
    """Guards against a second crash by a request whose engine can't be identified.

    The engine names no incarnation. One that the request has crashed and that is back
    looks the same as one that never had it.
    """
    engine = harness.start_engine()
    engine.incarnation = ""
    relay, entry = connect_entry(harness, engine, silence_s=ENGINE_SILENCE_S)

    send_stopped(relay, entry, StopPoint.BODY, StopAction.CLOSE)
    told = entry.wait_for_outcome("a")
    time.sleep(LATE_RUN_S)

    assert (told, count_runs(engine)) == (Outcome.UNKNOWN, 0)
