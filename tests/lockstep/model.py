"""State space model of a lock-stepped group, its orders and its coordinator.

An order may get no answer, be carried out late, or twice. The coordinator may crash at
any moment and restart. The decisions are those of the production code.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import replace
from typing import NamedTuple

from kingcupwheel.lockstep.change_protocol import Idle
from kingcupwheel.lockstep.change_protocol import LayerPlacements
from kingcupwheel.lockstep.change_protocol import PendingOrder
from kingcupwheel.lockstep.change_protocol import Phase
from kingcupwheel.lockstep.change_protocol import Preparing
from kingcupwheel.lockstep.change_protocol import Settling
from kingcupwheel.lockstep.change_protocol import advance_phase
from kingcupwheel.lockstep.change_protocol import pending_orders
from kingcupwheel.lockstep.change_protocol import recover_phase
from kingcupwheel.lockstep.change_protocol import recover_phase_without_rank_0
from kingcupwheel.lockstep.group_state import COORDINATOR_RANK
from kingcupwheel.lockstep.group_state import HOLDER_RANK
from kingcupwheel.lockstep.group_state import GroupState
from kingcupwheel.lockstep.orders import Arm
from kingcupwheel.lockstep.orders import Disarm
from kingcupwheel.lockstep.orders import Hold
from kingcupwheel.lockstep.orders import Prepare
from kingcupwheel.lockstep.orders import RankOrder
from kingcupwheel.lockstep.orders import Release
from kingcupwheel.lockstep.rank_reports import RankState


EPOCH = 1
LAYERS: LayerPlacements = (((0,), (1,)),)


class ModelRank(NamedTuple):
    """State of a rank; ``highest`` is the highest version that it ever prepared."""

    version: int = 0
    prepared: int = 0
    armed: int = 0
    armed_step: int = 0
    highest: int = 0


class InFlightOrder(NamedTuple):
    """A sent order that is carried out at any later time."""

    rank: int
    order: RankOrder


@dataclass(frozen=True)
class ModelState:
    """State of the whole group and of its coordinating agents.

    ``known_states`` are the reports that the coordinator has read (None: not read).
    ``phase`` None means that it has just started and reads the ranks. ``rescue_phase``
    and ``rescue_known_states`` belong to the agent of another rank that ends the change
    that it finds; ``rescue_known_states`` None means that it is inactive. With
    ``is_rescue_without_rank_0`` it can't reach rank 0.
    """

    ranks: tuple[ModelRank, ...]
    step: int = 0
    held: int | None = None
    in_flight: frozenset[InFlightOrder] = frozenset()
    phase: Phase | None = None
    known_states: tuple[RankState | None, ...] = ()
    rescue_phase: Phase | None = None
    rescue_known_states: tuple[RankState | None, ...] | None = None
    is_rescue_without_rank_0: bool = False
    lives: int = 1
    changes: int = 0
    lost: int = 0


class SearchLimits(NamedTuple):
    """Limits of changes begun, coordinator lives, unanswered orders and passes."""

    changes: int
    lives: int
    lost: int
    steps: int
    rescues: bool = False


def initial_state(ranks: int) -> ModelState:
    return ModelState(ranks=(ModelRank(),) * ranks, known_states=(None,) * ranks)


def report_of(state: ModelState, number: int) -> RankState:
    rank = state.ranks[number]
    return RankState(
        group="g",
        epoch=EPOCH,
        rank=number,
        ranks=len(state.ranks),
        is_open=True,
        step=state.step,
        version=rank.version,
        prepared=rank.prepared,
        armed=rank.armed,
        held=state.held if number == HOLDER_RANK else None,
        running=0,
        waiting=0,
        pace=1.0,
    )


def apply_order(state: ModelState, number: int, order: RankOrder) -> ModelState:
    """Return the state after the rank received the order, which it may refuse."""
    rank = state.ranks[number]
    match order:
        case Prepare(_, version):
            if version <= rank.highest or rank.armed:
                return state
            changed = rank._replace(prepared=version, highest=version)
        case Arm(_, version, step):
            if rank.prepared != version or state.step >= step:
                return state
            changed = rank._replace(armed=version, armed_step=step)
        case Disarm(_, version):
            if rank.armed != version:
                return state
            changed = rank._replace(armed=0, armed_step=0)
        case Hold(_, step):
            taken = state.held is None and state.step < step
            return replace(state, held=step) if taken else state
        case Release(_, step):
            return replace(state, held=None) if state.held == step else state
    ranks = list(state.ranks)
    ranks[number] = changed
    return replace(state, ranks=tuple(ranks))


def begin_pass(state: ModelState) -> ModelState:
    """Return the state after the next pass began."""
    step = state.step + 1
    ranks = tuple(
        rank._replace(version=rank.armed, armed=0, armed_step=0)
        if rank.armed and rank.armed_step == step
        else rank
        for rank in state.ranks
    )
    return replace(state, step=step, ranks=ranks)


def is_mixed(state: ModelState) -> bool:
    return len({rank.version for rank in state.ranks}) > 1


AdvancePhase = Callable[[Phase, GroupState], Phase]
RecoverPhase = Callable[[GroupState, LayerPlacements], Phase]
FindPendingOrders = Callable[[Phase, GroupState], tuple[PendingOrder, ...]]


class ProtocolRules(NamedTuple):
    """The rules of the coordinator, so that tests can replace a safeguard."""

    advance_phase: AdvancePhase = advance_phase
    recover_phase: RecoverPhase = recover_phase
    recover_phase_without_rank_0: RecoverPhase = recover_phase_without_rank_0
    pending_orders: FindPendingOrders = pending_orders


def next_states(
    state: ModelState, limits: SearchLimits, rules: ProtocolRules
) -> Iterator[ModelState]:
    """Yield every possible next state."""
    if state.step < limits.steps and state.held != state.step + 1:
        yield begin_pass(state)
    for late_order in state.in_flight:
        arrived = apply_order(state, late_order.rank, late_order.order)
        yield replace(arrived, in_flight=state.in_flight - {late_order})
    if state.lives < limits.lives:
        ranks = len(state.ranks)
        yield replace(
            state, phase=None, known_states=(None,) * ranks, lives=state.lives + 1
        )
    yield from _coordinator_successors(state, limits, rules)
    if limits.rescues:
        yield from _rescuer_successors(state, limits, rules)


def _rescuer_successors(
    state: ModelState, limits: SearchLimits, rules: ProtocolRules
) -> Iterator[ModelState]:
    """Yield the steps of the rescuing agent, which never begins a change."""
    if state.rescue_known_states is None:
        if state.held is not None:
            nothing = (None,) * len(state.ranks)
            yield replace(
                state, rescue_known_states=nothing, is_rescue_without_rank_0=False
            )
            yield replace(
                state, rescue_known_states=nothing, is_rescue_without_rank_0=True
            )
        return
    seen = replace(
        state, phase=state.rescue_phase, known_states=state.rescue_known_states
    )
    if isinstance(seen.phase, Idle | Settling):
        yield replace(state, rescue_phase=None, rescue_known_states=None)
        return
    for following in _coordinator_successors(
        seen, limits, rules, state.is_rescue_without_rank_0
    ):
        yield replace(
            following,
            phase=state.phase,
            known_states=state.known_states,
            rescue_phase=following.phase,
            rescue_known_states=following.known_states,
        )


def _coordinator_successors(
    state: ModelState,
    limits: SearchLimits,
    rules: ProtocolRules,
    is_rank_0_missing: bool = False,
) -> Iterator[ModelState]:
    if state.phase is None:
        yield from _takeover_successors(state, rules, is_rank_0_missing)
        return
    group = _group(state)
    if isinstance(state.phase, Idle):
        yield from _idle_successors(state, limits, rules, group)
        return
    for number, _ in enumerate(state.ranks):
        if not (is_rank_0_missing and number == COORDINATOR_RANK):
            yield _read_report(state, number, rules)
    for pending in rules.pending_orders(state.phase, group):
        done = apply_order(state, pending.rank, pending.order)
        yield _read_report(done, pending.rank, rules)
        if state.lost < limits.lost:
            in_flight = state.in_flight | {InFlightOrder(pending.rank, pending.order)}
            yield replace(state, in_flight=in_flight, lost=state.lost + 1)


def _takeover_successors(
    state: ModelState, rules: ProtocolRules, is_rank_0_missing: bool
) -> Iterator[ModelState]:
    for number, known in enumerate(state.known_states):
        if known is None and not (is_rank_0_missing and number == COORDINATOR_RANK):
            seen = list(state.known_states)
            seen[number] = report_of(state, number)
            yield replace(state, known_states=tuple(seen))
            return
    begin = (
        rules.recover_phase_without_rank_0 if is_rank_0_missing else rules.recover_phase
    )
    yield replace(state, phase=begin(_group(state), LAYERS))


def _idle_successors(
    state: ModelState, limits: SearchLimits, rules: ProtocolRules, group: GroupState
) -> Iterator[ModelState]:
    fresh = replace(
        state, known_states=tuple(report_of(state, n) for n in range(len(state.ranks)))
    )
    group = _group(fresh)
    if group.held_step is not None:
        yield replace(fresh, phase=rules.recover_phase(group, LAYERS))
    elif state.changes < limits.changes and not any(r.armed for r in state.ranks):
        phase = Preparing(group.highest_version + 1, LAYERS)
        yield replace(fresh, phase=phase, changes=state.changes + 1)


def _read_report(state: ModelState, number: int, rules: ProtocolRules) -> ModelState:
    seen = list(state.known_states)
    seen[number] = report_of(state, number)
    read = replace(state, known_states=tuple(seen))
    assert read.phase is not None
    return replace(read, phase=rules.advance_phase(read.phase, _group(read)))


def _group(state: ModelState) -> GroupState:
    states = {n: one for n, one in enumerate(state.known_states) if one is not None}
    return GroupState(EPOCH, len(state.ranks), states)


class SearchResult(NamedTuple):
    """Result of a search: visited states, one with mixed maps and one that is stuck."""

    visited_count: int
    mixed_state: ModelState | None
    stuck_state: ModelState | None


PRODUCTION_RULES = ProtocolRules()


def search(
    ranks: int, limits: SearchLimits, rules: ProtocolRules = PRODUCTION_RULES
) -> SearchResult:
    """Visit all reachable states; a stuck state holds a pass and has no successor."""
    first = initial_state(ranks)
    seen = {first}
    queue = [first]
    stuck: ModelState | None = None
    while queue:
        state = queue.pop()
        if is_mixed(state):
            return SearchResult(len(seen), state, stuck)
        following = set(next_states(state, limits, rules)) - {state}
        if not following and state.held is not None:
            stuck = state
        for one in following - seen:
            seen.add(one)
            queue.append(one)
    return SearchResult(len(seen), None, stuck)
