"""Model of a group: its ranks, agents, coordinators and the network.

Sent messages stay in the network, so that each may be lost, delayed, duplicated or
reordered. Attributes hold immutable values, so that a shallow copy is a snapshot.
"""

from __future__ import annotations

import copy
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import TypeVar

from kingcupwheel.expertmaps.coordinator import Coordinator
from kingcupwheel.expertmaps.coordinator import CoordinatorTimings
from kingcupwheel.expertmaps.maps import MapVersion
from kingcupwheel.expertmaps.phases import LeaseTaken
from kingcupwheel.expertmaps.phases import MapProposed
from kingcupwheel.expertmaps.phases import ReplyReceived
from kingcupwheel.expertmaps.phases import Tick
from kingcupwheel.expertmaps.protocol import RefusalReason
from kingcupwheel.expertmaps.protocol import RefusalReply
from kingcupwheel.expertmaps.protocol import version_of
from kingcupwheel.expertmaps.rank_state import RankState
from kingcupwheel.expertmaps.rank_state import apply_order
from tests.expertmaps.builders import build_first_map
from tests.expertmaps.builders import build_schedule
from tests.expertmaps.builders import rotate_ranks


if TYPE_CHECKING:
    from collections.abc import Hashable

    from kingcupwheel.expertmaps.phases import Event
    from kingcupwheel.expertmaps.protocol import RankOrder
    from kingcupwheel.expertmaps.protocol import RankReply

TIMINGS = CoordinatorTimings(
    retry_interval_s=0,
    poll_interval_s=1,
    switch_lead_s=0.004,
    prepare_timeout_s=1,
    stage_timeout_s=1,
)
FIRST = MapVersion(1, 1)


class SentOrder(NamedTuple):
    coordinator_index: int
    rank: int
    fence: int
    order: RankOrder


class SentReply(NamedTuple):
    coordinator_index: int
    rank: int
    fence: int
    reply: RankReply


class StepRun(NamedTuple):
    """Run of ``step`` by a rank; a restart of a rank begins a new ``incarnation``."""

    incarnation: int
    step: int
    map_version: MapVersion


