"""Steps for a group's expert map, checked against the ranks' step records."""

from __future__ import annotations

import time
from typing import Any

import msgspec
from behave import given
from behave import then
from behave import when
from features.world import API_KEY
from features.world import COMPLETIONS_PATH
from features.world import World
from features.world import build_manifest
from tools.processes import wait_until


GROUP_NAME = "parts-model"
EXPERT_COUNT = 12
MAP_CHANGE_TIMEOUT_S = 60.0
STEP_TIMEOUT_S = 30.0


@given("a group of {ranks:d} ranks with agents and an entry")
def start_group(context: Any, ranks: int) -> None:
    """Start lock-stepped ranks, an agent and an engine for each, and an entry."""
    world = World()
    context.world = world
    process, addresses = world.fleet.start_ranks(ranks, EXPERT_COUNT)
    context.ranks = addresses
    for rank, address in enumerate(addresses):
        world.fleet.add_agent(
            f"engine-{rank}",
            GROUP_NAME,
            server_settings={"rank": rank, "rank_url": f"http://{address}"},
        )
    world.fleet.add_entry("entry-1")
    submitted = world.fleet.submit_manifest(_build_manifest(ranks))
    assert submitted.returncode == 0, submitted.stderr
    world.fleet.wait_until_serving(
        API_KEY, COMPLETIONS_PATH, {"prompt": "ready", "max_tokens": 1}
    )
    wait_until(
        lambda: _fetch_step_record(context)["steps"] > 0,
        "a first step",
        MAP_CHANGE_TIMEOUT_S,
    )


def _build_manifest(ranks: int) -> dict[str, Any]:
    changed = build_manifest()
    changed["groups"][0]["experts"] = {
        "ranks": ranks,
        "experts": EXPERT_COUNT,
        "rebalance_every_s": 1.0,
        "skew_weight": 10.0,
        "move_cost": 0.01,
        "expert_bytes": 1000,
    }
    return changed


def _fetch_step_record(context: Any) -> dict[str, Any]:
    found: dict[str, Any] = context.world.fleet.get_json(
        context.ranks[0], "/test/steps"
    )
    return found


@given("an agent coordinates the group")
def wait_for_coordinator(context: Any) -> None:
    """Wait until an agent holds the group's lease."""
    _wait_for_lease_holder(context)


@when("experts {first:d} and {second:d} become {factor:d} times as popular")
def raise_popularity(context: Any, first: int, second: int, factor: int) -> None:
    """Make two experts receive more of the load."""
    context.maps_before = _fetch_step_record(context)["steps_by_map"]
    switch = {"hot": [first, second], "factor": float(factor)}
    context.world.fleet.post_json(context.ranks[0], "/test/switch", switch)


@then("the group comes to run on another map")
def check_map_changed(context: Any) -> None:
    """Wait until the ranks run on a new map."""
    before = len(context.maps_before)
    wait_until(
        lambda: len(_fetch_step_record(context)["steps_by_map"]) > before,
        "another map in force",
        MAP_CHANGE_TIMEOUT_S,
    )


@then("the group goes on stepping")
def check_stepping(context: Any) -> None:
    """Wait until the group has run further steps."""
    seen = _fetch_step_record(context)["steps"]
    wait_until(
        lambda: _fetch_step_record(context)["steps"] > seen + 5,
        "further steps",
        STEP_TIMEOUT_S,
    )


@then("no step was run on two maps")
def check_no_mixed_steps(context: Any) -> None:
    """Check in the ranks' records that no step used two maps."""
    found = _fetch_step_record(context)
    assert not found["mixed"], found
    print(f"steps {found['steps']}, longest stall {found['longest_stall_s']:.2f} s")


def _wait_for_lease_holder(context: Any) -> str:
    fleet = context.world.fleet

    def holder() -> str:
        held = fleet.get_object(f"leases/{GROUP_NAME}")
        return "" if held is None else str(msgspec.json.decode(held)["holder"])

    wait_until(lambda: holder() in fleet.agents, "a lease holder", MAP_CHANGE_TIMEOUT_S)
    context.coordinator = holder()
    return context.coordinator


@when("the agent that coordinates is killed")
def kill_coordinator(context: Any) -> None:
    """Kill the holder of the group's lease."""
    context.killed = getattr(context, "coordinator", None) or _wait_for_lease_holder(
        context
    )
    context.world.fleet.agents[context.killed].process.kill()


@when("the killed agent is started again")
def restart_killed(context: Any) -> None:
    """Restart the stopped agent."""
    context.world.fleet.restart_agent(context.killed)


@when("the agent that coordinates is paused for {seconds:d} s")
def pause_coordinator(context: Any, seconds: int) -> None:
    """Pause the lease holder for longer than the lease lasts."""
    process = context.world.fleet.agents[_wait_for_lease_holder(context)].process
    process.pause()
    time.sleep(seconds)
    process.resume()


@when("the agent that coordinates is stopped as planned")
def stop_coordinator(context: Any) -> None:
    """Send SIGTERM to the lease holder."""
    context.killed = _wait_for_lease_holder(context)
    process = context.world.fleet.agents[context.killed].process
    process.terminate()


@then("another agent coordinates within {seconds:d} s")
def check_successor(context: Any, seconds: int) -> None:
    """Wait until the lease has another holder."""
    fleet = context.world.fleet

    def has_successor() -> bool:
        held = fleet.get_object(f"leases/{GROUP_NAME}")
        if held is None:
            return False
        holder = str(msgspec.json.decode(held)["holder"])
        return holder in fleet.agents and holder != context.killed

    wait_until(has_successor, "another holder of the lease", float(seconds))
