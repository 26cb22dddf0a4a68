"""Steps for a request that crashes the servers that run it."""

from __future__ import annotations

import threading
from typing import Any

from behave import given
from behave import then
from behave import when
from features.world import COMPLETIONS_PATH
from features.world import World
from tools.caller import Reply


_POLL_INTERVAL_S = 0.1


class ServerRestarter:
    """Restarts each dead backend server, as the platform would."""

    def __init__(self, world: World, marker: str) -> None:
        self._world = world
        self._options = ("--crash-on", marker)
        self._stopping = threading.Event()
        self.restart_count = 0
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        while not self._stopping.wait(_POLL_INTERVAL_S):
            for name, agent in list(self._world.fleet.agents.items()):
                if not agent.server.is_alive:
                    self.restart_count += 1
                    self._world.fleet.restart_server(name, self._options)

    def stop(self) -> None:
        """Stop restarting servers."""
        self._stopping.set()
        self._thread.join()


@given('every engine dies of "{marker}" and is started again')
def enable_engine_crashes(context: Any, marker: str) -> None:
    """Make engines crash on a body with the marker, and restart them."""
    world = context.world
    for name in world.fleet.agents:
        world.fleet.set_server_faults(name, crash_on=marker)
    context.restarter = ServerRestarter(world, marker)


@when('"{prompt}" is sent up to {times:d} times under new keys at all entries')
def resend_request(context: Any, prompt: str, times: int) -> None:
    """Send the same body repeatedly under new keys, as a retrying caller would."""
    world = context.world
    entries = list(world.fleet.entries.values())
    body = {"prompt": prompt, "max_tokens": 5}
    context.sends = []
    for turn in range(times):
        address = entries[turn % len(entries)].caller_address
        key = f"send-{turn}"
        reply = world.caller.call(address, COMPLETIONS_PATH, body, idempotency_key=key)
        context.sends.append(reply)


@when('{times:d} different requests with the message "{text}" are sent at all entries')
def send_requests_with_message(context: Any, times: int, text: str) -> None:
    """Send requests that share one message and nothing else."""
    world = context.world
    entries = list(world.fleet.entries.values())
    context.sends = []
    for turn in range(times):
        messages = [
            {"role": "system", "content": text},
            {"role": "user", "content": f"question {turn}"},
        ]
        reply = world.caller.call(
            entries[turn % len(entries)].caller_address,
            COMPLETIONS_PATH,
            {"messages": messages, "max_tokens": 5},
            idempotency_key=f"message-{turn}",
        )
        context.sends.append(reply)


@then("at most {most:d} servers have died")
def check_deaths(context: Any, most: int) -> None:
    """Check how many servers had to be restarted."""
    context.restarter.stop()
    assert 0 < context.restarter.restart_count <= most, context.restarter.restart_count


@then("the last send is refused as quarantined, not-run")
def check_quarantined(context: Any) -> None:
    """Check the reason and outcome of the last refusal."""
    last = context.sends[-1]
    assert isinstance(last, Reply), last
    assert last.json["error"]["reason"] == "quarantined", last
    assert last.outcome == "not-run", last


@then("no load call was refused as quarantined")
def check_load_not_quarantined(context: Any) -> None:
    """Check that no other request was quarantined."""
    quarantined = [
        reply
        for reply, _ in context.world.background_load.results
        if isinstance(reply, Reply) and b"quarantined" in reply.body
    ]
    assert not quarantined, quarantined
