"""A small fleet of real processes and stand-ins on loopback, for the soak.

Entries and agents are processes that are restarted when they end, as on the users'
platform. Each has its own server of the store, which can refuse calls, not answer or
slow down for that process alone. Every process reaches its store server through a
relay, and so do all callers of a backend server; relays can close, freeze or delay
connections.
"""

from __future__ import annotations

import contextlib
import time
from threading import Event
from threading import Thread
from threading import Timer
from typing import TYPE_CHECKING
from typing import Any

from tests.forwarding.builders import API_KEY
from tests.forwarding.builders import configuration_spec
from tests.forwarding.builders import routes
from tests.forwarding.fleet import free_ports
from tests.forwarding.fleet import send_request
from tests.platform.builders import server_entry
from tests.soak.processes import EntryProcess
from tests.soak.processes import RestartingProcess
from tests.soak.processes import build_entry_settings
from tests.soak.processes import write_settings
from tests.standins.backend import BackendStandIn
from tests.standins.backend import Behaviour
from tests.standins.lockstep_group import GroupStandIn
from tests.standins.object_store import StoredObjects
from tests.standins.object_store import StoreServer
from tests.standins.relay import Relay
from tests.standins.relay import RelayMode


if TYPE_CHECKING:
    from pathlib import Path

SERVER_COUNT = 4
# Each agent and its rank share an IP; the ports are the same for all agents.
AGENT_HOSTS = ("127.0.0.31", "127.0.0.32", "127.0.0.33")
SHUTDOWN_GRACE_S = 4.0
EVENT_COUNT = 12
HEALTHY_BEHAVIOUR = Behaviour(
    echoes_id=True, event_count=EVENT_COUNT, event_interval_s=0.02
)
SECOND_KEY = "key-that-may-be-taken-away"
ENGINE_SPEC = {
    "Sets": 2,
    "Experts": 6,
    "Placements": 3,
    "Spare": 2,
    "ExpertMb": 10.0,
    "LinkMbps": 100000.0,
}


