"""Expert map service of an agent: rank orders, the group's lease, coordination.

The agent daemon calls ``on_message`` and ``on_tick`` on the hub's thread; neither
blocks. Calls to the platform and to the rank run on the service's own threads.
"""

from __future__ import annotations

import logging
from threading import Event
from threading import Thread
from time import monotonic
from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.expertmaps.coordinator import DEFAULT_COORDINATOR_TIMINGS
from kingcupwheel.expertmaps.coordinator import CoordinatorTimings
from kingcupwheel.expertmaps.coordinator_driver import CoordinatorDriver
from kingcupwheel.expertmaps.lease import Lease
from kingcupwheel.expertmaps.lease import get_lease_fence
from kingcupwheel.expertmaps.lease import lease_key
from kingcupwheel.expertmaps.order_forwarder import OrderForwarder
from kingcupwheel.link.links import OutgoingLink
from kingcupwheel.messages.expertmaps import MapOrder
from kingcupwheel.messages.expertmaps import MapReply


if TYPE_CHECKING:
    from kingcupwheel.expertmaps.rank_api import RankApi
    from kingcupwheel.link.hub import MessageHub
    from kingcupwheel.link.links import Link
    from kingcupwheel.manifest.schema import ExpertLayout
    from kingcupwheel.messages.base import Message
    from kingcupwheel.platform.client import PlatformClient

logger = logging.getLogger("kingcupwheel.expertmaps")

# The agents of the lowest ranks always watch the lease, without a takeover delay. One
# of them usually holds it, so that one or two agents read it.
_WATCHER_COUNT = 2
# Bounds the staggered delay of further ranks. Without the bound, a group of 32 could be
# without a coordinator for too long.
_MAX_STAGGER_COUNT = 4


class MapServiceTimings(NamedTuple):
    """Timings of a map service.

    The holder renews the lease, and the watchers read it, every ``renew_interval_s``.
    With 128 groups that is about 130 writes and 130 to 260 reads a second on the
    platform, which handles several hundred writes and two thousand reads. A shorter
    ``lease_ttl_s`` and interval shorten the stall of a group that loses its
    coordinator, longer ones reduce the calls to the platform. Other agents read the
    lease only after they have received no orders for ``coordinator_timeout_s`` plus
    ``takeover_stagger_s`` for each rank before theirs. The list of instances is read
    every ``instances_interval_s``.
    """

    lease_ttl_s: float = 3.0
    renew_interval_s: float = 1.0
    coordinator_timeout_s: float = 5.0
    takeover_stagger_s: float = 1.0
    instances_interval_s: float = 5.0
    coordinator: CoordinatorTimings = DEFAULT_COORDINATOR_TIMINGS


DEFAULT_SERVICE_TIMINGS = MapServiceTimings()


