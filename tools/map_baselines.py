"""Baseline planners that the product's map planner is compared with."""

from __future__ import annotations

from typing import TYPE_CHECKING

from kingcupwheel.expertmaps.maps import ExpertMap
from kingcupwheel.expertmaps.maps import LayerLoad
from kingcupwheel.expertmaps.maps import LayerPlacement
from kingcupwheel.expertmaps.maps import map_skew
from kingcupwheel.expertmaps.planner import PlanWeights
from kingcupwheel.expertmaps.planner import plan_map


if TYPE_CHECKING:
    from kingcupwheel.expertmaps.load_estimate import LoadEstimate

# HysteresisPlanner starts to move experts above the first skew and stops at the second.
_START_SKEW = 1.25
_STOP_SKEW = 1.10


def plan_longest_first(current: ExpertMap, estimate: LoadEstimate) -> ExpertMap:
    """Return the longest-processing-time-first map, regardless of its moves."""
    if estimate.load is None:
        return current
    layers = tuple(
        _place_replicas(_count_replicas(layer, current), layer, current)
        for layer in estimate.load
    )
    result = ExpertMap(current.expert_count, current.slots_per_rank, layers)
    result.validate()
    return result


def _count_replicas(load: LayerLoad, shape: ExpertMap) -> list[int]:
    """Return replica counts; spare slots go to the experts with the most load each."""
    counts = [1] * len(load)
    for _ in range(shape.rank_count * shape.slots_per_rank - len(load)):
        expandable_experts = (
            e for e in range(len(load)) if counts[e] < shape.rank_count
        )
        counts[max(expandable_experts, key=lambda e: load[e] / counts[e])] += 1
    return counts


def _place_replicas(
    counts: list[int], load: LayerLoad, shape: ExpertMap
) -> LayerPlacement:
    experts_by_rank: list[list[int]] = [[] for _ in range(shape.rank_count)]
    load_by_rank = [0.0] * shape.rank_count
    shares = [
        (load[expert] / count, expert)
        for expert, count in enumerate(counts)
        for _ in range(count)
    ]
    # The first replica always fits on a rank; others are omitted if no rank is free.
    for share, expert in sorted(shares, reverse=True):
        free_ranks = [
            rank
            for rank in range(shape.rank_count)
            if len(experts_by_rank[rank]) < shape.slots_per_rank
            and expert not in experts_by_rank[rank]
        ]
        if free_ranks:
            rank = min(free_ranks, key=load_by_rank.__getitem__)
            experts_by_rank[rank].append(expert)
            load_by_rank[rank] += share
    return tuple(tuple(sorted(experts)) for experts in experts_by_rank)


class HysteresisPlanner:
    """Planner that ignores cost and moves from when skew is high until it is low."""

    def __init__(self) -> None:
        self._moving = False

    def __call__(self, current: ExpertMap, estimate: LoadEstimate) -> ExpertMap:
        """Return the map for the next period."""
        skew = map_skew(current, estimate.load) if estimate.load else 1.0
        self._moving = skew > (_STOP_SKEW if self._moving else _START_SKEW)
        if not self._moving:
            return current
        plan = plan_map(current, estimate, PlanWeights(1.0, 0.0))
        return plan.map if plan else current
