"""Driver of a group's coordinator while this agent holds the lease.

Runs on the hub's thread. It finds the agent of each rank, passes events to the state
machine and orders the orders that it returns.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from kingcupwheel.expertmaps.coordinator import Coordinator
from kingcupwheel.expertmaps.maps import build_even_map
from kingcupwheel.expertmaps.phases import LeaseLost
from kingcupwheel.expertmaps.phases import LeaseTaken
from kingcupwheel.expertmaps.phases import MapProposed
from kingcupwheel.expertmaps.phases import OutgoingOrder
from kingcupwheel.expertmaps.phases import Ready
from kingcupwheel.expertmaps.phases import ReplyReceived
from kingcupwheel.expertmaps.phases import Standby
from kingcupwheel.expertmaps.phases import Tick
from kingcupwheel.expertmaps.phases import phase_key
from kingcupwheel.expertmaps.protocol import ExpertLoadsReply
from kingcupwheel.expertmaps.protocol import StateRequest
from kingcupwheel.expertmaps.protocol import decode_reply
from kingcupwheel.expertmaps.protocol import encode
from kingcupwheel.expertmaps.rebalancer import Rebalancer
from kingcupwheel.link.links import OutgoingLink
from kingcupwheel.messages.expertmaps import MapOrder


if TYPE_CHECKING:
    from kingcupwheel.expertmaps.coordinator import CoordinatorTimings
    from kingcupwheel.expertmaps.phases import Event
    from kingcupwheel.expertmaps.phases import Phase
    from kingcupwheel.expertmaps.protocol import AnyOrder
    from kingcupwheel.link.hub import MessageHub
    from kingcupwheel.manifest.schema import ExpertLayout
    from kingcupwheel.messages.expertmaps import MapReply

logger = logging.getLogger("kingcupwheel.expertmaps")

# The state machine's rounds start at 1, so it ignores the replies to this request.
_PROBE_REQUEST = StateRequest(0)
# Interval of requests to agents whose rank is not known yet.
_PROBE_INTERVAL_S = 1.0


class CoordinatorDriver:
    """Coordinates a group under one fence at a time, as long as the lease is held."""

    def __init__(
        self,
        *,
        hub: MessageHub,
        group: str,
        agent_name: str,
        layout: ExpertLayout,
        timings: CoordinatorTimings,
    ) -> None:
        self._hub = hub
        self._group = group
        self._agent_name = agent_name
        self._rank_count = layout.ranks
        self._rebalancer = Rebalancer(layout)
        self._coordinator = Coordinator(
            rank_count=layout.ranks,
            initial_map=build_even_map(layout),
            expert_bytes=layout.expert_bytes,
            timings=timings,
        )
        self._address_by_rank: dict[int, str] = {}
        self._fence = 0
        self._serial = 0
        self._last_probe_at = 0.0
        self._is_started = False

    @property
    def phase(self) -> Phase:
        """Current phase of the coordinator."""
        return self._coordinator.phase

    @property
    def is_coordinating(self) -> bool:
        """Whether this agent coordinates the group."""
        return self._fence > 0

    @property
    def has_all_addresses(self) -> bool:
        """Whether the address of every rank's agent is known."""
        return len(self._address_by_rank) == self._rank_count

    @property
    def is_superseded(self) -> bool:
        """Whether a rank has reported a newer coordinator."""
        return self._is_started and isinstance(self.phase, Standby)

    def start_planner(self) -> None:
        """Start the planning thread."""
        self._rebalancer.start()

    def stop_planner(self) -> None:
        """Stop the planning thread."""
        self._rebalancer.stop()

    def start_coordinating(self, fence: int) -> None:
        """Coordinate under ``fence`` once the agents of all ranks are known."""
        logger.info("Coordinating group %s under fence %d.", self._group, fence)
        self._fence = fence
        self._last_probe_at = 0.0
        self._is_started = False
        self._address_by_rank.clear()

    def stop_coordinating(self) -> None:
        """Stop sending orders."""
        if self.is_coordinating:
            logger.info("Stopped coordinating group %s.", self._group)
        self._fence = 0
        self._is_started = False
        self._coordinator.handle_event(LeaseLost())

    def handle_reply(self, address: str, message: MapReply, now: float) -> None:
        """Handle a reply forwarded by an agent."""
        if not self.is_coordinating or message.fence != self._fence:
            return
        decoded = decode_reply(message.reply)
        if decoded.is_error() or not 0 <= message.rank < self._rank_count:
            logger.warning("Invalid reply or rank from agent %s.", message.agent)
            return
        self._record_address(message.rank, address)
        if not self._is_started and self.has_all_addresses:
            self._is_started = True
            self._handle_event(LeaseTaken(self._fence, now))
        match decoded.ok:
            case ExpertLoadsReply() as loads:
                self._handle_loads(message.rank, loads)
            case reply:
                self._handle_event(ReplyReceived(message.rank, reply, now))

    def tick(self, now: float, agent_addresses: frozenset[str]) -> None:
        """Retry unanswered orders, request loads that are due, propose a plan.

        ``agent_addresses`` are the addresses of the group's agents.
        """
        if now - self._last_probe_at >= _PROBE_INTERVAL_S:
            self._last_probe_at = now
            self._send_probes(agent_addresses)
        if not self._is_started:
            return
        self._handle_event(Tick(now))
        if not isinstance(self.phase, Ready):
            return
        loads_request = self._rebalancer.due_loads_request(now)
        if loads_request is not None:
            for address in self._address_by_rank.values():
                self._send_order(address, loads_request)
        plan = self._rebalancer.take_plan()
        if plan is not None:
            logger.info(
                "Proposing a map with %d moves; skew changes from %.3f to %.3f.",
                plan.move_count,
                plan.skew_before,
                plan.skew_after,
            )
            self._handle_event(MapProposed(plan.map, now))

    def _record_address(self, rank: int, address: str) -> None:
        """Record the address of a rank's agent, which changes if it is replaced."""
        known = self._address_by_rank.get(rank)
        if known is not None and known != address:
            logger.warning(
                "Agent of rank %d changed its address from %s to %s.",
                rank,
                known,
                address,
            )
        self._address_by_rank[rank] = address

    def _send_probes(self, agent_addresses: frozenset[str]) -> None:
        """Request the state from agents whose rank is unknown; replies name it."""
        for address in sorted(agent_addresses - set(self._address_by_rank.values())):
            self._send_order(address, _PROBE_REQUEST)

    def _handle_loads(self, rank: int, loads: ExpertLoadsReply) -> None:
        schedule = self._coordinator.schedule
        if schedule is not None:
            self._rebalancer.add_reply(rank, loads, schedule.new_map)

    def _handle_event(self, event: Event) -> None:
        old_phase = self.phase
        orders = self._coordinator.handle_event(event)
        if phase_key(self.phase) != phase_key(old_phase) and not isinstance(
            self.phase, Ready
        ):
            logger.info("Entered phase %s %s.", *phase_key(self.phase))
        self._send_orders(orders)

    def _send_orders(self, orders: list[OutgoingOrder]) -> None:
        for outgoing in orders:
            address = self._address_by_rank.get(outgoing.rank)
            if address is not None:
                self._send_order(address, outgoing.order)

    def _send_order(self, address: str, order: AnyOrder) -> None:
        self._serial += 1
        message = MapOrder(
            self._group, self._fence, self._serial, self._agent_name, encode(order)
        )
        self._hub.send(OutgoingLink(address, 0), message)
