"""State machine of one change of a group's expert map.

Performs no I/O: it maps phases and reports to phases and orders. An order may get no
answer, be lost or be carried out seconds later, so each is sent again until the rank's
report shows it.

A change is a two-phase change (prepare, then arm), and its safety rests on three rules.
A rank holds a pass before any rank is armed for it, so no pass begins on two maps while
only some ranks are armed. The hold is released only when every rank is armed with one
version, or when every rank has prepared a higher version, which invalidates each older
arm order even if it arrives later. Only the agent of rank 0 begins changes, and
each order carries the epoch, so orders of a coordinator of an earlier epoch are void.

If the machine of rank 0 freezes right after it ordered a hold, the whole group would
stop until it wakes, seconds later, and then face the backlog of that time. Two rules
let the other agents end such a hold without that machine. The pass is held at a rank on
another machine, which accepts the release from them as well. Rank 0 is armed last, so
while another rank is not armed rank 0 is not armed either, and it never will be once
that rank has prepared a higher version.
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

# Experts, by layer and by rank.
LayerPlacements = tuple[tuple[tuple[int, ...], ...], ...]

# Distance from the latest pass begun to the pass to hold. With fewer passes the ranks
# are armed too late and the group waits; with more a change takes effect later. Arming
# takes about 15 ms, as long as a pass under load.
HOLD_LEAD_PASSES = 4

# Versions that a restarted coordinator skips when it finds orders of its former
# process: more than that process can have ordered without any rank reporting them.
RECOVERY_VERSION_GAP = 16


@dataclass(frozen=True, slots=True)
class Idle:
    """No change is in progress."""


@dataclass(frozen=True, slots=True)
class Preparing:
    """Ranks are copying the weights that ``version`` needs."""

    version: int
    layers: LayerPlacements


@dataclass(frozen=True, slots=True)
class Holding:
    """All ranks are prepared; the holder rank has to hold the pass ``step``."""

    version: int
    layers: LayerPlacements
    step: int


@dataclass(frozen=True, slots=True)
class Arming:
    """The pass ``step`` is held; ranks are being armed for it."""

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
    """Released; the map becomes active when the pass ``step`` begins."""

    version: int
    layers: LayerPlacements
    step: int


@dataclass(frozen=True, slots=True)
class Voiding:
    """Versions up to ``voided_version`` are being voided, to release ``step``.

    A version is void on a rank that is not armed and has prepared a higher version.
    Ranks without a higher version prepare ``version``.
    """

    version: int
    layers: LayerPlacements
    step: int
    voided_version: int


Phase = Idle | Preparing | Holding | Arming | Releasing | Settling | Voiding


class PendingOrder(NamedTuple):
    """An order that ``rank`` has not carried out yet."""

    rank: int
    order: RankOrder


def advance_phase(phase: Phase, group: GroupState) -> Phase:
    """Return the phase that follows from the reports in ``group``."""
    while True:
        following = _next_phase(phase, group)
        if following == phase:
            return phase
        phase = following


class ChangeOutcome(Enum):
    """Outcome of a change: its map became active, or never will."""

    RELEASED = "released"
    VOIDED = "voided"


def change_outcome(
    before: Phase, after: Phase, group: GroupState
) -> ChangeOutcome | None:
    """Return the outcome of the change in ``before``, None while it is in progress.

    An agent may wake and find its change voided and the pass begun. If it took that for
    a release, it would plan from a map that was never active.
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
            # A late hold of a former process may block this one. Every rank is prepared
            # and the held pass has not begun, so that hold is used instead.
            return Arming(version, layers, group.held_step)
        case Holding(version, layers, step) if group.latest_step >= step:
            # The server refuses a hold of a pass that has begun; request a later one.
            return Holding(version, layers, group.latest_step + HOLD_LEAD_PASSES)
        case Arming(version, layers, step) if group.all_armed(version):
            return Releasing(version, layers, step)
        case Releasing(version, layers, step) if not group.is_held_up_to(step):
            return Settling(version, layers, step)
        case Settling(version, layers, step) if group.is_held_up_to(step):
            # A duplicate hold arrived after the release; every rank is armed.
            return Releasing(version, layers, step)
        case Settling(version) if group.coordinator_state.version == version:
            return Idle()
        case Voiding(step=step) if (
            not group.is_held_up_to(step) and group.latest_step >= step
        ):
            # Waits until the pass has begun: late orders of another agent that ends the
            # same hold would release a new hold of the same pass.
            return Idle()
    return phase


def _phase_after_superseded(
    phase: Preparing | Holding | Arming, group: GroupState
) -> Phase:
    """Return the phase that follows a change that another agent voided.

    That agent acted while this machine was frozen, and may not have released the pass.
    """
    match phase:
        case Preparing():
            return Idle()
        case Holding(version, layers, step) | Arming(version, layers, step):
            return Voiding(
                group.highest_version + RECOVERY_VERSION_GAP, layers, step, version
            )


def recover_phase(group: GroupState, layers: LayerPlacements) -> Phase:
    """Return the phase to continue from after a hold that this process did not order.

    ``layers`` is the active map. If every rank has prepared one version and some ranks
    are armed with it, orders in flight may arm the rest and may have released the pass,
    so the change must be completed. Otherwise the pass can't have been released, and no
    agent can complete that version once a higher one is prepared. While no rank is
    armed the version may itself serve to void others, so it is not completed.
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
    """Return the phase to continue from while rank 0 and its agent are unreachable.

    Rank 0 is armed last. If another rank is not armed, neither is rank 0, and the
    change is voided. Otherwise rank 0 may be armed and the pass may have been released,
    which only the agent of rank 0 can tell, so nothing is done.
    """
    newest = group.newest_pending_version
    if group.held_step is None or group.others_armed(newest):
        return Idle()
    return Voiding(
        group.highest_version + RECOVERY_VERSION_GAP, layers, group.held_step, newest
    )


def pending_orders(phase: Phase, group: GroupState) -> tuple[PendingOrder, ...]:
    """Return the orders that ranks have not carried out yet in ``phase``."""
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
                tuple(pending for pending in found if pending.rank != COORDINATOR_RANK)
                or found
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
    """Return the orders that void older versions and then release the pass.

    An unarmed rank prepares the higher version first. Until one has done so, an agent
    that was frozen may wake and find all ranks armed, so no rank may be disarmed.
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
