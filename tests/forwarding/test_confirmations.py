"""What peers state about the age of a configuration, over all orders of restarts."""

from __future__ import annotations

import json
import time
from itertools import permutations
from typing import TYPE_CHECKING

import pytest
from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from kingcupwheel.forwarding.configuration_cache import ConfigurationCache
from kingcupwheel.forwarding.peers import drop_foreign_echo
from tests.forwarding.builders import configuration
from tests.forwarding.fleet import wait_until
from tests.forwarding.heartbeats import Machine
from tests.forwarding.heartbeats import SentHeartbeat
from tests.forwarding.heartbeats import World
from tests.standins.object_store import StoreFaults


if TYPE_CHECKING:
    from tests.forwarding.fleet import Fleet


# What happens next: its kind, the machine or heartbeat that it concerns, and a time.
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["wait", "restart", "read", "exchange", "send", "receive"]),
        st.integers(0, 5),
        st.sampled_from([0.1, 5.0, 25.0]),
    ),
    max_size=20,
)


def exchange(sender: Machine, receiver: Machine) -> None:
    """Let the sender's next heartbeat arrive at once."""
    receiver.receive(sender.send_heartbeat(receiver))


class Machines:
    """Two or more entries that know each other, and heartbeats that are delayed."""

    def __init__(self, *, has_old: bool) -> None:
        self.world = World()
        self.machines = [Machine(self.world, 0), Machine(self.world, 1)]
        if has_old:
            self.machines.append(Machine(self.world, 2, is_old=True))
        self._delayed: list[SentHeartbeat] = []
        # The next life of a machine may then outlast its former one.
        self.world.now += 20.0
        for _ in range(2):
            for sender, receiver in permutations(self.machines, 2):
                sender.read_store()
                exchange(sender, receiver)

    def take_step(self, kind: str, number: int, duration_s: float) -> None:
        """Let one thing happen; delayed heartbeats arrive in any order."""
        pairs = list(permutations(self.machines, 2))
        sender, receiver = pairs[number % len(pairs)]
        match kind:
            case "wait":
                self.world.now += duration_s
            case "restart":
                sender.start()
            case "read":
                sender.read_store()
            case "exchange":
                exchange(sender, receiver)
            case "send":
                self._delayed.append(sender.send_heartbeat(receiver))
            case "receive" if self._delayed:
                sent = self._delayed.pop(number % len(self._delayed))
                (receiver,) = (
                    one for one in self.machines if one.info.address == sent.address
                )
                receiver.receive(sent)


@settings(max_examples=500, deadline=None)
@given(steps=STEPS, has_old=st.booleans())
# Written for the former process, and received when the new one has run for longer.
@example(
    steps=[
        ("send", 1, 0.1),
        ("restart", 0, 0.1),
        ("read", 0, 0.1),
        ("wait", 0, 25.0),
        ("receive", 0, 0.1),
    ],
    has_old=False,
)
def test_no_entry_takes_its_configuration_for_newer_than_anybody_has_read_it(
    steps: list[tuple[str, int, float]], has_old: bool
) -> None:
    """Guards against revoked keys that work at an entry whose machine lost power.

    Its clock starts anew, and peers echo what the former process had sent. Whatever
    restarts and however late heartbeats arrive, an entry never believes to know the
    configuration as of a time at which nobody it heard of had read it.
    """
    fleet = Machines(has_old=has_old)
    for step in steps:
        fleet.take_step(*step)
        for machine in fleet.machines[:2]:
            assert machine.confirmed_at <= machine.read_at + 1e-6


@pytest.mark.parametrize("uptime_s", [0.5, 40.0, 5000.0])
def test_restarted_entry_refuses_what_echoes_its_former_process(
    uptime_s: float,
) -> None:
    """Guards against a configuration that stays current for as long as it once ran."""
    world = World()
    first, peer = Machine(world, 1), Machine(world, 2)
    for machine in (first, peer):
        machine.read_store()
    world.now += uptime_s
    exchange(first, peer)
    first.start()
    first.read_store()
    world.now += 0.1
    peer.read_store()

    exchange(peer, first)
    world.now += 20.0

    assert first.cache.age_s() == pytest.approx(20.1)


def test_restarted_entry_is_confirmed_again_once_the_peer_has_heard_it() -> None:
    """Guards against false refusals by a restarted entry that loses the store."""
    world = World()
    first, peer = Machine(world, 1), Machine(world, 2)
    for _ in range(3):
        first.start()
        first.read_store()
        assert first.cache.age_s() == 0.0
        world.now += 1.0
        exchange(first, peer)
        world.now += 3.0
        peer.read_store()
        exchange(peer, first)
        assert first.cache.age_s() == pytest.approx(3.0)


def test_echo_without_an_incarnation_proves_nothing() -> None:
    """Guards against belief in a peer of an earlier version, which can't name one."""
    world = World()
    first, old = Machine(world, 1), Machine(world, 2, is_old=True)
    for machine in (first, old):
        machine.read_store()
    exchange(first, old)
    world.now += 2.0
    old.read_store()

    exchange(old, first)

    assert first.cache.age_s() == pytest.approx(2.0)
    heartbeat = old.send_heartbeat(first).heartbeat
    assert heartbeat.echo > 0.0
    assert drop_foreign_echo(heartbeat, "own").echo == 0.0


def test_time_in_the_future_confirms_nothing() -> None:
    """Guards against any source of times that are of another clock."""
    cache = ConfigurationCache(lambda: 100.0)
    cache.update(configuration(7), as_of=98.0, source="store")

    cache.confirm(7, as_of=100.1, source="peer")
    cache.update(configuration(8), as_of=5000.0, source="peer")

    assert cache.version == 8
    assert cache.age_s() == 2.0


def test_restarted_entry_that_loses_the_store_is_kept_current_by_its_peer(
    fleet: Fleet,
) -> None:
    """Guards against valid keys that are refused for want of a confirmation.

    At once after the restart its own reads count, and later the peer's heartbeats.
    """
    fleet.add_server("i-1")
    fleet.add_entry("entry-1")
    fleet.add_entry("entry-2")
    fleet.entries[1].stop()
    # It would end with its process.
    fleet.entries[1]._hub.stop()
    fleet.add_entry("entry-2")
    answers = [fleet.send("/plain/x", entry=2)]
    wait_until(
        lambda: len(json.loads(fleet.resolve_addresses(2).body)["Addresses"]) == 2
    )

    fleet.store_servers[2].faults = StoreFaults(error_status=503)
    began = time.monotonic()
    while time.monotonic() - began < 6.0:
        answers.append(fleet.send("/plain/x", entry=2))
        time.sleep(0.1)

    assert answers[0].status == 200
    assert answers[-1].status == 200
    assert not any(b"configuration-too-old" in answer.body for answer in answers)