class SoakFleet:
    """Entries, agents, backend servers, a group of ranks and the store."""

    def __init__(self, folder: Path, *, entries: int = 2) -> None:
        self.folder = folder
        self.objects = StoredObjects()
        self.configuration_version = 0
        self.key_revoked_at: float | None = None
        self.ended_servers: list[BackendStandIn] = []
        self.relays: dict[str, Relay] = {}
        self.servers = [
            self._start_server(f"i-{number}") for number in range(SERVER_COUNT)
        ]
        self._server_count = SERVER_COUNT
        rank_port, self.agent_port = free_ports(2)
        hosts = list(AGENT_HOSTS)
        self.group = GroupStandIn(hosts, rank_port, layers=2, experts=6)
        self.group.start()
        for rank in self.group.ranks:
            entry = server_entry(Address=rank.address, Zone="dc-1")
            self.objects.put("servers", f"rank-{rank.number}", entry)
        self.write_configuration()
        self.store_servers: dict[str, StoreServer] = {}
        self.entries = [self._create_entry(number) for number in range(entries)]
        self.agents = [self._create_agent(number) for number in range(len(hosts))]
        self._stopping = Event()
        self._supervisor = Thread(
            target=self._supervise_processes, name="supervisor", daemon=True
        )
        self._supervisor.start()

    @property
    def processes(self) -> tuple[RestartingProcess, ...]:
        return (*self.entries, *self.agents)

    @property
    def all_servers(self) -> tuple[BackendStandIn, ...]:
        """All incarnations of servers, including those that have ended."""
        return (*self.servers, *self.ended_servers)

    def write_configuration(self, **changes: Any) -> None:
        """Write the next version of the configuration."""
        self.configuration_version += 1
        keys = [API_KEY] if self.key_revoked_at is not None else [API_KEY, SECOND_KEY]
        defaults = {
            "Routes": [{**route, "MaxAttempts": 2} for route in routes()],
            "Services": [{"Name": "app"}, {"Name": "llm", "Engine": ENGINE_SPEC}],
            "Tenants": [{"Name": "org", "ApiKeys": keys, "Priority": 1}],
        }
        spec = configuration_spec(self.configuration_version, **{**defaults, **changes})
        self.objects.put("config", "main", spec)

    def revoke_second_key(self) -> None:
        """Revoke the second API key permanently."""
        if self.key_revoked_at is None:
            self.key_revoked_at = time.monotonic()
            self.write_configuration()

    def replace_server(self, number: int) -> None:
        """Drain a server and start another one in its place."""
        old = self.servers[number]
        entry = {**self._build_store_entry(old), "State": "draining"}
        self.objects.put("servers", old.instance, entry)
        self._start_successor(number)

    def lose_server(self, number: int) -> None:
        """End a server permanently; its store entry is removed a second later."""
        old = self.servers[number]
        self.relays[old.instance].stop()
        removal = Timer(1.0, self.objects.remove, ("servers", old.instance))
        removal.daemon = True
        removal.start()
        self._start_successor(number)

    def _start_successor(self, number: int) -> None:
        self.ended_servers.append(self.servers[number])
        self._server_count += 1
        self.servers[number] = self._start_server(f"i-{self._server_count - 1}")

    def end_faults(self) -> None:
        """End all injected faults."""
        for server in self.servers:
            server.behaviour = HEALTHY_BEHAVIOUR
        for store_server in self.store_servers.values():
            store_server.faults = store_server.faults._replace(
                error_status=0,
                is_silent=False,
                drops_write_responses=False,
                watch_delay_s=0.0,
            )
        for relay in self.relays.values():
            relay.set_mode(RelayMode.PASS)
        for rank in self.group.ranks:
            rank.order_loss_rate = 0.0

    def is_ready(self) -> bool:
        """Return whether every entry reports that it is ready."""
        return all(
            send_request(entry.ready_address, "/v1/ready").status == 200
            for entry in self.entries
        )

    def get_entry_addresses(self) -> tuple[str, ...]:
        """Return the addresses of the entries for callers."""
        return tuple(entry.address for entry in self.entries)

    def _start_server(self, instance: str) -> BackendStandIn:
        server = BackendStandIn(instance)
        server.behaviour = HEALTHY_BEHAVIOUR
        server.start()
        self._start_relay(instance, server.address)
        self.objects.put("servers", instance, self._build_store_entry(server))
        return server

    def _build_store_entry(self, server: BackendStandIn) -> dict[str, Any]:
        return server.build_store_entry(
            "app", Address=self.relays[server.instance].address
        )

    def _start_relay(self, name: str, target: str) -> Relay:
        relay = Relay(target)
        relay.start()
        self.relays[name] = relay
        return relay

    def _start_store_server(self, name: str) -> str:
        """Start a store server and a relay for one process; return the relay's URL."""
        store_server = StoreServer(self.objects)
        store_server.start()
        self.store_servers[name] = store_server
        return self._start_relay(f"store of {name}", store_server.address).url

    def _create_entry(self, number: int) -> EntryProcess:
        name = f"entry-{number}"
        ports = free_ports(4)
        lines = build_entry_settings(
            name,
            "127.0.0.1",
            ports,
            store=self._start_store_server(name),
            grace_s=SHUTDOWN_GRACE_S,
        )
        settings, log = write_settings(self.folder, name, lines)
        return EntryProcess(name, settings, log, ports)

    def _create_agent(self, number: int) -> RestartingProcess:
        name = f"agent-{number}"
        server = self.group.ranks[number].address
        lines = [
            f"name: {name}",
            "role: agent",
            "data_centre: dc-1",
            f'listen: "{AGENT_HOSTS[number]}:{self.agent_port}"',
            f'platform: {{url: "{self._start_store_server(name)}"}}',
            f'rank: {{server: "{server}", service: llm}}',
        ]
        settings, log = write_settings(self.folder, name, lines)
        return RestartingProcess(name, "agent", settings, log)

    def _supervise_processes(self) -> None:
        while not self._stopping.wait(0.05):
            for process in self.processes:
                process.supervise()

    def stop(self) -> None:
        """Stop all processes and stand-ins."""
        self._stopping.set()
        self._supervisor.join()
        for process in self.processes:
            process.stop()
        self.group.stop()
        for relay in self.relays.values():
            relay.stop()
        for stand_in in (*self.all_servers, *self.store_servers.values()):
            with contextlib.suppress(OSError):
                stand_in.stop()
