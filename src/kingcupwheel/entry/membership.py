"""Which entries and agents there are, and which of them this entry deals with."""

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

# Peers an entry exchanges heartbeats with: with four of each, news passes through 370
# entries in about five rounds, at four messages a second.
_PEER_COUNT = 4
# How long a list of live entries is used: less than a heartbeat, so that a leaving
# entry drops out of what callers are told at once.
_LIVE_ENTRIES_TTL_S = 0.2


class Membership:
    """The latest list of instances, and what this entry makes of it.

    The list lags and can be missing for long. It only ever adds candidates and marks
    leaving ones: whether an agent or entry is alive is known from its own heartbeats.
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
        """Read the list now and then in a thread."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread."""
        self._stopping.set()
        self._thread.join()

    @property
    def instances(self) -> tuple[Instance, ...]:
        """All instances known."""
        return self._instances

    def find_address(self, name: str) -> str:
        """Return the address of the instance called ``name``, empty if unknown."""
        return self._address_by_name.get(name, "")

    def _run(self) -> None:
        period_s = self._settings.timings.instances_s
        while not self._stopping.is_set():
            self._refresh()
            # Spread, so that a fleet started together does not read together.
            self._stopping.wait(period_s * random.uniform(0.8, 1.2))

    def _refresh(self) -> None:
        found = self._client.instances()
        if found.is_ok():
            self.set_instances(found.ok)
        elif not self._instances:
            logger.warning("No list of instances yet; asking the seeds.")
            self._request_from_seeds()

    def set_instances(self, instances: tuple[Instance, ...]) -> None:
        """Use this list from now on.

        Subsets are worked out only for a list that has changed: at the target that
        takes some 30 ms, and the list is asked for every other second.
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
        """Judge by their heartbeats only entries that send this one any.

        Failure: an entry joins, and the ring makes others send their heartbeats
        elsewhere. Symptom: they seem gone from here and drop out of what callers are
        told. Those that begin to send have not been silent before.
        """
        for name in senders ^ self._senders:
            self._heard_at_by_peer.pop(name, None)
            self._leaving_peers.discard(name)
        self._senders = senders

    def _select_agents(self) -> tuple[Instance, ...]:
        """Return the agents to keep links to: a subset of each group's."""
        agents = [one for one in self._instances if one.role == "agent"]
        chosen: list[Instance] = []
        for group in sorted({one.group for one in agents}):
            chosen.extend(
                self._select_subset([one for one in agents if one.group == group])
            )
        return tuple(chosen)

    def _select_subset(self, agents: list[Instance]) -> list[Instance]:
        size = self._settings.entry.subset
        names = subset_selection.select_subset(
            self._settings.name,
            self._list_entries_with_self(),
            [subset_selection.Instance(one.name, one.data_centre) for one in agents],
            size,
        )
        wanted = set(names)
        return [one for one in agents if one.name in wanted]

    def _list_entries_with_self(self) -> list[subset_selection.Instance]:
        entries = [one for one in self._instances if _is_entry(one)]
        by_name = {one.name: one.data_centre for one in entries}
        by_name[self._settings.name] = self._settings.data_centre
        return [
            subset_selection.Instance(name, by_name[name]) for name in sorted(by_name)
        ]

    @property
    def peers(self) -> tuple[Instance, ...]:
        """The entries that this one sends heartbeats to.

        The next ones in a ring of names, so that the links form a connected whole.
        """
        entries = sorted(one for one in self._instances if _is_entry(one))
        return _list_ring_successors(entries, self._settings.name)[:_PEER_COUNT]

    def _find_senders(self) -> frozenset[str]:
        """Return the entries that have this one among their peers."""
        entries = sorted(one for one in self._instances if _is_entry(one))
        nearest_last = _list_ring_successors(entries, self._settings.name)
        return frozenset(one.name for one in nearest_last[-_PEER_COUNT:])

    def record_heartbeat(self, heartbeat: PeerHeartbeat, now: float) -> None:
        """Take in a peer's heartbeat."""
        self._heard_at_by_peer[heartbeat.name] = now
        if heartbeat.leaving:
            self._leaving_peers.add(heartbeat.name)
        else:
            self._leaving_peers.discard(heartbeat.name)

    def list_caller_addresses(
        self, organisation: Organisation, now: float
    ) -> tuple[str, ...]:
        """Return the ``IP:port`` of the entries for an organisation's callers.

        A leaving entry drops out at once, whether the list says so or its heartbeat;
        this one too, though it keeps its share for callers that have not yet heard.
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

        Worked out anew only when the live entries change: ranking 370 entries for each
        of some hundred organisations every second would use up the budget for control.
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
    """Return the other entries in the order of names, from ``name`` on and around."""
    after = [one for one in entries if one.name > name]
    before = [one for one in entries if one.name < name]
    return (*after, *before)
