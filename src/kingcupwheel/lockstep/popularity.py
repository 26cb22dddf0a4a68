"""Estimates the share of each expert in the work of its layer.

The demand for experts drifts, and jumps within a second when callers change their kind
of work. An estimate with too long a memory moves experts for a demand that is over; one
with too short a memory moves them for the few requests that happen to run.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence


# A sample with fewer choices in a layer is too small and is merged into the next. This
# is about forty requests' prompts at eight choices per token.
MIN_SAMPLE_CHOICES = 4_000

# Distance (sum of absolute differences of shares, 0 to 2) above which a sample is a
# jump and replaces the estimate. Samples of a steady demand differ by 0.07 to 0.27,
# samples across a jump by 0.35 to 0.88 (340 samples of two days).
JUMP_DISTANCE = 0.33

# Like JUMP_DISTANCE, as a multiple of the noise, which is estimated from the
# differences between the ranks' counts. With 16 ranks, samples of a steady demand are
# at 1.4 to 3.7 times the noise, samples across a jump at 5.5 to 8 times.
JUMP_NOISE_FACTOR = 4.5
# A smaller distance is never a jump, however low the noise.
MIN_JUMP_DISTANCE = 0.06
# Layers from which the noise is estimated. Each costs as much as summing the counts of
# a layer, and requests differ in the same way in all layers.
_NOISE_SAMPLE_LAYERS = 3

# Weight of a new sample in the estimate without a jump. Together with the minimum gains
# in ``balancer`` a quarter nearly halves the copies in comparison with 0.4 (900 instead
# of 1,500), with a mean skew within 0.03.
SAMPLE_WEIGHT = 0.25

# Mean absolute value of a normal variable with a standard deviation of 1.
_MEAN_ABS_NORMAL = math.sqrt(2 / math.pi)

LayerShares = tuple[float, ...]


class ExpertPopularity:
    """Estimate of the share of each expert in the work of its layer, by layer.

    ``choice_count`` is the number of choices in a layer of the latest sample.
    ``has_jumped`` tells whether that sample replaced the estimate, ``sample_distance``
    its distance from the estimate, and ``noise_distance`` the distance expected from
    noise alone.
    """

    def __init__(self, layers: int, experts: int) -> None:
        self._layers = layers
        self._experts = experts
        self._pending_counts: list[Sequence[float]] = []
        self.shares: tuple[LayerShares, ...] | None = None
        self.has_jumped = False
        self.choice_count = 0.0
        self.sample_distance = 0.0
        self.noise_distance = 0.0

    def add_sample(self, counts_by_source: Iterable[Sequence[float]]) -> bool:
        """Add counts (all layers in one list); return whether the estimate changed.

        Each source counts requests of its own: those of one rank or of several.
        """
        self._pending_counts.extend(counts_by_source)
        counts = [sum(column) for column in zip(*self._pending_counts, strict=True)]
        self.choice_count = sum(counts[: self._experts])
        if self.choice_count < MIN_SAMPLE_CHOICES:
            self._pending_counts = [counts] if counts else []
            return False
        sample = tuple(
            _to_shares(counts[start : start + self._experts])
            for start in range(0, len(counts), self._experts)
        )
        self.noise_distance = self._estimate_noise(sample)
        self._pending_counts = []
        self._update_shares(sample)
        return True

    def _estimate_noise(self, sample: tuple[LayerShares, ...]) -> float:
        """Return the distance of the pending sample expected from noise alone."""
        parts = [one for one in self._pending_counts if any(one)]
        if len(parts) < 2:
            return 0.0
        step = max(1, self._layers // _NOISE_SAMPLE_LAYERS)
        layers = range(0, self._layers, step)[:_NOISE_SAMPLE_LAYERS]
        total = 0.0
        for layer in layers:
            start = layer * self._experts
            columns = [one[start : start + self._experts] for one in parts]
            total += _expected_distance(columns, sample[layer])
        return total / len(layers)

    def _update_shares(self, sample: tuple[LayerShares, ...]) -> None:
        if self.shares is None:
            self.shares = sample
            self.has_jumped = True
            return
        self.sample_distance = mean_distance(self.shares, sample)
        self.has_jumped = self._is_jump()
        weight = 1.0 if self.has_jumped else SAMPLE_WEIGHT
        self.shares = tuple(
            _blend(old, new, weight)
            for old, new in zip(self.shares, sample, strict=True)
        )

    def _is_jump(self) -> bool:
        if self.sample_distance > JUMP_DISTANCE:
            return True
        noise_threshold = JUMP_NOISE_FACTOR * self.noise_distance
        return (
            0.0 < noise_threshold < self.sample_distance
            and self.sample_distance > MIN_JUMP_DISTANCE
        )


def mean_distance(old: Sequence[LayerShares], new: Sequence[LayerShares]) -> float:
    """Return the distance between two samples, 0 to 2, as a mean over layers."""
    total = sum(
        abs(before - after)
        for first, second in zip(old, new, strict=True)
        for before, after in zip(first, second, strict=True)
    )
    return total / len(old)


def _expected_distance(parts: Sequence[Sequence[float]], shares: LayerShares) -> float:
    """Return the expected distance between a sample of these parts and the truth.

    The choices of one request are correlated, so the number of requests, not that of
    choices, determines the accuracy of a sample.
    """
    sizes = [sum(part) for part in parts]
    whole = sum(sizes) or 1.0
    correction = len(parts) / (len(parts) - 1)
    found = 0.0
    for share, column in zip(shares, zip(*parts, strict=True), strict=True):
        square = sum(
            (count - size * share) ** 2
            for count, size in zip(column, sizes, strict=True)
        )
        found += math.sqrt(square * correction)
    return _MEAN_ABS_NORMAL * found / whole


def _to_shares(counts: Sequence[float]) -> LayerShares:
    total = sum(counts) or 1.0
    return tuple(count / total for count in counts)


def _blend(old: LayerShares, new: LayerShares, weight: float) -> LayerShares:
    return tuple(
        before + weight * (after - before)
        for before, after in zip(old, new, strict=True)
    )
