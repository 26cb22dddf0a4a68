"""Entries on machines of their own, which restart, and heartbeats that are delayed."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import cast

import msgspec

from kingcupwheel.entry.server_table import ServerTable
from kingcupwheel.forwarding.configuration_cache import ConfigurationCache
from kingcupwheel.forwarding.crash_evidence import CrashEvidence
from kingcupwheel.forwarding.entry_membership import EntryMembership
from kingcupwheel.forwarding.rate_limit_exchange import RateLimitExchange
from kingcupwheel.messages.membership import EntryHeartbeat
from kingcupwheel.messages.membership import EntryInfo
from kingcupwheel.settings.schema import Timings
from kingcupwheel.telemetry.metrics import EntryMetrics
from tests.forwarding.builders import configuration


if TYPE_CHECKING:
    from kingcupwheel.link.hub import MessageHub
    from kingcupwheel.link.links import OutgoingLink
    from kingcupwheel.messages.base import Message


class World:
    """The true time in seconds."""

    def __init__(self) -> None:
        self.now = 1000.0


class SentHeartbeat(NamedTuple):
    """A heartbeat on its way to the machine at ``address``.

    ``read_at`` is the true time as of which its sender may know the configuration.
    """

    address: str
    heartbeat: EntryHeartbeat
    read_at: float


class RecordingHub:
    """Keeps the heartbeats that are sent."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, EntryHeartbeat]] = []

    def send(self, link: OutgoingLink, message: Message) -> None:
        if isinstance(message, EntryHeartbeat):
            self.sent.append((link.address, message))

    def reconnect(self, address: str) -> None:
        pass


class Machine:
    """A machine with an entry; its clock counts from its last start.

    ``read_at`` is the true time as of which the entry may know the configuration, from
    its own reads and from peers. An entry of an earlier version (``is_old``) leaves out
    of its heartbeats what that version lacks.
    """

    def __init__(self, world: World, number: int, *, is_old: bool = False) -> None:
        self._world = world
        self._is_old = is_old
        self.info = EntryInfo(
            f"entry-{number}", f"10.0.0.{number}:7000", f"10.0.0.{number}:80", "dc-1"
        )
        self.start()

    def start(self) -> None:
        """Start the machine, also again after a loss of power."""
        # A clock that starts at 0 would hide readings that are taken for missing.
        self.started_at = self._world.now - 1.0
        self.read_at = float("-inf")
        self.hub = RecordingHub()
        self.cache = ConfigurationCache(lambda: self._world.now - self.started_at)
        self.membership = EntryMembership(
            self.info,
            cast("MessageHub", self.hub),
            self.cache,
            CrashEvidence("own", EntryMetrics().crash_events, is_alone=lambda: False),
            RateLimitExchange(ServerTable(Timings())),
        )

    @property
    def confirmed_at(self) -> float:
        """The true time at which this entry takes its version for the newest."""
        return self._world.now - self.cache.age_s()

    def read_store(self) -> None:
        """Read the configuration from the store."""
        self.read_at = self._world.now
        self.cache.update(configuration(1), self.cache.now(), source="store")

    def send_heartbeat(self, receiver: Machine) -> SentHeartbeat:
        """Return this entry's next heartbeat to another machine."""
        self.membership._peers.add_known((receiver.info,), time.monotonic())
        self.membership._heartbeat_at = 0.0
        self.hub.sent.clear()
        self.membership.on_tick(time.monotonic())
        address = receiver.info.address
        heartbeat = dict(self.hub.sent)[address]
        if self._is_old:
            heartbeat = msgspec.structs.replace(heartbeat, echo_incarnation="")
        return SentHeartbeat(address, heartbeat, self.read_at)

    def receive(self, sent: SentHeartbeat) -> None:
        """Receive a heartbeat, however late."""
        if not sent.heartbeat.echo_incarnation:
            self.membership.on_heartbeat(sent.heartbeat)
            return
        self.read_at = max(self.read_at, sent.read_at)
        self.membership.on_heartbeat(sent.heartbeat)
