"""State of a rank in the map change protocol, with orders as pure functions.

The ranks in the tests run this code; a real engine follows the same rules behind its
own protocol. Versions order all changes: a rank prepares only a version higher than
every version it has seen. Engines that ignore fences follow this rule as well.
"""

from __future__ import annotations

from typing import NamedTuple

from kingcupwheel.expertmaps.maps import NO_VERSION
from kingcupwheel.expertmaps.maps import MapVersion
from kingcupwheel.expertmaps.protocol import AbortOrder
from kingcupwheel.expertmaps.protocol import AbortReply
from kingcupwheel.expertmaps.protocol import CommitOrder
from kingcupwheel.expertmaps.protocol import CommitReply
from kingcupwheel.expertmaps.protocol import MapSchedule
from kingcupwheel.expertmaps.protocol import PrepareOrder
from kingcupwheel.expertmaps.protocol import PrepareReply
from kingcupwheel.expertmaps.protocol import RankOrder
from kingcupwheel.expertmaps.protocol import RankReply
from kingcupwheel.expertmaps.protocol import RankStatus
from kingcupwheel.expertmaps.protocol import RefusalReason
from kingcupwheel.expertmaps.protocol import RefusalReply
from kingcupwheel.expertmaps.protocol import StageOrder
from kingcupwheel.expertmaps.protocol import StageReply
from kingcupwheel.expertmaps.protocol import StateReply
from kingcupwheel.expertmaps.protocol import StateRequest
from kingcupwheel.expertmaps.protocol import SupersedeOrder
from kingcupwheel.expertmaps.protocol import SupersedeReply
from kingcupwheel.expertmaps.protocol import VersionedMap


class StepHold(NamedTuple):
    """Hold of a rank before ``step``, by a version neither committed nor aborted."""

    version: MapVersion
    step: int


class RankState(NamedTuple):
    """State of a rank; all but ``step`` is lost in a restart.

    ``step`` is the next to run, ``highest_version`` the highest version ever prepared
    or aborted, ``incarnation`` a unique name of the rank's process.
    """

    step: int = 0
    schedule: MapSchedule | None = None
    staged: VersionedMap | None = None
    hold: StepHold | None = None
    highest_version: MapVersion = NO_VERSION
    incarnation: str = ""

    @property
    def may_run(self) -> bool:
        """Whether the rank may run its next step."""
        if self.schedule is None:
            # A restarted rank would otherwise run on its default map.
            return False
        return self.hold is None or self.step < self.hold.step

    @property
    def map_in_force(self) -> VersionedMap | None:
        """Map of the next step, None if the rank has restarted."""
        return self.schedule.map_at(self.step) if self.schedule else None

    @property
    def status(self) -> RankStatus:
        """State as reported to a coordinator."""
        return RankStatus(
            self.step,
            self.schedule.version if self.schedule else None,
            self.schedule.from_step if self.schedule else 0,
            self.hold.version if self.hold else None,
        )


OrderResult = tuple[RankState, RankReply]


def apply_order(state: RankState, order: RankOrder) -> OrderResult:
    """Apply ``order``; return the new state and the reply. Orders are idempotent."""
    match order:
        case StageOrder():
            return _stage(state, order)
        case PrepareOrder():
            return _prepare(state, order)
        case SupersedeOrder():
            return _supersede(state, order)
        case CommitOrder():
            return _commit(state, order)
        case AbortOrder():
            return _abort(state, order)
        case StateRequest(number, include_schedule):
            schedule = state.schedule if include_schedule else None
            return state, StateReply(number, state.status, schedule)


def _refuse(
    state: RankState, version: MapVersion, reason: RefusalReason
) -> OrderResult:
    return state, RefusalReply(version, reason)


def _stage(state: RankState, order: StageOrder) -> OrderResult:
    if state.schedule is None:
        return _refuse(state, order.version, RefusalReason.RESTARTED)
    if state.staged is not None and order.version < state.staged.origin_version:
        return _refuse(state, order.version, RefusalReason.STALE_VERSION)
    if state.schedule.new_map.origin_version != order.base_version:
        return _refuse(state, order.version, RefusalReason.BASE_MISMATCH)
    staged = VersionedMap(
        order.version, state.schedule.new_map.map.with_placements(order.placements)
    )
    return state._replace(staged=staged), StageReply(order.version, state.step)


def _prepare(state: RankState, order: PrepareOrder) -> OrderResult:
    version = order.version
    if state.hold is not None and state.hold.version == version:
        return state, PrepareReply(version)
    if state.schedule is None:
        return _refuse(state, version, RefusalReason.RESTARTED)
    if version <= state.highest_version:
        return _refuse(state, version, RefusalReason.STALE_VERSION)
    if state.staged is None or state.staged.origin_version != version:
        return _refuse(state, version, RefusalReason.NOT_STAGED)
    if order.step < state.step:
        return _refuse(state, version, RefusalReason.STEP_PASSED)
    if state.step < state.schedule.from_step:
        # A schedule has two maps; a third has to wait until the first is unused.
        return _refuse(state, version, RefusalReason.EARLIER_CHANGE_PENDING)
    new_state = state._replace(
        hold=StepHold(version, order.step), highest_version=version
    )
    return new_state, PrepareReply(version)


def _supersede(state: RankState, order: SupersedeOrder) -> OrderResult:
    version = order.version
    answer = SupersedeReply(version, state.schedule, state.incarnation)
    if state.hold is not None and state.hold.version == version:
        return state, answer
    if version <= state.highest_version:
        return _refuse(state, version, RefusalReason.STALE_VERSION)
    return state._replace(hold=StepHold(version, 0), highest_version=version), answer


def _commit(state: RankState, order: CommitOrder) -> OrderResult:
    version = order.version
    if state.schedule is not None and state.schedule.version == version:
        return state, CommitReply(version)
    if state.hold is None or state.hold.version != version:
        return _refuse(state, version, RefusalReason.NOT_PREPARED)
    if order.schedule is not None and order.incarnation != state.incarnation:
        return _refuse(state, version, RefusalReason.NOT_PREPARED)
    schedule = order.schedule or _build_schedule(state, version)
    if schedule is None:
        return _refuse(state, version, RefusalReason.NOT_STAGED)
    return state._replace(schedule=schedule, hold=None), CommitReply(version)


def _build_schedule(state: RankState, version: MapVersion) -> MapSchedule | None:
    if state.schedule is None or state.hold is None:
        return None
    if state.staged is None or state.staged.origin_version != version:
        return None
    return MapSchedule(version, state.schedule.new_map, state.staged, state.hold.step)


def _abort(state: RankState, order: AbortOrder) -> OrderResult:
    version = order.version
    if state.schedule is not None and state.schedule.version == version:
        return _refuse(state, version, RefusalReason.ALREADY_COMMITTED)
    # The aborted version is stored so that its prepare, if it arrives after the abort,
    # cannot hold this rank, and with it the group, forever.
    highest = max(state.highest_version, version)
    is_held = state.hold is not None and state.hold.version == version
    hold = None if is_held else state.hold
    return state._replace(hold=hold, highest_version=highest), AbortReply(version)
