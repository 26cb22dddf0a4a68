"""Steps that start a fleet and inject failures."""

from __future__ import annotations

import time
from typing import Any

from behave import given
from behave import when
from features.world import API_KEY
from features.world import COMPLETIONS_PATH
from features.world import World
from features.world import build_manifest


# A few heartbeats of TIMINGS, until the entries know the restarted incarnation.
RESTART_SETTLE_S = 1.0


@given("a fleet of {entries:d} entries, {engines:d} engines and {services:d} services")
def start_fleet(context: Any, entries: int, engines: int, services: int) -> None:
    """Start the processes, submit the manifest and wait until all entries serve."""
    _start_fleet(context, entries, engines, services, relayed=False)


@given(
    "a fleet of {entries:d} entries, {engines:d} engines and {services:d} services "
    "behind relays"
)
def start_relayed_fleet(
    context: Any, entries: int, engines: int, services: int
) -> None:
    """Start a fleet whose entries reach agents through controllable relays."""
    _start_fleet(context, entries, engines, services, relayed=True)


@given(
    "a fleet of {entries:d} entries and {services:d} services, "
    "one of each in a data centre"
)
def start_spread_fleet(context: Any, entries: int, services: int) -> None:
    """Start entry-N and service-N in data centre N; each entry prefers its own."""
    world = World()
    context.world = world
    for number in range(1, services + 1):
        world.fleet.add_agent(
            f"service-{number}", "portal", kind="service", data_centre=f"dc-{number}"
        )
    for number in range(1, entries + 1):
        world.fleet.add_entry(f"entry-{number}", data_centre=f"dc-{number}")
    submitted = world.fleet.submit_manifest(build_manifest())
    assert submitted.returncode == 0, submitted.stderr
    world.fleet.wait_until_configured()


@given("{entry} joins with {size_mb:d} MB of memory for bodies")
def add_small_entry(context: Any, entry: str, size_mb: int) -> None:
    """Start a further entry and wait until it serves."""
    limits = {"requests_bytes": size_mb * 1_000_000}
    context.world.fleet.add_entry(entry, limits=limits)
    context.world.fleet.wait_until_configured()


def _start_fleet(
    context: Any, entries: int, engines: int, services: int, *, relayed: bool
) -> None:
    world = World()
    context.world = world
    for number in range(1, engines + 1):
        world.fleet.add_agent(f"engine-{number}", "parts-model", relayed=relayed)
    for number in range(1, services + 1):
        world.fleet.add_agent(
            f"service-{number}", "portal", kind="service", relayed=relayed
        )
    for number in range(1, entries + 1):
        world.fleet.add_entry(f"entry-{number}")
    submitted = world.fleet.submit_manifest(build_manifest())
    assert submitted.returncode == 0, submitted.stderr
    if engines:
        world.fleet.wait_until_serving(
            API_KEY, COMPLETIONS_PATH, {"prompt": "ready", "max_tokens": 1}
        )
    else:
        world.fleet.wait_until_configured()


@given("service {name} takes {delay_ms:d} ms for each call")
def set_service_delay(context: Any, name: str, delay_ms: int) -> None:
    """Slow the service down so that a failure meets a running request."""
    context.world.fleet.set_server_faults(name, delay_ms=delay_ms)


@given("engine {name} takes {step_ms:d} ms for each step")
@when("engine {name} takes {step_ms:d} ms for each step")
def set_step_time(context: Any, name: str, step_ms: int) -> None:
    """Set the engine's step time."""
    context.world.fleet.set_server_faults(name, step_ms=step_ms)


@given("the platform is {outage}")
@when("the platform is {outage}")
def set_outage(context: Any, outage: str) -> None:
    """Set the platform's outage mode: down, hang or up."""
    context.world.fleet.set_platform_faults(outage="off" if outage == "up" else outage)


@given("the platform loses the answers of the next {count:d} writes")
@when("the platform loses the answers of the next {count:d} writes")
def drop_write_responses(context: Any, count: int) -> None:
    """Make writes take effect without a response."""
    context.world.fleet.set_platform_faults(lose_answers=count)


@when("the platform answers writes {seconds:g} s late")
def delay_write_responses(context: Any, seconds: float) -> None:
    """Make writes take effect at once but respond late."""
    context.world.fleet.set_platform_faults(slow_answer_s=seconds)


