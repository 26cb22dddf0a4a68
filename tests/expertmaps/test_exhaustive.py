from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.expertmaps.coordinator import Coordinator
from kingcupwheel.expertmaps.phases import Preparing
from kingcupwheel.expertmaps.protocol import CommitOrder
from kingcupwheel.expertmaps.protocol import PrepareOrder
from tests.expertmaps.group_model import GroupModel
from tests.expertmaps.naive_coordinator import NaiveCoordinator


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

MAX_STEPS = 2


class FailureBudget(NamedTuple):
    """Failures that may still occur on a path."""

    takeovers: int
    agent_restarts: int
    rank_restarts: int


class SearchNode(NamedTuple):
    model: GroupModel
    budget: FailureBudget


class SearchResult(NamedTuple):
    state_count: int
    conflict_depth: int | None


def build_preparing_model(
    coordinator_type: type[Coordinator], *, ignore_fences: bool
) -> GroupModel:
    """Return a group that has staged a second map and is about to prepare it."""
    model = GroupModel(coordinator_type=coordinator_type, ignore_fences=ignore_fences)
    model.take_over()
    for _ in range(2):
        for order in model.orders:
            model.deliver_order(order)
        for reply in model.replies:
            model.deliver_reply(reply)
        if not isinstance(model.coordinators[0].phase, Preparing):
            model.propose(0)
    assert isinstance(model.coordinators[0].phase, Preparing)
    model.orders = tuple(
        sent for sent in model.orders if isinstance(sent.order, PrepareOrder)
    )
    model.replies = ()
    return model


def iter_successors(node: SearchNode) -> Iterator[SearchNode]:
    yield from _after_messages(node)
    yield from _after_failures(node)
    for rank in range(2):
        if node.model.can_run(rank) and node.model.ranks[rank].step < MAX_STEPS:
            model = node.model.copy()
            model.run_step(rank)
            yield node._replace(model=model)


def _is_preparing(model: GroupModel) -> bool:
    return isinstance(model.coordinators[0].phase, Preparing)


def _after_messages(node: SearchNode) -> Iterator[SearchNode]:
    for order in node.model.orders:
        # A reply only adds orders to the network, so a late reply is the same as late
        # orders. But the first coordinator may also abort without having received it.
        may_abort = order.coordinator_index == 0 and _is_preparing(node.model)
        for is_received in (True, False) if may_abort else (True,):
            model = node.model.copy()
            model.deliver_order(order)
            if is_received:
                for reply in model.replies:
                    model.deliver_reply(reply)
            model.replies = ()
            yield node._replace(model=model)
    for rank in range(2):
        for order in node.model.orders_at_engine[rank]:
            model = node.model.copy()
            model.apply_at_engine(order, is_answered=False)
            yield node._replace(model=model)


def _after_failures(node: SearchNode) -> Iterator[SearchNode]:
    budget = node.budget
    if _is_preparing(node.model):
        model = node.model.copy()
        model.tick(0, 100)
        yield node._replace(model=model)
    if budget.takeovers:
        model = node.model.copy()
        model.take_over()
        yield SearchNode(model, budget._replace(takeovers=budget.takeovers - 1))
    if budget.agent_restarts:
        remaining = budget._replace(agent_restarts=budget.agent_restarts - 1)
        for order in node.model.orders:
            # An order that waits at the engine is the same as one delayed in the
            # network, unless its agent restarts.
            if isinstance(order.order, CommitOrder | PrepareOrder):
                model = node.model.copy()
                model.forward_order(order)
                model.restart_agent(order.rank)
                yield SearchNode(model, remaining)
    if budget.rank_restarts:
        remaining = budget._replace(rank_restarts=budget.rank_restarts - 1)
        for rank in range(2):
            model = node.model.copy()
            model.restart_rank(rank)
            yield SearchNode(model, remaining)


def search(start: GroupModel, budget: FailureBudget) -> SearchResult:
    """Visit every reachable state; stop at the first step run on two maps."""
    first = SearchNode(start, budget)
    seen = {(start.state_key, budget)}
    waiting = deque([(0, first)])
    while waiting:
        depth, node = waiting.popleft()
        for child in iter_successors(node):
            key = (child.model.state_key, child.budget)
            if key in seen:
                continue
            seen.add(key)
            if child.model.conflicting_runs:
                return SearchResult(len(seen), depth + 1)
            waiting.append((depth + 1, child))
    return SearchResult(len(seen), None)


def test_no_order_of_events_mixes_maps_across_a_takeover_and_an_agent_restart(
    record_property: Callable[[str, object], None],
) -> None:
    """Guards against a step on two maps, in every reachable state of a change.

    From the prepare on, messages are delayed, lost or duplicated; the coordinator
    aborts or is superseded without noticing; one agent restarts while an order waits at
    its engine, which ignores fences.
    """
    result = search(
        build_preparing_model(Coordinator, ignore_fences=True), FailureBudget(1, 1, 0)
    )

    record_property("states", result.state_count)
    print(f"{result.state_count} states")
    assert result.conflict_depth is None


def test_the_search_finds_the_fault_of_a_successor_that_reads_and_decides() -> None:
    """Shows that the search finds the fault of ``NaiveCoordinator``."""
    result = search(
        build_preparing_model(NaiveCoordinator, ignore_fences=True),
        FailureBudget(1, 1, 0),
    )

    assert result.conflict_depth is not None