class GroupModel:
    def __init__(
        self,
        *,
        rank_count: int = 2,
        ignore_fences: bool = True,
        coordinator_type: type[Coordinator] = Coordinator,
    ) -> None:
        self.initial_map = build_first_map(rank_count)
        self.rotated_map = rotate_ranks(self.initial_map)
        self.ignore_fences = ignore_fences
        self.coordinator_type = coordinator_type
        known = RankState(
            schedule=build_schedule(FIRST, self.initial_map), highest_version=FIRST
        )
        self.ranks = (known,) * rank_count
        self.agent_fences = (1,) * rank_count
        self.engine_fences = (1,) * rank_count
        self.orders_at_engine: tuple[tuple[SentOrder, ...], ...] = ((),) * rank_count
        self.orders: tuple[SentOrder, ...] = ()
        self.replies: tuple[SentReply, ...] = ()
        self.coordinators: tuple[Coordinator, ...] = ()
        self.lease_fence = 1
        self.incarnation = 0
        self.runs: frozenset[StepRun] = frozenset()

    def copy(self) -> GroupModel:
        new = object.__new__(GroupModel)
        new.__dict__.update(self.__dict__)
        return new

    @property
    def state_key(self) -> Hashable:
        coordinators = tuple(
            (c.fence, c.phase, c.schedule, c._version) for c in self.coordinators
        )
        return (
            self.ranks,
            self.agent_fences,
            self.engine_fences,
            tuple(frozenset(orders) for orders in self.orders_at_engine),
            frozenset(self.orders),
            frozenset(self.replies),
            coordinators,
            self.runs,
        )

    @property
    def conflicting_runs(self) -> tuple[StepRun, StepRun] | None:
        """Two runs of one step on different maps, None if there are none."""
        first_by_step: dict[tuple[int, int], StepRun] = {}
        for run in self.runs:
            first = first_by_step.setdefault((run.incarnation, run.step), run)
            if first.map_version != run.map_version:
                return first, run
        return None

    def take_over(self, now: float = 0) -> None:
        """Add a coordinator that takes the lease; older ones do not notice."""
        self.lease_fence += 1
        new = self.coordinator_type(
            rank_count=len(self.ranks), initial_map=self.initial_map, timings=TIMINGS
        )
        self.coordinators = (*self.coordinators, new)
        self.handle_event(len(self.coordinators) - 1, LeaseTaken(self.lease_fence, now))

    def handle_event(self, coordinator_index: int, event: Event) -> None:
        coordinator = copy.copy(self.coordinators[coordinator_index])
        outgoing_orders = coordinator.handle_event(event)
        self.coordinators = _with_item(
            self.coordinators, coordinator_index, coordinator
        )
        for outgoing in outgoing_orders:
            sent = SentOrder(
                coordinator_index, outgoing.rank, coordinator.fence, outgoing.order
            )
            self.orders = _with_added(self.orders, sent)

    def propose(self, coordinator_index: int, now: float = 0) -> None:
        current = self.coordinators[coordinator_index].schedule
        target_map = self.initial_map
        if current is not None and current.new_map.map == self.initial_map:
            target_map = self.rotated_map
        self.handle_event(coordinator_index, MapProposed(target_map, now))

    def tick(self, coordinator_index: int, now: float) -> None:
        self.handle_event(coordinator_index, Tick(now))

    def deliver_reply(self, sent: SentReply, now: float = 0) -> None:
        if self.coordinators[sent.coordinator_index].fence == sent.fence:
            self.handle_event(
                sent.coordinator_index, ReplyReceived(sent.rank, sent.reply, now)
            )

    def forward_order(self, sent: SentOrder) -> None:
        """Forward the order from agent to engine, which does not apply it yet."""
        rank = sent.rank
        if sent.fence < self.agent_fences[rank]:
            self._record_reply(sent, RefusalReply(version_of(sent.order), _STALE))
            return
        self.agent_fences = _with_item(self.agent_fences, rank, sent.fence)
        orders = _with_added(self.orders_at_engine[rank], sent)
        self.orders_at_engine = _with_item(self.orders_at_engine, rank, orders)

    def apply_at_engine(self, sent: SentOrder, *, is_answered: bool = True) -> None:
        """Apply a forwarded order; the reply is lost unless ``is_answered``."""
        rank = sent.rank
        orders = tuple(item for item in self.orders_at_engine[rank] if item != sent)
        self.orders_at_engine = _with_item(self.orders_at_engine, rank, orders)
        if not self.ignore_fences and sent.fence < self.engine_fences[rank]:
            return
        self.engine_fences = _with_item(self.engine_fences, rank, sent.fence)
        state, reply = apply_order(self.ranks[rank], sent.order)
        self.ranks = _with_item(self.ranks, rank, state)
        if is_answered:
            self._record_reply(sent, reply)

    def deliver_order(self, sent: SentOrder) -> None:
        """Forward the order and, if the agent accepts it, apply it."""
        self.forward_order(sent)
        if sent in self.orders_at_engine[sent.rank]:
            self.apply_at_engine(sent)

    def restart_agent(self, rank: int) -> None:
        """Restart an agent, which reads the lease's fence; forwarded orders remain."""
        self.agent_fences = _with_item(self.agent_fences, rank, self.lease_fence)

    def restart_rank(self, rank: int) -> None:
        """Restart a rank; the group repeats the step that not all ranks had run.

        Orders in transit to the old engine process are lost with its connections.
        """
        self.incarnation += 1
        step = min(state.step for state in self.ranks)
        ranks = tuple(state._replace(step=step) for state in self.ranks)
        self.ranks = _with_item(
            ranks, rank, RankState(step=step, incarnation=str(self.incarnation))
        )
        self.orders_at_engine = _with_item(self.orders_at_engine, rank, ())
        self.engine_fences = _with_item(self.engine_fences, rank, 0)

    def can_run(self, rank: int) -> bool:
        state = self.ranks[rank]
        return state.may_run and state.step == min(s.step for s in self.ranks)

    def run_step(self, rank: int) -> None:
        state = self.ranks[rank]
        assert state.map_in_force is not None
        self.runs |= {
            StepRun(self.incarnation, state.step, state.map_in_force.origin_version)
        }
        self.ranks = _with_item(self.ranks, rank, state._replace(step=state.step + 1))

    def _record_reply(self, sent: SentOrder, reply: RankReply) -> None:
        answer = SentReply(sent.coordinator_index, sent.rank, sent.fence, reply)
        self.replies = _with_added(self.replies, answer)


T = TypeVar("T")
_STALE = RefusalReason.STALE_FENCE


def _with_item(items: tuple[T, ...], index: int, item: T) -> tuple[T, ...]:
    return (*items[:index], item, *items[index + 1 :])


def _with_added(items: tuple[T, ...], item: T) -> tuple[T, ...]:
    return items if item in items else (*items, item)
