"""Exponentially weighted estimate of the load of a group's experts."""

from __future__ import annotations

import math
from typing import NamedTuple

from kingcupwheel.expertmaps.maps import LayerLoad


# Weight of the counts of a new period. Counts vary with the requests of the period; a
# quarter halves that variation and still follows a change within a few periods.
NEW_COUNTS_WEIGHT = 0.25

# Load of the experts of each layer.
MapLoad = tuple[LayerLoad, ...]


class LoadEstimate(NamedTuple):
    """Estimate of each expert's share of its layer's load; None before any counts.

    ``variance`` is the mean square of an expert's relative deviation from the
    estimate, weighted by load.
    """

    load: MapLoad | None = None
    variance: float = 0.0

    @property
    def relative_std(self) -> float:
        """Standard deviation of a period's counts, relative to an expert's load."""
        return math.sqrt(self.variance)

    def with_counts(
        self, counts: MapLoad, *, new_weight: float = NEW_COUNTS_WEIGHT
    ) -> LoadEstimate:
        """Return the estimate updated with the counts of one period, in any unit.

        Each layer is first normalized to a sum of 1, so that a busy period weighs no
        more than a quiet one. A layer without load keeps its estimate.
        """
        old_load = self.load or tuple((1 / len(c),) * len(c) for c in counts)
        shares = tuple(map(_normalize, counts, old_load))
        if self.load is None:
            return LoadEstimate(shares)
        pairs = list(zip(self.load, shares, strict=True))
        layers = tuple(_blend(old, new, new_weight) for old, new in pairs)
        deviation = sum(_mean_square_deviation(old, new) for old, new in pairs) / len(
            pairs
        )
        variance = self.variance + new_weight * (deviation - self.variance)
        return LoadEstimate(layers, variance)


def _normalize(counts: LayerLoad, fallback: LayerLoad) -> LayerLoad:
    total = sum(counts)
    if total <= 0:
        return fallback
    return tuple(load / total for load in counts)


def _blend(old: LayerLoad, new: LayerLoad, new_weight: float) -> LayerLoad:
    return tuple(
        before + new_weight * (after - before)
        for before, after in zip(old, new, strict=True)
    )


def _mean_square_deviation(old: LayerLoad, new: LayerLoad) -> float:
    # With both loads in the denominator, the term of a formerly idle expert stays
    # bounded when it receives its first tokens.
    return sum(
        2 * (after - before) ** 2 / (before + after)
        for before, after in zip(old, new, strict=True)
        if before + after > 0
    )
