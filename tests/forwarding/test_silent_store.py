from __future__ import annotations

import time
from typing import TYPE_CHECKING

import pytest

from tests.forwarding.builders import route
from tests.forwarding.builders import routes
from tests.forwarding.fleet import wait_until
from tests.standins.object_store import StoreServer
from tests.standins.relay import Relay
from tests.standins.relay import RelayMode


if TYPE_CHECKING:
    from collections.abc import Iterator

    from tests.forwarding.fleet import Fleet

INSTANCES = ("i-1", "i-2", "i-3")
# The platform relies on an entry again so long after its connections went silent.
STEADY_S = 3.0
SHORT_OUTAGE_S = 1.0
LONG_OUTAGE_S = 4.0


class StorePath:
    """An entry that reaches the store over a relay, and three servers."""

    def __init__(self, fleet: Fleet, relay: Relay) -> None:
        self.fleet = fleet
        self.relay = relay
        for instance in INSTANCES:
            fleet.add_server(instance)
        self.entry = fleet.add_entry(store_url=relay.url)
        # Both watches wait, and a connection is idle beside them.
        time.sleep(0.4)

    def silence_open_connections(self) -> float:
        """Let all open connections go silent; return when."""
        self.relay.set_mode(RelayMode.FREEZE_OPEN)
        self.relay.set_mode(RelayMode.PASS)
        return time.monotonic()

    def known_instances(self) -> set[str]:
        return {one.instance for one in self.entry._context.server_registry.backends}

    def check_known(self, seconds: float) -> None:
        """Check for so long that the entry uses all servers."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            assert self.known_instances() == set(INSTANCES)
            time.sleep(0.02)


@pytest.fixture
def path(fleet: Fleet) -> Iterator[StorePath]:
    store_server = StoreServer(fleet.store)
    store_server.start()
    fleet.store_servers.append(store_server)
    relay = Relay(store_server.address)
    relay.start()
    yield StorePath(fleet, relay)
    relay.stop()


def test_removed_server_is_known_in_time_though_the_connections_went_silent(
    path: StorePath,
) -> None:
    """Guards against requests to a server that left, long after its time.

    Silence of the own connections is no outage of the store, and the list is not read
    over another connection that is silent as well.
    """
    silent_at = path.silence_open_connections()
    time.sleep(0.2)
    path.fleet.store.remove("servers", "i-1")

    wait_until(lambda: path.known_instances() == {"i-2", "i-3"})

    assert time.monotonic() - silent_at < STEADY_S


def test_configuration_is_known_in_time_though_the_connections_went_silent(
    path: StorePath,
) -> None:
    """Guards against removed routes and keys that go on to work."""
    silent_at = path.silence_open_connections()
    time.sleep(0.2)
    added = route(Name="added", PathPrefix="/added/")
    path.fleet.configure(version=2, Routes=[*routes(), added])

    wait_until(lambda: path.entry._configuration_cache.version == 2)

    assert time.monotonic() - silent_at < STEADY_S


@pytest.mark.parametrize("outage_s", [SHORT_OUTAGE_S, LONG_OUTAGE_S])
def test_servers_that_lapse_while_the_store_is_silent_are_kept(
    path: StorePath, outage_s: float
) -> None:
    """Guards against a service without servers after an outage without any answer."""
    path.relay.set_mode(RelayMode.FREEZE_ALL)
    time.sleep(outage_s)
    entries = {one.instance: one.build_store_entry("app") for one in path.fleet.servers}
    for instance in INSTANCES:
        path.fleet.store.remove("servers", instance)
    path.relay.set_mode(RelayMode.PASS)

    path.check_known(2.0)
    for instance, entry in entries.items():
        path.fleet.store.put("servers", instance, entry)
    path.check_known(3.0)
