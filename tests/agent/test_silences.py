"""Many streams while connections on both sides of the agent freeze at random.

Guards against truncated or mixed-up answers and repeated runs. The link from entry to
agent and the connections from agent to engine are repeatedly frozen or cut in a random
order. The entry replaces its link and resumes, and the agent does the same towards its
engine.
"""

from __future__ import annotations

import time
from random import Random
from typing import TYPE_CHECKING

import pytest

from kingcupwheel.messages.attempts import AttemptAccepted
from kingcupwheel.messages.attempts import AttemptEnd
from kingcupwheel.messages.attempts import Outcome
from kingcupwheel.settings.schema import AgentLimits
from tests.agent.builders import build_dispatch_for
from tests.agent.builders import completion_body
from tests.agent.fake_entry import wait_until
from tests.standins.engine_answers import build_streamed_answer
from tests.standins.relay import RelayMode


if TYPE_CHECKING:
    from tests.agent.conftest import AgentHarness
    from tests.agent.fake_entry import FakeEntry

STREAM_COUNT = 24
TOKENS_PER_STREAM = 150
FAULT_COUNT = 12
MAX_FAULT_INTERVAL_S = 0.25
CREDIT_BYTES = 2_000
COMPLETION_TIMEOUT_S = 30.0
# The agent declares an engine lost that answers no new connection for twice as long.
# The stand-in serves 24 streams in one interpreter and may take over 1.2 s for a reply
# on a busy machine.
ENGINE_SILENCE_S = 2.5


def list_ended(entry: FakeEntry) -> set[str]:
    return {
        message.request_id
        for message in tuple(entry.received)
        if isinstance(message, AttemptEnd) and message.outcome is Outcome.RAN
    }


def list_accepted(entry: FakeEntry) -> set[str]:
    return {
        message.request_id
        for message in tuple(entry.received)
        if isinstance(message, AttemptAccepted)
    }


def resume_all(entry: FakeEntry, names: list[str]) -> None:
    entry.replace_link()
    for name in names:
        entry.resume(name, credit=CREDIT_BYTES)


@pytest.mark.parametrize("seed", [1, 2])
def test_answers_stay_whole_and_apart_through_silences(
    harness: AgentHarness, seed: int
) -> None:
    rng = Random(seed)
    engine = harness.start_engine(step_ms=20.0)
    to_engine = harness.start_relay(engine.address)
    limits = AgentLimits(concurrency=STREAM_COUNT, answers_bytes=100_000)
    agent = harness.start_agent(
        to_engine.url, limits=limits, silence_s=ENGINE_SILENCE_S
    )
    to_agent = harness.start_relay(f"127.0.0.1:{agent.port}")
    entry = harness.start_entry(to_agent)
    names = [f"r{number}" for number in range(STREAM_COUNT)]
    heartbeat = entry.wait_for_heartbeat()
    for name in names:
        body = completion_body(name, tokens=TOKENS_PER_STREAM)
        entry.send(build_dispatch_for(heartbeat, name, body=body, credit=CREDIT_BYTES))
    wait_until(lambda: list_accepted(entry) == set(names), "all to be accepted")

    for _ in range(FAULT_COUNT):
        relay = rng.choice((to_agent, to_engine))
        relay.set_mode(rng.choice((RelayMode.FREEZE_OPEN, RelayMode.CUT)))
        time.sleep(MAX_FAULT_INTERVAL_S * rng.random())
        relay.set_mode(RelayMode.PASS)
        if rng.random() < 0.5:
            resume_all(entry, names)
        time.sleep(MAX_FAULT_INTERVAL_S * rng.random())
    deadline = time.monotonic() + COMPLETION_TIMEOUT_S
    while list_ended(entry) < set(names) and time.monotonic() < deadline:
        resume_all(entry, sorted(set(names) - list_ended(entry)))
        time.sleep(1.0)

    assert list_ended(entry) == set(names)
    wrong = [
        n
        for n in names
        if entry.get_body(n) != build_streamed_answer(n, TOKENS_PER_STREAM)
    ]
    assert wrong == []
    assert set(engine.counters.get_counts()["by_request_id"].values()) == {1}
