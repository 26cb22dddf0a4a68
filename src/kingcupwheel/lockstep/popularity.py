"""Estimates how much of each layer's work goes to each expert.

Load: what experts are asked for drifts, and jumps within a second when callers turn to
other work. Harm prevented: an estimate that remembers too long moves experts for a
demand that is over; one that remembers too little moves them for the few requests that
happen to run.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence


# Choices of experts in a layer below which a sample says too little and is added to the
# next: some forty requests' prompts at eight choices a token.
MIN_SAMPLE_CHOICES = 4_000

# Distance (sum of absolute differences of shares, 0 to 2) from which a sample is taken
# as a jump and what came before is forgotten. Of 340 samples of two recorded days those
# of a steady demand differed by 0.07 to 0.27, those across a jump by 0.35 to 0.88.
JUMP_DISTANCE = 0.33

# The same as a multiple of the distance that chance alone would show, worked out from
# how much the ranks' own counts differ. On a recorded day of 16 ranks samples of a
# steady demand were at 1.4 to 3.7 times that, those across a jump at 5.5 to 8.
JUMP_NOISE_FACTOR = 4.5
# A distance below which nothing is taken as a jump, however little the chance.
MIN_JUMP_DISTANCE = 0.06
# Layers by which chance is worked out: each costs as much as summing a layer's counts,
# and requests differ alike in all of them.
_NOISE_SAMPLE_LAYERS = 3

# Part of the estimate that a sample takes without a jump. Played over the same recorded
# samples, a quarter and the gains asked of a change (see ``balancing``) halve the
# copies against 0.4 (900 for 1,500), with the mean skew within 0.03.
SAMPLE_WEIGHT = 0.25

# The mean distance from zero of a normal variable of deviation 1.
_MEAN_ABS_NORMAL = math.sqrt(2 / math.pi)

LayerShares = tuple[float, ...]


class ExpertPopularity:
    """The share of each expert in its layer's work, by layer.

    ``choices`` are those of a layer in the latest sample; ``jumped`` tells whether it
    replaced what was known before, ``moved`` how far it was from that, and ``noise``
    how far chance alone would have put it.
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
        """Add counts (all layers in one list); return whether the estimate moved.

        Each part is of other requests than the rest: of one rank, or of some together.
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
        """Return the distance that a sample of these parts has by chance alone."""
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
    """Return the mean distance of the layers' shares, 0 to 2."""
    total = sum(
        abs(before - after)
        for first, second in zip(old, new, strict=True)
        for before, after in zip(first, second, strict=True)
    )
    return total / len(old)


def _expected_distance(parts: Sequence[Sequence[float]], shares: LayerShares) -> float:
    """Return the mean distance between a sample of these parts and the truth.

    Parts vary by whole requests, whose choices go together; their number and not the
    choices' says how much a sample is worth.
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
