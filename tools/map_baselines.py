"""Planners that the product's own is measured against."""

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

# Plain hysteresis starts to move above the first skew and goes on to the second.
_START_SKEW = 1.25
_STOP_SKEW = 1.10


def plan_longest_first(current: ExpertMap, estimate: LoadEstimate) -> ExpertMap:
    """Return the longest-processing-time-first map, whatever it takes to get there."""
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
    """Return replica counts: spare places go to the highest load a replica."""
    counts = [1] * len(load)
    for _ in range(shape.rank_count * shape.slots_per_rank - len(load)):
        open_experts = (e for e in range(len(load)) if counts[e] < shape.rank_count)
        counts[max(open_experts, key=lambda e: load[e] / counts[e])] += 1
    return counts


def _place_replicas(
    counts: list[int], load: LayerLoad, shape: ExpertMap
) -> LayerPlacement:
    held: list[list[int]] = [[] for _ in range(shape.rank_count)]
    loads = [0.0] * shape.rank_count
    shares = [
        (load[expert] / count, expert)
        for expert, count in enumerate(counts)
        for _ in range(count)
    ]
    # A first copy always finds a rank; a further one is left out where none is free.
    for share, expert in sorted(shares, reverse=True):
        free = [
            rank
            for rank in range(shape.rank_count)
            if len(held[rank]) < shape.slots_per_rank and expert not in held[rank]
        ]
        if free:
            rank = min(free, key=loads.__getitem__)
            held[rank].append(expert)
            loads[rank] += share
    return tuple(tuple(sorted(experts)) for experts in held)


class HysteresisPlanner:
    """Moves without regard to cost once skew is high, until it is low."""

    def __init__(self) -> None:
        self._moving = False

    def __call__(self, current: ExpertMap, estimate: LoadEstimate) -> ExpertMap:
        """Return the map for the next period."""
        skew = map_skew(current, estimate.load) if estimate.load else 1.0
        self._moving = skew > (_STOP_SKEW if self._moving else _START_SKEW)
        if not self._moving:
            return current
        found = plan_map(current, estimate, PlanWeights(1.0, 0.0))
        return found.map if found else current
