from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from kingcupwheel.expertmaps.phases import Ready
from tests.expertmaps.group_model import GroupModel
from tests.expertmaps.group_model import SentOrder


RANKS = 3
PICK = st.integers(min_value=0, max_value=10_000)
RANK = st.integers(min_value=0, max_value=RANKS - 1)


class GroupUnderFailures(RuleBasedStateMachine):
    """Guards against a step on two maps and against a group that stops stepping.

    Messages are delayed, lost, duplicated and reordered; agents, ranks and coordinators
    restart; old coordinators continue without noticing; engines may ignore fences and
    apply an order long after its agent forwarded it. Once the failures end, all ranks
    step again.
    """

    @initialize(ignore_fences=st.booleans())
    def start(self, ignore_fences: bool) -> None:
        self.model = GroupModel(rank_count=RANKS, ignore_fences=ignore_fences)
        self.now = 0.0
        self.delivered: set[SentOrder] = set()
        self.model.take_over()

    @rule(pick=PICK)
    def message_arrives(self, pick: int) -> None:
        recent = self.model.orders[-12:]
        if recent:
            self.model.deliver_order(recent[pick % len(recent)])

    @rule(pick=PICK)
    def old_message_arrives(self, pick: int) -> None:
        if self.model.orders:
            self.model.deliver_order(self.model.orders[pick % len(self.model.orders)])

    @rule(pick=PICK)
    def reply_arrives(self, pick: int) -> None:
        recent = self.model.replies[-12:]
        if recent:
            self.model.deliver_reply(recent[pick % len(recent)], self.now)

    @rule(pick=PICK, count=st.integers(min_value=1, max_value=12), number=PICK)
    def a_change_advances(self, pick: int, count: int, number: int) -> None:
        """Deliver some orders of one coordinator in turn while the ranks step."""
        number %= len(self.model.coordinators)
        self.model.propose(number, self.now)
        for _ in range(count):
            fresh = [
                order
                for order in self.model.orders
                if order.coordinator_index == number and order not in self.delivered
            ]
            if not fresh:
                return
            order = fresh[pick % min(len(fresh), RANKS)]
            self.delivered.add(order)
            self.model.deliver_order(order)
            self.model.deliver_reply(self.model.replies[-1], self.now)
            self.ranks_step(1)

    @rule()
    def all_messages_arrive(self) -> None:
        newest = len(self.model.coordinators) - 1
        for order in self.model.orders:
            if order.coordinator_index == newest:
                self.model.deliver_order(order)
        for reply in self.model.replies:
            if reply.coordinator_index == newest:
                self.model.deliver_reply(reply, self.now)

    @rule(pick=PICK)
    def agent_restarts_with_an_order_at_its_engine(self, pick: int) -> None:
        recent = self.model.orders[-12:]
        if recent:
            order = recent[pick % len(recent)]
            self.model.forward_order(order)
            self.model.restart_agent(order.rank)

    @rule(rank=RANK, pick=PICK)
    def engine_takes_an_orphaned_order(self, rank: int, pick: int) -> None:
        waiting = self.model.orders_at_engine[rank]
        if waiting:
            self.model.apply_at_engine(waiting[pick % len(waiting)], is_answered=False)

    @rule(rank=RANK)
    def rank_restarts(self, rank: int) -> None:
        self.model.restart_rank(rank)

    @precondition(lambda self: len(self.model.coordinators) < 4)
    @rule()
    def another_coordinator_takes_over(self) -> None:
        self.model.take_over(self.now)

    @rule(pick=PICK)
    def planner_proposes(self, pick: int) -> None:
        self.model.propose(pick % len(self.model.coordinators), self.now)

    @rule(pick=PICK, elapsed=st.sampled_from([0.1, 1.5]))
    def time_passes(self, pick: int, elapsed: float) -> None:
        self.now += elapsed
        self.model.tick(pick % len(self.model.coordinators), self.now)

    @rule(steps=st.integers(min_value=1, max_value=4))
    def ranks_step(self, steps: int) -> None:
        for _ in range(steps):
            for rank in range(RANKS):
                if self.model.can_run(rank):
                    self.model.run_step(rank)

    @rule(rank=RANK)
    def one_rank_steps(self, rank: int) -> None:
        if self.model.can_run(rank):
            self.model.run_step(rank)

    @invariant()
    def no_step_is_run_on_two_maps(self) -> None:
        assert self.model.conflicting_runs is None

    def teardown(self) -> None:
        if hasattr(self, "model"):
            self._assert_recovery()

    def _assert_recovery(self) -> None:
        for rank in range(RANKS):
            for order in self.model.orders_at_engine[rank]:
                self.model.apply_at_engine(order, is_answered=False)
        newest = len(self.model.coordinators) - 1
        for _ in range(12):
            self.now += 3
            self.model.tick(newest, self.now)
            self.all_messages_arrive()
        assert isinstance(self.model.coordinators[newest].phase, Ready)
        before = min(state.step for state in self.model.ranks)
        self.ranks_step(8)
        assert min(state.step for state in self.model.ranks) >= before + 7
        assert self.model.conflicting_runs is None


def test_copies_of_orders_before_a_second_restart_do_not_bring_back_an_old_map() -> (
    None
):
    """Guards against an outdated map on one rank, so that a step runs on two maps.

    A rank restarts and receives its map by a supersede and a commit order. The group
    changes its map. The rank restarts again, and duplicates of both orders arrive over
    an older link. The new process has seen no version and would accept them.
    """
    group = GroupUnderFailures()
    group.start(ignore_fences=False)
    group.rank_restarts(rank=0)
    for _ in range(3):
        group.all_messages_arrive()
    group.a_change_advances(count=1, number=0, pick=0)
    for _ in range(3):
        group.all_messages_arrive()
    group.a_change_advances(count=2, number=0, pick=0)
    group.rank_restarts(rank=0)
    group.all_messages_arrive()
    group.a_change_advances(count=1, number=0, pick=0)

    group.no_step_is_run_on_two_maps()
    group.teardown()


TestGroupUnderFailures = GroupUnderFailures.TestCase
TestGroupUnderFailures.settings = settings(max_examples=150, stateful_step_count=80)
