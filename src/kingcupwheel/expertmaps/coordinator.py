"""Coordinator of a group's expert map, a state machine without I/O or clocks.

All ranks must use the same map in every step, whichever process fails. A change is
staged, prepared on all ranks for a later step, and only then committed; otherwise it is
aborted. After a takeover or the restart of a rank, the state read from a rank may be
outdated at once, because an earlier order may still be in transit. So the coordinator
first supersedes open versions on all ranks and decides once all have answered. It waits
for ranks that do not answer, because a guess could activate two maps.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.expertmaps.coordinator_decisions import StepRate
from kingcupwheel.expertmaps.coordinator_decisions import build_recovery_schedule
from kingcupwheel.expertmaps.coordinator_decisions import is_settled
from kingcupwheel.expertmaps.coordinator_decisions import staging_start_times
from kingcupwheel.expertmaps.coordinator_decisions import with_answer
from kingcupwheel.expertmaps.maps import NO_VERSION
from kingcupwheel.expertmaps.phases import Aborting
from kingcupwheel.expertmaps.phases import Committing
from kingcupwheel.expertmaps.phases import Event
from kingcupwheel.expertmaps.phases import Holding
from kingcupwheel.expertmaps.phases import LeaseLost
from kingcupwheel.expertmaps.phases import LeaseTaken
from kingcupwheel.expertmaps.phases import MapProposed
from kingcupwheel.expertmaps.phases import OutgoingOrder
from kingcupwheel.expertmaps.phases import Phase
from kingcupwheel.expertmaps.phases import Preparing
from kingcupwheel.expertmaps.phases import Ready
from kingcupwheel.expertmaps.phases import ReplyReceived
from kingcupwheel.expertmaps.phases import Staging
from kingcupwheel.expertmaps.phases import Standby
from kingcupwheel.expertmaps.phases import Surveying
from kingcupwheel.expertmaps.phases import Tick
from kingcupwheel.expertmaps.phases import pending_order
from kingcupwheel.expertmaps.phases import phase_key
from kingcupwheel.expertmaps.protocol import AbortReply
from kingcupwheel.expertmaps.protocol import CommitReply
from kingcupwheel.expertmaps.protocol import MapSchedule
from kingcupwheel.expertmaps.protocol import PrepareReply
from kingcupwheel.expertmaps.protocol import RefusalReason
from kingcupwheel.expertmaps.protocol import RefusalReply
from kingcupwheel.expertmaps.protocol import StageOrder
from kingcupwheel.expertmaps.protocol import StageReply
from kingcupwheel.expertmaps.protocol import StateReply
from kingcupwheel.expertmaps.protocol import SupersedeReply
from kingcupwheel.expertmaps.protocol import VersionedMap


if TYPE_CHECKING:
    from kingcupwheel.expertmaps.maps import ExpertMap
    from kingcupwheel.expertmaps.protocol import RankReply


class CoordinatorTimings(NamedTuple):
    """Timings of a coordinator.

    Unanswered orders are retried every ``retry_interval_s``, and the state of the ranks
    is polled every ``poll_interval_s``. A change takes effect at a step that is about
    ``switch_lead_s`` ahead. It is aborted if it is not prepared within
    ``prepare_timeout_s``, or not staged within ``stage_timeout_s`` of the last start
    time of a rank. ``store_bytes_per_s`` is the rate of the weight store reserved for
    rebalancing.
    """

    retry_interval_s: float = 0.5
    poll_interval_s: float = 2.0
    switch_lead_s: float = 1.0
    prepare_timeout_s: float = 2.0
    stage_timeout_s: float = 30.0
    store_bytes_per_s: float = 50_000_000.0


DEFAULT_COORDINATOR_TIMINGS = CoordinatorTimings()


class Coordinator:
    """State machine that turns events into orders for the ranks.

    ``initial_map`` is committed in a group none of whose ranks has a map. Attributes
    hold immutable values only, so that a shallow copy of a coordinator is a snapshot.
    """

    def __init__(
        self,
        *,
        rank_count: int,
        initial_map: ExpertMap,
        expert_bytes: int = 0,
        timings: CoordinatorTimings = DEFAULT_COORDINATOR_TIMINGS,
    ) -> None:
        self._rank_count = rank_count
        self._initial_map = initial_map
        self._expert_bytes = expert_bytes
        self._timings = timings
        self._version = NO_VERSION
        self._phase: Phase = Standby()
        self._round = 0
        self._schedule: MapSchedule | None = None
        self._phase_started_at = 0.0
        self._last_sent_at = 0.0
        self._step_rate = StepRate()

    @property
    def phase(self) -> Phase:
        """Current phase."""
        return self._phase

    @property
    def fence(self) -> int:
        """Fence that its orders carry."""
        return self._version.fence

    @property
    def schedule(self) -> MapSchedule | None:
        """Schedule that all ranks have committed, None if unknown."""
        return self._schedule

    def handle_event(self, event: Event) -> list[OutgoingOrder]:
        """Handle ``event`` and return the orders to send."""
        match event:
            case LeaseTaken(fence, now):
                # Counters restart at 0, because the fence has never been used before.
                self._version = NO_VERSION._replace(fence=fence)
                self._schedule = None
                return self._enter_phase(self._new_surveying_phase(), now)
            case LeaseLost():
                self._phase = Standby()
                return []
            case MapProposed(expert_map, now):
                return self._handle_proposal(expert_map, now)
            case Tick(now):
                return self._handle_tick(now)
            case ReplyReceived(rank, reply, now):
                next_phase = self._handle_reply(rank, reply, now)
                if next_phase is None:
                    return []
                return self._enter_phase(next_phase, now)

    def _enter_phase(self, phase: Phase, now: float) -> list[OutgoingOrder]:
        """Enter ``phase``; if it is a new one, return its orders at once."""
        is_same_phase = phase_key(phase) == phase_key(self._phase)
        self._phase = phase
        if is_same_phase:
            return []
        self._phase_started_at = now
        return self._collect_orders(now)

    def _collect_orders(self, now: float) -> list[OutgoingOrder]:
        self._last_sent_at = now
        orders = (
            pending_order(self._phase, rank, now) for rank in range(self._rank_count)
        )
        return [
            OutgoingOrder(rank, order) for rank, order in enumerate(orders) if order
        ]

    def _handle_tick(self, now: float) -> list[OutgoingOrder]:
        match self._phase:
            case Staging(version, start_times=start_times) if (
                now - start_times[-1] > self._timings.stage_timeout_s
            ):
                return self._enter_phase(Aborting(version, frozenset()), now)
            case Preparing(version) if (
                now - self._phase_started_at > self._timings.prepare_timeout_s
            ):
                return self._enter_phase(Aborting(version, frozenset()), now)
            case Ready() if (
                now - self._phase_started_at >= self._timings.poll_interval_s
            ):
                self._phase = self._new_ready_phase()
                self._phase_started_at = now
                return self._collect_orders(now)
        if now - self._last_sent_at >= self._timings.retry_interval_s:
            return self._collect_orders(now)
        return []

    def _handle_proposal(
        self, expert_map: ExpertMap, now: float
    ) -> list[OutgoingOrder]:
        if not isinstance(self._phase, Ready) or self._schedule is None:
            return []
        self._version = self._version.next()
        base = self._schedule.new_map
        start_times = staging_start_times(
            base.map,
            expert_map,
            now=now,
            seconds_per_expert=self._expert_bytes / self._timings.store_bytes_per_s,
        )
        placements = base.map.diff_placements(expert_map)
        order = StageOrder(self._version, base.origin_version, placements)
        staging = Staging(
            self._version,
            expert_map,
            order,
            start_times,
            frozenset(),
            self._step_rate.last_step,
        )
        return self._enter_phase(staging, now)

    def _new_surveying_phase(self) -> Surveying:
        self._round += 1
        return Surveying(self._round, (None,) * self._rank_count)

    def _new_ready_phase(self) -> Ready:
        self._round += 1
        return Ready(self._round, (None,) * self._rank_count)

    def _new_holding_phase(self) -> Holding:
        self._version = self._version.next()
        return Holding(self._version, (None,) * self._rank_count)

    def _handle_reply(self, rank: int, reply: RankReply, now: float) -> Phase | None:
        """Return the next phase, or None if the reply changes nothing."""
        if isinstance(reply, RefusalReply):
            return self._handle_refusal(reply)
        match self._phase, reply:
            case Surveying(number) as phase, StateReply(answered) if answered == number:
                return self._handle_survey_reply(phase, rank, reply)
            case Ready(number) as phase, StateReply(answered) if answered == number:
                return self._handle_poll_reply(phase, rank, reply, now)
            case Holding(version) as phase, SupersedeReply(answered) if (
                answered == version
            ):
                return self._handle_supersede_reply(phase, rank, reply)
            case Staging(version) as phase, StageReply(answered, step) if (
                answered == version
            ):
                return self._handle_stage_reply(phase, rank, step)
            case Preparing(version) as phase, PrepareReply(answered) if (
                answered == version
            ):
                return self._handle_prepare_reply(phase, rank)
            case Committing(version) as phase, CommitReply(answered) if (
                answered == version
            ):
                return self._handle_commit_reply(phase, rank)
            case Aborting(version) as phase, AbortReply(answered) if (
                answered == version
            ):
                return self._handle_abort_reply(phase, rank)
        return None

    def _handle_refusal(self, reply: RefusalReply) -> Phase | None:
        if reply.reason is RefusalReason.STALE_FENCE:
            return Standby()
        match self._phase:
            case Holding(version) if version == reply.version:
                # The rank has seen a higher version, so a newer coordinator is active.
                return Standby()
            case Staging(version) | Preparing(version) if version == reply.version:
                return Aborting(version, frozenset())
            case Committing(version) if version == reply.version:
                return self._handle_commit_refusal(reply.reason)
        return None

    def _handle_commit_refusal(self, reason: RefusalReason) -> Phase | None:
        match reason:
            case RefusalReason.NOT_PREPARED | RefusalReason.NOT_STAGED:
                # The rank has restarted since it prepared and has lost its map.
                return self._new_holding_phase()
            case _:
                return None

    def _handle_survey_reply(
        self, phase: Surveying, rank: int, reply: StateReply
    ) -> Phase:
        answers = with_answer(phase.answers, rank, reply)
        known = [answer for answer in answers if answer is not None]
        if not all(
            is_settled(answer, known[0].status.committed_version) for answer in known
        ):
            return self._new_holding_phase()
        if len(known) < self._rank_count:
            return replace(phase, answers=answers)
        self._schedule = known[0].schedule
        return self._new_ready_phase()

    def _handle_poll_reply(
        self, phase: Ready, rank: int, reply: StateReply, now: float
    ) -> Phase | None:
        if self._schedule is None or not is_settled(reply, self._schedule.version):
            return self._new_holding_phase()
        self._step_rate = self._step_rate.with_observation(reply.status.step, now)
        return replace(phase, answers=with_answer(phase.answers, rank, reply))

    def _handle_supersede_reply(
        self, phase: Holding, rank: int, reply: SupersedeReply
    ) -> Phase:
        answers = with_answer(phase.answers, rank, reply)
        if None in answers:
            return replace(phase, answers=answers)
        replies = [answer for answer in answers if answer is not None]
        schedules = [answer.schedule for answer in replies]
        schedule = build_recovery_schedule(phase.version, schedules, self._initial_map)
        incarnations = tuple(answer.incarnation for answer in replies)
        return Committing(phase.version, schedule, incarnations, frozenset())

    def _handle_stage_reply(self, phase: Staging, rank: int, step: int) -> Phase:
        acked = phase.acked | {rank}
        highest = max(phase.step, step)
        if len(acked) < self._rank_count:
            return replace(phase, acked=acked, step=highest)
        step = highest + self._step_rate.steps_in(self._timings.switch_lead_s)
        return Preparing(phase.version, phase.map, step, frozenset())

    def _handle_prepare_reply(self, phase: Preparing, rank: int) -> Phase:
        acked = phase.acked | {rank}
        if len(acked) < self._rank_count or self._schedule is None:
            return replace(phase, acked=acked)
        new_map = VersionedMap(phase.version, phase.map)
        schedule = MapSchedule(
            phase.version, self._schedule.new_map, new_map, phase.step
        )
        return Committing(phase.version, schedule, None, frozenset())

    def _handle_commit_reply(self, phase: Committing, rank: int) -> Phase:
        acked = phase.acked | {rank}
        if len(acked) < self._rank_count:
            return replace(phase, acked=acked)
        self._schedule = phase.schedule
        return self._new_ready_phase()

    def _handle_abort_reply(self, phase: Aborting, rank: int) -> Phase:
        acked = phase.acked | {rank}
        if len(acked) < self._rank_count:
            return replace(phase, acked=acked)
        return self._new_ready_phase()