@when("the platform's reads are {versions:d} versions behind")
def set_stale_reads(context: Any, versions: int) -> None:
    """Make reads return an older version."""
    context.world.fleet.set_platform_faults(stale=versions)


@when("{seconds:g} s pass")
def sleep_for(context: Any, seconds: float) -> None:
    """Give a fault time to act; checks wait for conditions instead."""
    time.sleep(seconds)


@when("entry {name} is {action}")
def change_entry_process(context: Any, name: str, action: str) -> None:
    """Kill, pause, resume, stop or restart an entry."""
    world = context.world
    if action == "restarted":
        world.fleet.entries[name].process.kill()
        world.fleet.restart_entry(name)
        return
    _apply_action(world.fleet.entries[name].process, action)


@when("agent {name} is {action}")
def change_agent_process(context: Any, name: str, action: str) -> None:
    """Kill, pause, resume, stop or restart an agent."""
    world = context.world
    if action == "restarted":
        world.fleet.agents[name].process.kill()
        world.fleet.restart_agent(name)
        return
    _apply_action(world.fleet.agents[name].process, action)


@when("the server of {name} is {action}")
def change_server_process(context: Any, name: str, action: str) -> None:
    """Kill or restart the backend server beside an agent."""
    agent = context.world.fleet.agents[name]
    if action == "restarted":
        agent.server.kill()
        context.world.fleet.restart_server(name)
        return
    _apply_action(agent.server, action)


def _apply_action(process: Any, action: str) -> None:
    match action:
        case "killed":
            process.kill()
        case "paused":
            process.pause()
        case "woken":
            process.resume()
        case "told to stop":
            process.terminate()
        case _:
            raise AssertionError(action)


@when("the relay of {name} is set to {mode}")
def set_relay(context: Any, name: str, mode: str) -> None:
    """Set the mode of the relay between the entries and an agent."""
    world = context.world
    world.fleet.set_relay_mode(world.fleet.agents[name].relay_control_address, mode)


@when("the list says that {name} is leaving")
def mark_instance_leaving(context: Any, name: str) -> None:
    """Mark an agent's instance as leaving on the platform's list."""
    fleet = context.world.fleet
    agent = fleet.agents[name]
    group = "portal" if agent.kind == "service" else "parts-model"
    fleet.register_instance(name, "agent", group, "dc-1", agent.address, leaving=True)


@when("the open connections to the server of {name} go silent")
def silence_server_connections(context: Any, name: str) -> None:
    """Make the engine's open connections silent for good; new ones work."""
    fleet = context.world.fleet
    fleet._call_stand_in("POST", fleet.agents[name].server_address, "/test/silence", {})


@when("engine {name} crosses its answers")
def swap_response_ids(context: Any, name: str) -> None:
    """Make the engine answer under another run's id."""
    context.world.fleet.set_server_faults(name, crossed=True)


@when("agent {name} has ended")
def wait_for_agent_exit(context: Any, name: str) -> None:
    """Wait for the agent's graceful stop."""
    assert context.world.fleet.agents[name].process.wait() == 0


@when("each agent is replaced in turn")
def replace_agents(context: Any) -> None:
    """Stop each agent gracefully and restart it."""
    world = context.world
    for name in list(world.fleet.agents):
        _stop_gracefully(world.fleet.agents[name].process)
        world.fleet.restart_agent(name)
        time.sleep(RESTART_SETTLE_S)


@when("each entry is replaced in turn")
def replace_entries(context: Any) -> None:
    """Stop each entry gracefully, move callers to the others, and restart it."""
    world = context.world
    for name in list(world.fleet.entries):
        others = [other for other in world.fleet.entries if other != name]
        world.fleet.entries[name].process.terminate()
        world.background_load.set_entries(others)
        assert world.fleet.entries[name].process.wait() == 0
        world.fleet.restart_entry(name)
        world.fleet.wait_until_serving(
            API_KEY, COMPLETIONS_PATH, {"prompt": "ready", "max_tokens": 1}
        )
        world.background_load.set_entries(list(world.fleet.entries))


def _stop_gracefully(process: Any) -> None:
    process.terminate()
    assert process.wait() == 0