class MapService:
    """Map service of the agent of ``rank`` in ``group``."""

    def __init__(
        self,
        *,
        hub: MessageHub,
        platform: PlatformClient,
        rank_api: RankApi,
        agent_name: str,
        group: str,
        rank: int,
        layout: ExpertLayout,
        timings: MapServiceTimings = DEFAULT_SERVICE_TIMINGS,
    ) -> None:
        self._platform = platform
        self._group = group
        self._rank = rank
        self._timings = timings
        self._order_forwarder = OrderForwarder(
            hub=hub,
            rank_api=rank_api,
            read_fence=self._read_fence,
            agent_name=agent_name,
            rank=rank,
        )
        self._coordinator_driver = CoordinatorDriver(
            hub=hub,
            group=group,
            agent_name=agent_name,
            layout=layout,
            timings=timings.coordinator,
        )
        self._lease = Lease(
            platform, group=group, holder=agent_name, ttl_s=timings.lease_ttl_s
        )
        self._coordinated_fence = 0
        self._agent_addresses: frozenset[str] = frozenset()
        self._last_order_at = monotonic() - timings.coordinator_timeout_s
        self._release_requested = Event()
        self._stopping = Event()
        self._thread = Thread(target=self._run_lease_loop, name="lease", daemon=True)

    @property
    def is_coordinating(self) -> bool:
        """Whether this agent coordinates its group."""
        return self._coordinator_driver.is_coordinating

    @property
    def coordinator_driver(self) -> CoordinatorDriver:
        """Driver of this agent's coordinator."""
        return self._coordinator_driver

    def start(self) -> None:
        """Start the threads."""
        self._order_forwarder.start()
        self._coordinator_driver.start_planner()
        self._thread.start()

    def stop(self) -> None:
        """Release the lease, so that another agent takes over at once, and stop."""
        self._stopping.set()
        self._thread.join()
        self._coordinator_driver.stop_planner()
        self._order_forwarder.stop()

    def on_message(self, link: Link, message: Message) -> None:
        """Handle a map order or reply of the group; ignore other messages."""
        match message, link:
            case MapOrder(), _ if message.group == self._group:
                if message.fence >= (self._order_forwarder.highest_fence or 0):
                    self._last_order_at = monotonic()
                self._order_forwarder.enqueue(link, message)
            case MapReply(), OutgoingLink(address) if message.group == self._group:
                now = monotonic()
                # A paused holder may receive replies before its next tick.
                if self._lease.get_held_lease(now) is not None:
                    self._coordinator_driver.handle_reply(address, message, now)

    def on_tick(self, now: float) -> None:
        """Start or stop coordinating as the lease requires, then run due work."""
        held_lease = self._lease.get_held_lease(now)
        if held_lease is None or self._stopping.is_set():
            if self._coordinator_driver.is_coordinating:
                self._coordinator_driver.stop_coordinating()
                self._coordinated_fence = 0
            return
        if held_lease.fence != self._coordinated_fence:
            self._coordinated_fence = held_lease.fence
            self._coordinator_driver.start_coordinating(held_lease.fence)
        if self._coordinator_driver.is_superseded:
            # Ranks refuse this fence for a higher one: acquire the lease again.
            self._release_requested.set()
        self._coordinator_driver.tick(now, self._agent_addresses)

    def _read_fence(self) -> int | None:
        result = self._platform.read(lease_key(self._group))
        if result.is_error():
            return None
        return get_lease_fence(result.ok)

    def _run_lease_loop(self) -> None:
        instances_read_at = 0.0
        while not self._stopping.wait(self._timings.renew_interval_s):
            now = monotonic()
            try:
                self._update_lease(now)
                due = now - instances_read_at >= self._instances_interval_s
                if self._lease.get_held_lease(now) is not None and due:
                    self._read_agent_addresses()
                    instances_read_at = now
            except Exception:
                logger.exception("Failed to check or renew the lease.")
        self._lease.release()

    def _update_lease(self, now: float) -> None:
        if self._release_requested.is_set():
            self._release_requested.clear()
            self._lease.release()
        elif self._lease.get_held_lease(now) is not None:
            self._lease.renew()
        elif now - self._last_order_at >= self._takeover_delay_s:
            self._lease.try_acquire()

    @property
    def _takeover_delay_s(self) -> float:
        if self._rank < _WATCHER_COUNT:
            return 0.0
        stagger_count = min(self._rank, _MAX_STAGGER_COUNT)
        return (
            self._timings.coordinator_timeout_s
            + stagger_count * self._timings.takeover_stagger_s
        )

    @property
    def _instances_interval_s(self) -> float:
        """Interval of reading the instances, shorter while an agent is missing."""
        has_all_addresses = self._coordinator_driver.has_all_addresses
        return (
            self._timings.instances_interval_s
            if has_all_addresses
            else self._timings.renew_interval_s
        )

    def _read_agent_addresses(self) -> None:
        result = self._platform.instances()
        if result.is_error():
            return
        self._agent_addresses = frozenset(
            instance.address
            for instance in result.ok
            if instance.role == "agent" and instance.group == self._group
        )
