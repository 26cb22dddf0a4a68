"""Membership of entries and agents, and the subset that this entry uses."""

from __future__ import annotations

import logging
import random
from threading import Event
from threading import Lock
from threading import Thread
from time import monotonic
from typing import TYPE_CHECKING

from kingcupwheel.decisions import subset_selection


if TYPE_CHECKING:
    from collections.abc import Callable

    from kingcupwheel.entry.server_table import ServerTable
    from kingcupwheel.link.hub import MessageHub
    from kingcupwheel.manifest.schema import Allowance
    from kingcupwheel.manifest.schema import Organisation
    from kingcupwheel.messages.membership import PeerHeartbeat
    from kingcupwheel.platform.client import Instance
    from kingcupwheel.platform.client import PlatformClient
    from kingcupwheel.settings.schema import Settings

logger = logging.getLogger("kingcupwheel.entry")

# Number of peers that an entry sends heartbeats to, and of those that send to it. With
# four of each, news reaches 370 entries in about five rounds, at four messages a
# second.
_PEER_COUNT = 4
# Time to live of the list of live entries. It is shorter than a heartbeat, so that a
# leaving entry is removed from callers' addresses at once.
_LIVE_ENTRIES_TTL_S = 0.2


class Membership:
    """The latest list of instances, and the peers and agents selected from it.

    The platform's list lags and may be unavailable for long. It is used only to add
    candidates and to mark leaving ones; liveness is known from heartbeats.
    """

    def __init__(
        self,
        settings: Settings,
        client: PlatformClient,
        servers: ServerTable,
        hub: MessageHub,
        *,
        leaving: Event,
        request_from_seeds: Callable[[], None],
    ) -> None:
        self._settings = settings
        self._client = client
        self._servers = servers
        self._hub = hub
        self._leaving = leaving
        self._request_from_seeds = request_from_seeds
        self._instances: tuple[Instance, ...] = ()
        self._address_by_name: dict[str, str] = {}
        self._selected_agents: tuple[Instance, ...] = ()
        self._heard_at_by_peer: dict[str, float] = {}
        self._leaving_peers: set[str] = set()
        self._senders: frozenset[str] = frozenset()
        self._live_entries: tuple[subset_selection.Instance, ...] = ()
        self._live_entries_at = float("-inf")
        self._members_by_organisation: dict[tuple[str, Allowance], tuple[str, ...]] = {}
        self._lock = Lock()
        self._stopping = Event()
        self._thread = Thread(target=self._run, name="membership", daemon=True)

    def start(self) -> None:
        """Start the thread that polls the list."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread and wait for it."""
        self._stopping.set()
        self._thread.join()

    @property
    def instances(self) -> tuple[Instance, ...]:
        """All known instances."""
        return self._instances

    def find_address(self, name: str) -> str:
        """Return the address of the instance ``name``, empty if unknown."""
        return self._address_by_name.get(name, "")

    def _run(self) -> None:
        period_s = self._settings.timings.instances_s
        while not self._stopping.is_set():
            self._refresh()
            # Jitter, so that entries started together do not poll at the same time.
            self._stopping.wait(period_s * random.uniform(0.8, 1.2))

    def _refresh(self) -> None:
        result = self._client.instances()
        if result.is_ok():
            self.set_instances(result.ok)
        elif not self._instances:
            logger.warning("List of instances is unavailable; querying the seeds.")
            self._request_from_seeds()

    def set_instances(self, instances: tuple[Instance, ...]) -> None:
        """Replace the list of instances.

        Subsets are computed only if the list has changed: at the target size this takes
        some 30 ms, and the list is polled every 2 seconds.
        """
        with self._lock:
            if instances != self._instances:
                self._instances = instances
                self._address_by_name = {one.name: one.address for one in instances}
                self._selected_agents = self._select_agents()
                self._set_senders(self._find_senders())
            for address in self._servers.set_instances(
                self._selected_agents, monotonic()
            ):
                self._hub.disconnect(address)

    def _set_senders(self, senders: frozenset[str]) -> None:
        """Set the entries whose liveness is judged by their heartbeats.

        When an entry joins, others may send their heartbeats to other peers of the
        ring. Without this they would look dead here and be removed from callers'
        addresses. Entries that start sending are not silent before their first
        heartbeat.
        """
        for name in senders ^ self._senders:
            self._heard_at_by_peer.pop(name, None)
            self._leaving_peers.discard(name)
        self._senders = senders

    def _select_agents(self) -> tuple[Instance, ...]:
        """Return the agents to keep links to: a subset of each group."""
        agents = [one for one in self._instances if one.role == "agent"]
        selected: list[Instance] = []
        for group in sorted({one.group for one in agents}):
            selected.extend(
                self._select_subset([one for one in agents if one.group == group])
            )
        return tuple(selected)

    def _select_subset(self, agents: list[Instance]) -> list[Instance]:
        subset_size = self._settings.entry.subset
        names = subset_selection.select_subset(
            self._settings.name,
            self._list_entries_with_self(),
            [subset_selection.Instance(one.name, one.data_centre) for one in agents],
            subset_size,
        )
        selected_names = set(names)
        return [one for one in agents if one.name in selected_names]

    def _list_entries_with_self(self) -> list[subset_selection.Instance]:
        entries = [one for one in self._instances if _is_entry(one)]
        by_name = {one.name: one.data_centre for one in entries}
        by_name[self._settings.name] = self._settings.data_centre
        return [
            subset_selection.Instance(name, by_name[name]) for name in sorted(by_name)
        ]

    @property
    def peers(self) -> tuple[Instance, ...]:
        """Entries that this one sends heartbeats to.

        They are its successors in the ring of sorted names, which connects all entries.
        """
        entries = sorted(one for one in self._instances if _is_entry(one))
        return _list_ring_successors(entries, self._settings.name)[:_PEER_COUNT]

    def _find_senders(self) -> frozenset[str]:
        """Return the names of the entries that send heartbeats to this one."""
        entries = sorted(one for one in self._instances if _is_entry(one))
        nearest_last = _list_ring_successors(entries, self._settings.name)
        return frozenset(one.name for one in nearest_last[-_PEER_COUNT:])

    def record_heartbeat(self, heartbeat: PeerHeartbeat, now: float) -> None:
        """Record a peer's heartbeat."""
        self._heard_at_by_peer[heartbeat.name] = now
        if heartbeat.leaving:
            self._leaving_peers.add(heartbeat.name)
        else:
            self._leaving_peers.discard(heartbeat.name)

    def list_caller_addresses(
        self, organisation: Organisation, now: float
    ) -> tuple[str, ...]:
        """Return the ``IP:port`` of the entries for an organisation's callers.

        An entry is omitted as soon as the list or its heartbeat says that it is
        leaving. This entry omits itself as well, but stays a member: it keeps its share
        for callers that have not refreshed their addresses.
        """
        http_by_name = {one.name: one.http for one in self._instances}
        members = self.list_members(organisation, now)
        if self._leaving.is_set():
            members = tuple(name for name in members if name != self._settings.name)
        return tuple(http_by_name[name] for name in members)

    def _is_live(self, one: Instance, now: float) -> bool:
        if not _is_entry(one) or one.leaving or one.name in self._leaving_peers:
            return False
        if one.name not in self._senders:
            return True
        heard_at = self._heard_at_by_peer.get(one.name)
        return heard_at is None or now - heard_at < self._settings.timings.gone_s

    def list_members(self, organisation: Organisation, now: float) -> tuple[str, ...]:
        """Return the names of the entries that share an organisation's allowance.

        The result is cached until the live entries change: ranking 370 entries for each
        of some hundred organisations every second would use up the CPU budget of the
        control plane.
        """
        live = self._list_live_entries(now)
        key = (organisation.name, organisation.allowance)
        members = self._members_by_organisation.get(key)
        if members is None:
            members = subset_selection.select_entries(
                organisation.name,
                live,
                organisation.allowance,
                self._settings.data_centre,
            )
            self._members_by_organisation[key] = members
        return members

    def _list_live_entries(self, now: float) -> tuple[subset_selection.Instance, ...]:
        if now - self._live_entries_at < _LIVE_ENTRIES_TTL_S:
            return self._live_entries
        live = tuple(
            subset_selection.Instance(one.name, one.data_centre)
            for one in self._instances
            if self._is_live(one, now)
        )
        self._live_entries_at = now
        if live != self._live_entries:
            self._live_entries = live
            self._members_by_organisation = {}
        return live


def _is_entry(one: Instance) -> bool:
    return one.role == "entry"


def _list_ring_successors(entries: list[Instance], name: str) -> tuple[Instance, ...]:
    """Return the other entries in ring order of names, starting after ``name``."""
    after = [one for one in entries if one.name > name]
    before = [one for one in entries if one.name < name]
    return (*after, *before)
