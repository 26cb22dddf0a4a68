"""Entry daemons in the test process, with stand-ins for servers and the store."""

from __future__ import annotations

import http.client
import socket
import time
from functools import cache
from itertools import cycle
from threading import Thread
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from kingcupwheel.forwarding.daemon import ForwardingDaemon
from kingcupwheel.settings.schema import EntryLimits
from kingcupwheel.settings.schema import ForwardingSettings
from kingcupwheel.settings.schema import PlatformSettings
from kingcupwheel.settings.schema import Role
from kingcupwheel.settings.schema import Settings
from tests.forwarding.builders import API_KEY
from tests.forwarding.builders import configuration_spec
from tests.standins.backend import BackendStandIn
from tests.standins.object_store import StoredObjects
from tests.standins.object_store import StoreServer


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

# Long enough for a busy machine; a passing test does not wait for it.
WAIT_TIMEOUT_S = 10.0
# Keeps a stop in a test short.
SHUTDOWN_GRACE_S = 1.0

# Blocks of ports below the ephemeral ones; the first of each reserves its block.
_FIRST_PORT = 12_000
_BLOCK_COUNT = 20
_BLOCK_SIZE = 1_000


class CallerResponse(NamedTuple):
    """What a caller got; ``is_complete`` is False if the connection ended early."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool


@cache
def _reserve_block() -> tuple[socket.socket, Iterator[int]]:
    """Return the ports of a block that no other process uses, and its reservation."""
    for block in range(_BLOCK_COUNT):
        first = _FIRST_PORT + _BLOCK_SIZE * block
        try:
            reservation = socket.create_server(("127.0.0.1", first))
        except OSError:
            continue
        return reservation, cycle(range(first + 1, first + _BLOCK_SIZE))
    raise OSError(f"all {_BLOCK_COUNT} blocks of ports are in use")


def free_ports(count: int, host: str = "127.0.0.1") -> list[int]:
    """Return ports of ``host`` that nobody listens on, each once.

    They are below the system's ephemeral ports, which may be given to another test's
    connection before they are used here. Each process has its own block.
    """
    _, ports = _reserve_block()
    found: list[int] = []
    while len(found) < count:
        port = next(ports)
        try:
            socket.create_server((host, port)).close()
        except OSError:
            continue
        found.append(port)
    return found


def wait_until(condition: Callable[[], bool], seconds: float = WAIT_TIMEOUT_S) -> None:
    """Wait until ``condition`` holds; fail after ``seconds``."""
    deadline = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < deadline, "condition not met in time"
        time.sleep(0.01)


class Fleet:
    """A store, backend servers of the service ``app`` and entries."""

    def __init__(self) -> None:
        self.store = StoredObjects()
        self.store_servers: list[StoreServer] = []
        self.servers: list[BackendStandIn] = []
        self.entries: list[ForwardingDaemon] = []
        self.settings: list[Settings] = []
        self.configure()

    def configure(self, version: int = 1, **changes: Any) -> None:
        """Write a configuration to the store as an operator does."""
        self.store.put("config", "main", configuration_spec(version, **changes))

    def add_server(
        self, instance: str, service: str = "app", **changes: Any
    ) -> BackendStandIn:
        """Start a server and register it in the store, with ``changes``."""
        server = BackendStandIn(instance)
        server.start()
        self.servers.append(server)
        registration = server.build_store_entry(service, **changes)
        self.store.put("servers", instance, registration)
        return server

    def add_entry(
        self,
        name: str = "entry-1",
        *,
        retry_floor: float = 1000.0,
        grace_s: float = SHUTDOWN_GRACE_S,
        store_url: str = "",
    ) -> ForwardingDaemon:
        """Start an entry and wait until it is ready.

        It reaches the store at ``store_url``, by default at an address of its own.
        """
        ports = free_ports(4)
        store_server = StoreServer(self.store)
        store_server.start()
        self.store_servers.append(store_server)
        settings = Settings(
            name=name,
            role=Role.ENTRY,
            data_centre="dc-1",
            listen=f"127.0.0.1:{ports[0]}",
            http=f"127.0.0.1:{ports[1]}",
            platform=PlatformSettings(url=store_url or store_server.url),
            entry=EntryLimits(threads=12),
            forwarding=ForwardingSettings(
                ready=f"127.0.0.1:{ports[2]}",
                addresses=f"127.0.0.1:{ports[3]}",
                grace_s=grace_s,
                retry_floor=retry_floor,
            ),
        )
        entry = ForwardingDaemon(settings)
        entry.start()
        self.entries.append(entry)
        self.settings.append(settings)
        wait_until(lambda: self.ready_status(settings) == 200)
        return entry

    def ready_status(self, settings: Settings) -> int:
        """Return the status of an entry's readiness endpoint."""
        assert settings.forwarding is not None
        return send_request(settings.forwarding.ready, "/v1/ready").status

    def resolve_addresses(self, number: int = 0) -> CallerResponse:
        """Return an entry's answer about the addresses to connect to."""
        forwarding = self.settings[number].forwarding
        assert forwarding is not None
        return send_request(
            forwarding.addresses, "/v1/resolve?Name=host.example&Zone=dc-1"
        )

    def send(self, target: str, *, entry: int = 0, **changes: str) -> CallerResponse:
        """Send a request as a caller does."""
        method = "GET" if target.startswith("/plain") else "POST"
        headers = {
            "Host": "host.example",
            "Authorization": f"Bearer {API_KEY}",
            "X-Attempt-Id": "attempt-1",
            "X-Deadline-Ms": "1500",
        }
        headers.update({k.replace("_", "-"): v for k, v in changes.items()})
        body = b"body" if method == "POST" else b""
        return send_request(self.settings[entry].http, target, method, headers, body)

    def stop(self) -> None:
        """Stop all entries, servers and store endpoints."""
        stopping = [Thread(target=one.terminate, daemon=True) for one in self.entries]
        for thread in stopping:
            thread.start()
        for server in (*self.servers, *self.store_servers):
            server.stop()
            server.close_connections()
        for thread in stopping:
            thread.join(WAIT_TIMEOUT_S)


def send_request(
    address: str,
    target: str,
    method: str = "GET",
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = WAIT_TIMEOUT_S,
) -> CallerResponse:
    """Send one request on a new connection."""
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        connection.request(method, target, body=body or None, headers=headers or {})
        response = connection.getresponse()
        found = {name.lower(): value for name, value in response.getheaders()}
        try:
            return CallerResponse(
                response.status, found, response.read(), is_complete=True
            )
        except http.client.IncompleteRead as error:
            return CallerResponse(
                response.status, found, error.partial, is_complete=False
            )
    except (OSError, http.client.HTTPException):
        return CallerResponse(0, {}, b"", is_complete=False)
    finally:
        connection.close()


def running_fleet() -> Iterator[Fleet]:
    """Yield a fleet and stop it afterwards; for fixtures."""
    fleet = Fleet()
    try:
        yield fleet
    finally:
        fleet.stop()
