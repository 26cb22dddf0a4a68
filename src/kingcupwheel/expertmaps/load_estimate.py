"""Decayed load of a group's experts, from what its ranks counted."""

from __future__ import annotations

import math
from typing import NamedTuple

from kingcupwheel.expertmaps.maps import LayerLoad


# Share of the estimate that a new reading takes. Readings of one period scatter with
# the requests that were about; a quarter halves that scatter and still follows a change
# within a few periods.
NEW_COUNTS_WEIGHT = 0.25

# Load of each layer's experts.
MapLoad = tuple[LayerLoad, ...]


class LoadEstimate(NamedTuple):
    """An estimate of each expert's share of its layer's load; None before a reading.

    ``variance`` is how far counts lie from the estimate: the mean square of an expert's
    relative deviation, weighted by load.
    """

    load: MapLoad | None = None
    variance: float = 0.0

    @property
    def relative_std(self) -> float:
        """Standard deviation of one period's counts, relative to an expert's load."""
        return math.sqrt(self.variance)

    def with_counts(
        self, counts: MapLoad, *, new_weight: float = NEW_COUNTS_WEIGHT
    ) -> LoadEstimate:
        """Return the estimate after one more period's counts, in any unit.

        Layers are scaled to a sum of 1 first, so that a busy period weighs no more than
        a quiet one; a layer without any load keeps its estimate.
        """
        old_load = self.load or tuple((1 / len(c),) * len(c) for c in counts)
        shares = tuple(map(_normalize, counts, old_load))
        if self.load is None:
            return LoadEstimate(shares)
        pairs = list(zip(self.load, shares, strict=True))
        layers = tuple(_blend(old, now, new_weight) for old, now in pairs)
        deviation = sum(_mean_square_deviation(old, now) for old, now in pairs) / len(
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
    # Both loads in the denominator keep an expert that was idle from counting without
    # bound when its first tokens come.
    return sum(
        2 * (after - before) ** 2 / (before + after)
        for before, after in zip(old, new, strict=True)
        if before + after > 0
    )
