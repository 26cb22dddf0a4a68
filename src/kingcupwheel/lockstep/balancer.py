"""Decides when to change a group's expert map, and to which map.

The demand for experts drifts and jumps. A map that follows too late makes every pass
as long as that of its slowest rank; a map that follows every fluctuation copies weights
needlessly, which slows passes and costs traffic. Performs no I/O; times are arguments.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from kingcupwheel.lockstep.placement_planner import SKEW_TOLERANCE
from kingcupwheel.lockstep.placement_planner import PlacementPlan
from kingcupwheel.lockstep.placement_planner import plan_limits
from kingcupwheel.lockstep.placement_planner import plan_placement
from kingcupwheel.lockstep.popularity import ExpertPopularity
from kingcupwheel.telemetry.json_logs import lines_of


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from kingcupwheel.forwarding.configuration import EngineShape
    from kingcupwheel.lockstep.change_protocol import LayerPlacements
    from kingcupwheel.lockstep.group_state import GroupState
    from kingcupwheel.messages.lockstep import RankStateReply

log = lines_of("maps")

# Minimum reduction of the skew by a plan: a fixed part, and a part for each second of
# copying in total. A copy slows its group's passes by 15 percent while it lasts and
# costs traffic by its size; an excess skew of one doubles the pass time.
MIN_SKEW_GAIN = 0.05
MIN_SKEW_GAIN_PER_COPY_S = 0.018

# A pass shorter than this ratio of the allowed gap between a stream's events keeps
# every stream on time, with room for a longer prompt beside it. Shorter passes improve
# nothing, so a plan then needs this larger reduction of the skew: otherwise, under
# steady load, half of all copies only reduce it from 1.2 to 1.1 while passes take 40 of
# 120 ms.
SHORT_PASS_GAP_RATIO = 0.5
SHORT_PASS_MIN_SKEW_GAIN = 0.3
# Layers whose slowest rank is within this ratio over the mean are not changed if passes
# are short after the plan. The last third of a plan's copies reduce the skew by a
# tenth.
SHORT_PASS_SKEW_TOLERANCE = 0.2

# A change of a rank's pace by this factor triggers a plan without new counts.
PACE_CHANGE_FACTOR = 1.25


class Balancer:
    """Plans map changes for one epoch of a group; not thread-safe."""

    def __init__(self, shape: EngineShape) -> None:
        self._shape = shape
        self._popularity = ExpertPopularity(shape.layer_count, shape.expert_count)
        self._limits = plan_limits(
            shape.placements_per_rank, shape.max_new_experts, shape.expert_copy_s
        )
        self._paces: list[float] = []
        self._last_reading: tuple[int, float] | None = None
        self._pass_s = 0.0

    def plan_change(
        self,
        group: GroupState,
        layers: LayerPlacements,
        replies: Iterable[RankStateReply],
        now: float,
    ) -> PlacementPlan | None:
        """Return the plan that replaces the map ``layers``, or None to keep it.

        ``replies`` hold the counts since the previous call; ``now`` is in seconds.
        """
        self._measure_pass_time(group.coordinator_state.step, now)
        is_updated = self._popularity.add_sample(unpack_counts(replies))
        paces = [group.states_by_rank[rank].pace for rank in range(group.rank_count)]
        if not is_updated and not self._has_pace_changed(paces):
            return None
        if _has_pending_arming(group):
            return None
        shares = self._popularity.shares
        if shares is None:
            return None
        self._paces = paces
        plan = plan_placement(
            layers, shares, self._limits, paces, skew_tolerance=self._skew_tolerance
        )
        if plan is None or not self._has_sufficient_gain(plan):
            return None
        log.info(
            "change-planned",
            version=group.highest_version + 1,
            copies=plan.copies,
            skew=round(plan.skew_before, 2),
            skew_after=round(plan.skew_after, 2),
            jumped=self._popularity.has_jumped,
            moved=round(self._popularity.sample_distance, 3),
            noise=round(self._popularity.noise_distance, 3),
            choices=round(self._popularity.choice_count),
            slowest_pace=round(max(paces), 2),
            pass_ms=round(self._pass_s * 1000, 1),
        )
        return plan

    def _has_sufficient_gain(self, plan: PlacementPlan) -> bool:
        gain = plan.skew_before - plan.skew_after
        if self._is_short_pass(self._pass_s):
            return gain >= SHORT_PASS_MIN_SKEW_GAIN
        copying_s = plan.copies * self._shape.expert_copy_s
        return gain >= MIN_SKEW_GAIN + MIN_SKEW_GAIN_PER_COPY_S * copying_s

    def _skew_tolerance(self, skew: float) -> float:
        """Return the allowed ratio of a layer's slowest rank over the mean.

        ``skew`` is the skew before the plan.
        """
        expected_pass_s = (
            self._pass_s * (1 + SHORT_PASS_SKEW_TOLERANCE) / max(1.0, skew)
        )
        return (
            SHORT_PASS_SKEW_TOLERANCE
            if self._is_short_pass(expected_pass_s)
            else SKEW_TOLERANCE
        )

    def _is_short_pass(self, pass_s: float) -> bool:
        return 0.0 < pass_s < SHORT_PASS_GAP_RATIO * self._shape.max_event_gap_s

    def _measure_pass_time(self, step: int, now: float) -> None:
        before, self._last_reading = self._last_reading, (step, now)
        if before is not None and step > before[0]:
            self._pass_s = (now - before[1]) / (step - before[0])

    def _has_pace_changed(self, paces: Sequence[float]) -> bool:
        """Return whether a rank slowed down or recovered since the last plan.

        When a rank slows down tenfold, few passes end and the counts are too small for
        a new estimate, so without this check that rank keeps its experts for seconds.
        """
        return any(
            not 1 / PACE_CHANGE_FACTOR < now / before < PACE_CHANGE_FACTOR
            for now, before in zip(paces, self._paces, strict=False)
        )


def _has_pending_arming(group: GroupState) -> bool:
    """Return whether a rank is armed with a version that is not active yet.

    The version is compared with that of rank 0, since a version becomes active on all
    ranks in the same pass. An agent that ends after its rank was armed leaves a last
    report that says so, which would block every later plan.
    """
    in_force = group.coordinator_state.version
    return any(state.armed > in_force for state in group.states_by_rank.values())


def unpack_counts(replies: Iterable[RankStateReply]) -> list[list[int]]:
    """Return the unscaled counts of each reply, layer by layer in one list."""
    return [
        [count * reply.scale for count in reply.counts]
        for reply in replies
        if reply.counts
    ]
