"""The trial planner: moves only if a lower confidence bound of the gain beats the cost.

After "Low-Regret and Low-Complexity Learning for Hierarchical Inference", which accepts
a choice only once the lower confidence bound of its worth is good enough: the empirical
mean less sqrt(alpha * log t / n) over n observations.
"""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

from kingcupwheel.expertmaps.maps import ExpertMap
from kingcupwheel.expertmaps.maps import map_skew
from kingcupwheel.expertmaps.planner import PlanWeights
from kingcupwheel.expertmaps.planner import plan_map


if TYPE_CHECKING:
    from kingcupwheel.expertmaps.load_estimate import LoadEstimate
    from kingcupwheel.expertmaps.load_estimate import MapLoad

# The paper's exploration parameter; it has to exceed one half.
_ALPHA = 0.52
# Recent estimates that a proposed map is judged on.
_WINDOW_PERIODS = 8


class ConfidenceBoundPlanner:
    """Proposes by the own planner without hysteresis, accepts by the lower bound."""

    def __init__(self, weights: PlanWeights) -> None:
        self._weights = weights._replace(hysteresis=1.0)
        self._loads: deque[MapLoad] = deque(maxlen=_WINDOW_PERIODS)
        self._periods = 0

    def __call__(self, current: ExpertMap, estimate: LoadEstimate) -> ExpertMap:
        """Return the map for the next period."""
        self._periods += 1
        if estimate.load is not None:
            self._loads.append(estimate.load)
        found = plan_map(current, estimate, self._weights)
        if found is None:
            return current
        gains = [
            map_skew(current, seen) - map_skew(found.map, seen) for seen in self._loads
        ]
        places = sum(len(held) for layer in current.layers for held in layer)
        weights = self._weights
        cost = weights.move_cost * found.move_count / places
        worth = (
            weights.skew_weight
            * weights.payback_periods
            * _lower_bound(gains, self._periods)
        )
        return found.map if worth > cost else current


def _lower_bound(gains: list[float], periods: int) -> float:
    mean = sum(gains) / len(gains)
    spread = max(gains) - min(gains)
    return mean - spread * math.sqrt(_ALPHA * math.log(periods + 1) / len(gains))
