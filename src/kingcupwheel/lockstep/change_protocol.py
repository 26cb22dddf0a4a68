"""One change of a group's expert map, from its preparation to its first pass.

Pure: phases and reports in, phases and orders out. Orders may get no answer, be lost or
be carried out seconds later, so each is given again until the rank's report shows it.

Safety rests on three facts. A rank holds a pass before any rank is armed for it, so no
pass begins on two maps while some ranks are armed. The hold is released only when
every rank is armed with one version, or when every rank has prepared a higher one,
which makes each older arming void even if its order arrives later. Only the agent
beside rank 0 begins changes, and each order names the epoch, so a former coordinator's
orders are void.

Failure: the machine of rank 0 is frozen right after it gave a hold. Symptom: the whole
group stands still until it wakes, seconds later, and then has the backlog of all that
time. Two rules let the other agents end such a hold without that machine. The pass is
held at another machine's rank, which takes the release from them as well. And rank 0
is armed last, after all others, so that while another rank is not armed rank 0 is not
either, and it never will be once that rank has prepared a higher version.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.lockstep.group_state import COORDINATOR_RANK
from kingcupwheel.lockstep.group_state import is_armed_or_active
from kingcupwheel.lockstep.group_state import is_version_void
from kingcupwheel.lockstep.orders import Arm
from kingcupwheel.lockstep.orders import Disarm
from kingcupwheel.lockstep.orders import Hold
from kingcupwheel.lockstep.orders import Prepare
from kingcupwheel.lockstep.orders import RankOrder
from kingcupwheel.lockstep.orders import Release


if TYPE_CHECKING:
    from collections.abc import Callable

    from kingcupwheel.lockstep.group_state import GroupState
    from kingcupwheel.lockstep.rank_reports import RankState

# Experts by layer and rank.
LayerPlacements = tuple[tuple[tuple[int, ...], ...], ...]

# Passes between the last one begun and the one that is held. With fewer the ranks are
# armed too late and the group waits; with more a change takes effect later. Arming
# takes some 15 ms, a pass under load as long.
HOLD_LEAD_PASSES = 4

# Versions skipped by a coordinator that finds orders of a former life: more than that
# life can have given without any rank showing them.
RECOVERY_VERSION_GAP = 16


@dataclass(frozen=True, slots=True)
class Idle:
    """No change is under way."""


@dataclass(frozen=True, slots=True)
class Preparing:
    """Ranks copy the weights of ``version``."""

    version: int
    layers: LayerPlacements


@dataclass(frozen=True, slots=True)
class Holding:
    """All ranks are prepared; the holder is to hold the pass ``step``."""

    version: int
    layers: LayerPlacements
    step: int


@dataclass(frozen=True, slots=True)
class Arming:
    """The pass ``step`` is held; ranks are armed for it."""

    version: int
    layers: LayerPlacements
    step: int


@dataclass(frozen=True, slots=True)
class Releasing:
    """All ranks are armed; the pass ``step`` may begin."""

    version: int
    layers: LayerPlacements
    step: int


@dataclass(frozen=True, slots=True)
class Settling:
    """Released; the map is in force once the pass ``step`` begins."""

    version: int
    layers: LayerPlacements
    step: int


@dataclass(frozen=True, slots=True)
class Voiding:
    """The held pass ``step`` is released once all versions up to ``over`` are void.

    They are on a rank that is not armed and has prepared a higher one, ``version`` if
    it has none yet.
    """

    version: int
    layers: LayerPlacements
    step: int
    voided_version: int


Phase = Idle | Preparing | Holding | Arming | Releasing | Settling | Voiding


class PendingOrder(NamedTuple):
    """An order that ``rank`` still needs."""

    rank: int
    order: RankOrder


def advance_phase(phase: Phase, group: GroupState) -> Phase:
    """Return the phase that the reports lead to."""
    while True:
        following = _next_phase(phase, group)
        if following == phase:
            return phase
        phase = following


class ChangeOutcome(Enum):
    """How a change ended: its map came into force, or never will."""

    RELEASED = "released"
    VOIDED = "voided"


def change_outcome(
    before: Phase, after: Phase, group: GroupState
) -> ChangeOutcome | None:
    """Return how the change of ``before`` has ended by ``after``, None if it goes on.

    Failure: an agent wakes and finds its change made void and the pass begun. Symptom:
    it takes the map that never came into force for the one that experts are moved from.
    """
    match before:
        case Preparing() | Holding() | Arming() if group.is_superseded(before.version):
            return ChangeOutcome.VOIDED if isinstance(after, Idle) else None
        case Voiding() if isinstance(after, Idle):
            return ChangeOutcome.VOIDED
        case Arming() | Releasing() if isinstance(after, Settling | Idle):
            return ChangeOutcome.RELEASED
    return None


def _next_phase(phase: Phase, group: GroupState) -> Phase:
    match phase:
        case Preparing() | Holding() | Arming() if group.is_superseded(phase.version):
            return _phase_after_superseded(phase, group)
        case Preparing(version, layers) if group.all_prepared(version):
            return Holding(version, layers, group.latest_step + HOLD_LEAD_PASSES)
        case Holding(version, layers) if group.held_step is not None:
            # A hold of a former life may have come late and keeps this one out; every
            # rank is prepared, and its pass has not begun either, so it serves as well.
            return Arming(version, layers, group.held_step)
        case Holding(version, layers, step) if group.latest_step >= step:
            # A hold that comes too late is refused, so a later pass may be asked for.
            return Holding(version, layers, group.latest_step + HOLD_LEAD_PASSES)
        case Arming(version, layers, step) if group.all_armed(version):
            return Releasing(version, layers, step)
        case Releasing(version, layers, step) if not group.is_held_up_to(step):
            return Settling(version, layers, step)
        case Settling(version, layers, step) if group.is_held_up_to(step):
            # A copy of a hold came after the release; every rank is armed.
            return Releasing(version, layers, step)
        case Settling(version) if group.coordinator_state.version == version:
            return Idle()
        case Voiding(step=step) if (
            not group.is_held_up_to(step) and group.latest_step >= step
        ):
            # Not before the pass has begun: orders of another agent that ends the same
            # hold may be on their way, and would release a new one of the same pass.
            return Idle()
    return phase


def _phase_after_superseded(
    phase: Preparing | Holding | Arming, group: GroupState
) -> Phase:
    """Return what follows a change that another agent made void.

    It did so while this agent's machine was frozen, and may not have released the pass.
    """
    match phase:
        case Preparing():
            return Idle()
        case Holding(version, layers, step) | Arming(version, layers, step):
            return Voiding(
                group.highest_version + RECOVERY_VERSION_GAP, layers, step, version
            )


def recover_phase(group: GroupState, layers: LayerPlacements) -> Phase:
    """Return the phase to go on from with a hold that this life did not order.

    ``layers`` is the map in force. If every rank has one version prepared and some are
    armed with it, the others may be as well by orders on their way, and the pass may
    have been released: only going forward is right. Otherwise it can't have, and nobody
    can complete that version any more once a higher one is prepared. While no rank is
    armed the version may itself be one that makes others void, so it is not completed.
    """
    if group.held_step is None:
        return Idle()
    newest = group.newest_pending_version
    states = group.states_by_rank.values()
    shown = all(newest in (one.prepared, one.armed) for one in states)
    if shown and any(one.armed == newest for one in states):
        return Arming(newest, (), group.held_step)
    return Voiding(
        group.highest_version + RECOVERY_VERSION_GAP, layers, group.held_step, newest
    )


def recover_phase_without_rank_0(group: GroupState, layers: LayerPlacements) -> Phase:
    """Return the phase to go on from while rank 0 and its agent can't be reached.

    Rank 0 is armed last. If another rank is not armed, it is not either, and the change
    is made void; else it may be, and its pass may have been released, so that nobody
    but rank 0's agent can tell.
    """
    newest = group.newest_pending_version
    if group.held_step is None or group.others_armed(newest):
        return Idle()
    return Voiding(
        group.highest_version + RECOVERY_VERSION_GAP, layers, group.held_step, newest
    )


def pending_orders(phase: Phase, group: GroupState) -> tuple[PendingOrder, ...]:
    """Return the orders that ranks still need in ``phase``."""
    epoch = group.epoch
    match phase:
        case Preparing(version, layers):
            prepare = Prepare(epoch, version, layers)
            return _orders_for_ranks(
                group, prepare, lambda one: one.prepared == version
            )
        case Holding(_, _, step):
            return (PendingOrder(group.holder_rank, Hold(epoch, step)),)
        case Arming(version, _, step):
            arm = Arm(epoch, version, step)
            found = _orders_for_ranks(
                group, arm, lambda one: is_armed_or_active(one, version)
            )
            return (
                tuple(want for want in found if want.rank != COORDINATOR_RANK) or found
            )
        case Releasing(step=step):
            return _release_orders(group, step)
        case Voiding():
            return _voiding_orders(phase, group)
        case _:
            return ()


def _release_orders(group: GroupState, step: int) -> tuple[PendingOrder, ...]:
    return tuple(
        PendingOrder(rank, Release(group.epoch, state.held))
        for rank, state in group.states_by_rank.items()
        if state.held is not None and state.held <= step
    )


def _voiding_orders(phase: Voiding, group: GroupState) -> tuple[PendingOrder, ...]:
    """Return what makes older armings void, and then releases the pass.

    A rank that is not armed prepares the higher version first. While none has, an agent
    that was frozen may wake and find all ranks armed, so none may be disarmed.
    """
    if all(
        is_version_void(one, phase.voided_version)
        for one in group.states_by_rank.values()
    ):
        return _release_orders(group, phase.step)
    prepare = Prepare(group.epoch, phase.version, phase.layers)
    found: list[PendingOrder] = []
    for rank, state in group.states_by_rank.items():
        if state.armed:
            if group.is_superseded(state.armed):
                found.append(PendingOrder(rank, Disarm(group.epoch, state.armed)))
        elif not is_version_void(state, phase.voided_version):
            found.append(PendingOrder(rank, prepare))
    return tuple(found)


def _orders_for_ranks(
    group: GroupState, order: RankOrder, is_done: Callable[[RankState], bool]
) -> tuple[PendingOrder, ...]:
    return tuple(
        PendingOrder(rank, order)
        for rank, state in group.states_by_rank.items()
        if not is_done(state)
    )
