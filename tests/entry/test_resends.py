"""Requests that may not be repeated, sent again with the same key, with processes."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import pytest
from features.world import RESERVATIONS_PATH
from features.world import TIMINGS
from features.world import World
from features.world import build_manifest


if TYPE_CHECKING:
    from collections.abc import Iterator

KEY = "key-1"
SERVICE = "service-1"
OTHER_SERVICE = "service-2"
RUN_TIMEOUT_S = 10.0
# Longer than the entries need to learn of another server on a busy machine.
OCCUPIED_MS = 8000.0


@pytest.fixture
def world() -> Iterator[World]:
    found = World()
    try:
        yield found
    finally:
        found.close()


def start_fleet(world: World, *entries: str, **limits: int) -> None:
    world.fleet.add_agent(SERVICE, "portal", kind="service", limits=limits or None)
    for entry in entries:
        world.fleet.add_entry(entry)
    assert world.fleet.submit_manifest(build_manifest()).returncode == 0
    world.fleet.wait_until_configured()


def send(world: World, name: str, entry: str, key: str = KEY) -> None:
    body = {"part": "PN-1"}
    world.start_call(name, entry, RESERVATIONS_PATH, body, idempotency_key=key)


def wait_for_run(world: World) -> dict[str, int]:
    """Wait for the first run; return the runs by idempotency key."""
    deadline = time.monotonic() + RUN_TIMEOUT_S
    while not (runs := world.count_runs_by_idempotency_key()):
        assert time.monotonic() < deadline, "no request runs"
        time.sleep(0.05)
    return runs


def test_resend_gets_the_answer_of_a_run_that_is_longer_than_the_agents_time_out(
    world: World,
) -> None:
    """Guards against an unknown outcome while the run goes on at a live agent.

    The agent sends a resumed attempt nothing before its head, so the entry declares
    the live agent silent and records that for every later send of the key.
    """
    start_fleet(world, "entry-1", "entry-2")
    delay_s = TIMINGS["give_up_s"] + 2.0
    world.fleet.set_server_faults(SERVICE, delay_ms=1000 * delay_s)
    send(world, "first", "entry-1")
    wait_for_run(world)

    send(world, "again", "entry-2")
    first, again = world.require_reply("first"), world.require_reply("again")

    assert (first.status, first.outcome) == (200, "ran")
    assert (again.status, again.outcome, again.body) == (200, "ran", first.body)
    assert world.count_runs_by_idempotency_key() == {KEY: 1}


def test_resend_of_a_refused_request_runs_after_its_agent_has_restarted(
    world: World,
) -> None:
    """Guards against an unknown outcome of a request that certainly never ran.

    Its agent refuses it, as the server is unreachable, and the caller is told not-run.
    The claim still names the agent's incarnation, which then ends.
    """
    start_fleet(world, "entry-1")
    world.fleet.agents[SERVICE].server.kill()
    send(world, "refused", "entry-1")
    refused = world.require_reply("refused")
    world.fleet.restart_server(SERVICE)
    world.fleet.agents[SERVICE].process.kill()
    world.fleet.restart_agent(SERVICE)
    time.sleep(TIMINGS["gone_s"])

    send(world, "again", "entry-1")
    again = world.require_reply("again")

    assert (refused.status, refused.outcome) == (503, "not-run")
    assert (again.status, again.outcome) == (200, "ran")
    assert world.count_runs_by_idempotency_key() == {KEY: 1}


def test_resend_that_joined_a_queued_attempt_runs_when_its_agent_leaves(
    world: World,
) -> None:
    """Guards against an unknown outcome of an attempt that is refused in the queue.

    Two entries dispatch at once to a server that runs one request at a time. The resend
    joins the queued one; the agent leaves and refuses what it has queued. The request
    then runs once, on the other server.
    """
    start_fleet(world, "entry-1", "entry-2", concurrency=1)
    world.fleet.set_server_faults(SERVICE, delay_ms=OCCUPIED_MS)
    send(world, "entry-1", "entry-1", key="key-1")
    send(world, "entry-2", "entry-2", key="key-2")
    (running,) = wait_for_run(world)
    queued, entry, other = {
        "key-1": ("key-2", "entry-2", "entry-1"),
        "key-2": ("key-1", "entry-1", "entry-2"),
    }[running]
    world.fleet.add_agent(OTHER_SERVICE, "portal", kind="service")
    world.fleet.wait_until_configured()

    send(world, "again", other, key=queued)
    time.sleep(TIMINGS["heartbeat_s"])
    world.fleet.agents[SERVICE].process.terminate()
    first, again = world.require_reply(entry), world.require_reply("again")

    assert (first.status, first.outcome) == (200, "ran")
    assert (again.status, again.outcome, again.body) == (200, "ran", first.body)
    assert world.count_runs_by_idempotency_key() == {running: 1, queued: 1}
