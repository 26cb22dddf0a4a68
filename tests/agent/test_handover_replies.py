"""Servers whose first reply to a held-back body is not a prompt ``100 Continue``.

Each server has replied ``100 Continue`` to an earlier request, so that the agent knows
it as one that waits for bodies, unless a test says otherwise.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import pytest

from kingcupwheel.messages.attempts import ClaimRef
from kingcupwheel.messages.attempts import Outcome
from kingcupwheel.messages.membership import AgentHeartbeat
from tests.agent.builders import build_dispatch_for
from tests.standins.counters import RunCounters
from tests.standins.http_server import Handler
from tests.standins.http_server import HttpStandIn


if TYPE_CHECKING:
    from collections.abc import Iterator

    from tests.agent.conftest import AgentHarness
    from tests.agent.fake_entry import FakeEntry

CLAIM = ClaimRef("claim", 1)
# Longer than ``connect_s``.
SLOW_S = 1.5
# Longer than the agent sends again, shorter than it waits for an answer.
QUEUED_S = 4.5
QUEUED_SILENCE_S = 2.0
OTHERS_INTERVAL_S = 0.1


class RepliesHandler(Handler):
    """Acts on ``/headers/...`` without the body, on other paths once it has it."""

    stand_in: RepliesStandIn

    def handle_expect_100(self) -> bool:
        if self.path == "/refused":
            self.reply(417, b"")
            return False
        if self.path == "/queued":
            self.stand_in.stopping.wait(QUEUED_S)
        return self.path.startswith("/headers/") or super().handle_expect_100()

    def do_GET(self) -> None:  # noqa: N802
        self.reply(200, b"")

    def do_POST(self) -> None:  # noqa: N802
        if not self.path.startswith("/headers/"):
            self.read_body()
        self.stand_in.counters.record_run(dict(self.headers))
        self.close_connection = True
        match self.path:
            case "/headers/cut":
                pass
            case "/headers/slow":
                self.stand_in.stopping.wait(SLOW_S)
                self.reply(200, b"done")
            case "/headers/crash":
                self.stand_in.stop()
            case "/headers/silent":
                self.wfile.write(b"HTTP/1.1 200 OK\r\n")
                self.stand_in.stopping.wait()
            case "/417":
                self.reply(417, b"done")
            case _:
                self.reply(200, b"done")


class RepliesStandIn(HttpStandIn):
    def __init__(self) -> None:
        super().__init__(RepliesHandler, "127.0.0.1", 0)
        self.counters = RunCounters()


@pytest.fixture
def server() -> Iterator[RepliesStandIn]:
    server = RepliesStandIn()
    server.start()
    yield server
    server.stop()


def start_entry(
    harness: AgentHarness, server: RepliesStandIn, *, silence_s: float = 0.2
) -> FakeEntry:
    agent = harness.start_agent(server.url, adapter="service", silence_s=silence_s)
    return harness.start_entry(agent)


def connect_entry(
    harness: AgentHarness, server: RepliesStandIn, **options: float
) -> FakeEntry:
    """Start an agent and an entry, and run a request that is asked for its body."""
    entry = start_entry(harness, server, **options)
    entry.send(build_dispatch_for(entry.wait_for_heartbeat(), "earlier"))
    assert entry.wait_for_end("earlier").outcome is Outcome.RAN
    return entry


def run_claimed(harness: AgentHarness, server: RepliesStandIn, path: str) -> Outcome:
    entry = connect_entry(harness, server)
    heartbeat = entry.wait_for_heartbeat()
    entry.send(build_dispatch_for(heartbeat, "a", path=path, claim=CLAIM))
    return entry.wait_for_outcome("a")


def count_runs(server: RepliesStandIn) -> int:
    return server.counters.get_counts()["by_request_id"].get("a", 0)


@pytest.mark.parametrize("path", ["/headers/cut", "/headers/slow"])
def test_claimed_request_that_the_server_runs_without_its_body_runs_once(
    harness: AgentHarness, server: RepliesStandIn, path: str
) -> None:
    """Guards against a second run, or a false not-run, at a server that needs no body.

    A handler that doesn't read the body acts on the headers, and no 100 Continue is
    sent (RFC 9110, section 10.1.1). Its answer is cut off, or begins after connect_s.
    """
    told = run_claimed(harness, server, path)

    assert count_runs(server) == 1
    assert told is not Outcome.NOT_RUN


def test_claimed_request_whose_answer_has_begun_is_not_sent_again(
    harness: AgentHarness, server: RepliesStandIn
) -> None:
    """Guards against a second run after a final answer without 100 Continue.

    The server answers without asking for the body, and its connection goes silent
    within the head of the answer.
    """
    told = run_claimed(harness, server, "/headers/silent")

    assert (told, count_runs(server)) == (Outcome.UNKNOWN, 1)


def test_417_after_the_body_is_the_answer(
    harness: AgentHarness, server: RepliesStandIn
) -> None:
    """Guards against a second run of a claim whose handler answers with 417 itself.

    The server asked for the body and ran the request.
    """
    told = run_claimed(harness, server, "/417")

    assert (told, count_runs(server)) == (Outcome.RAN, 1)


def test_request_runs_once_the_server_no_longer_takes_the_expectation(
    harness: AgentHarness, server: RepliesStandIn
) -> None:
    """Guards against refusing every request once a server has been replaced.

    The new one rejects the expectation, which the earlier one had honoured.
    """
    told = run_claimed(harness, server, "/refused")

    assert (told, count_runs(server)) == (Outcome.RAN, 1)


def test_crash_while_the_body_is_held_back_is_attributed_to_the_request(
    harness: AgentHarness, server: RepliesStandIn
) -> None:
    """Guards against a request that crashes one server after another unsuspected.

    The server dies of the headers: it closes the connection and refuses new ones.
    Entries that aren't told of the suspect place it on the next server.
    """
    entry = connect_entry(harness, server)
    message = build_dispatch_for(entry.wait_for_heartbeat(), "a", path="/headers/crash")

    entry.send(message)

    heartbeat = entry.wait_for(AgentHeartbeat, lambda message: bool(message.suspicions))
    assert [one.key for one in heartbeat.suspicions] == [message.fingerprint]


def test_first_claimed_request_that_the_server_runs_without_its_body_runs_once(
    harness: AgentHarness, server: RepliesStandIn
) -> None:
    """Guards against proof from a server that never showed that it waits for bodies.

    It acts on the headers of the agent's first request and closes the connection.
    """
    entry = start_entry(harness, server)
    heartbeat = entry.wait_for_heartbeat()

    entry.send(build_dispatch_for(heartbeat, "a", path="/headers/cut", claim=CLAIM))
    told = entry.wait_for_outcome("a")

    assert (told, count_runs(server)) == (Outcome.UNKNOWN, 1)


def test_request_that_waits_for_a_worker_of_the_server_is_not_refused(
    harness: AgentHarness, server: RepliesStandIn
) -> None:
    """Guards against refusing requests as unreachable while the server is only busy.

    The server reads the request once a worker is free; other requests are read at once.
    No connection fails.
    """
    entry = connect_entry(harness, server, silence_s=QUEUED_SILENCE_S)
    heartbeat = entry.wait_for_heartbeat()

    entry.send(build_dispatch_for(heartbeat, "a", path="/queued"))
    for number in range(int(QUEUED_S / OTHERS_INTERVAL_S)):
        entry.send(build_dispatch_for(entry.wait_for_heartbeat(), f"other {number}"))
        time.sleep(OTHERS_INTERVAL_S)

    assert entry.wait_for_outcome("a") is Outcome.RAN
