"""Planner that moves only if the lower confidence bound of the gain exceeds the cost.

Follows "Low-Regret and Low-Complexity Learning for Hierarchical Inference", which
accepts a choice only if the lower confidence bound of its value is high enough: the
empirical mean minus sqrt(alpha * log t / n) over n observations.
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

# The paper's exploration parameter; it must be greater than 0.5.
_ALPHA = 0.52
# Recent periods whose loads a proposed map is evaluated on.
_WINDOW_PERIODS = 8


class ConfidenceBoundPlanner:
    """Accepts a map of the product's planner if the lower bound of its gain is enough.

    The product's planner runs without hysteresis.
    """

    def __init__(self, weights: PlanWeights) -> None:
        self._weights = weights._replace(hysteresis=1.0)
        self._loads: deque[MapLoad] = deque(maxlen=_WINDOW_PERIODS)
        self._periods = 0

    def __call__(self, current: ExpertMap, estimate: LoadEstimate) -> ExpertMap:
        """Return the map for the next period."""
        self._periods += 1
        if estimate.load is not None:
            self._loads.append(estimate.load)
        plan = plan_map(current, estimate, self._weights)
        if plan is None:
            return current
        gains = [
            map_skew(current, load) - map_skew(plan.map, load) for load in self._loads
        ]
        replica_count = sum(
            len(experts) for layer in current.layers for experts in layer
        )
        weights = self._weights
        cost = weights.move_cost * plan.move_count / replica_count
        gain = (
            weights.skew_weight
            * weights.payback_periods
            * _lower_bound(gains, self._periods)
        )
        return plan.map if gain > cost else current


def _lower_bound(gains: list[float], periods: int) -> float:
    mean = sum(gains) / len(gains)
    spread = max(gains) - min(gains)
    return mean - spread * math.sqrt(_ALPHA * math.log(periods + 1) / len(gains))
