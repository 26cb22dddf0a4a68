"""Predicts an upper bound of the time to first byte."""

from __future__ import annotations

import math


# Weight of one sample: 50 samples are about 6 s of an entry's requests at the peak.
_SMOOTHING_GAIN = 1 / 50

# Time after the last sample from which the bound decays; a busy entry sees several
# samples per second.
UNCONFIRMED_GRACE_S = 1.0
# Half-life of the bound after that.
UNCONFIRMED_HALF_LIFE_S = 0.5

# Mean deviations above the regression line. 2 covers nearly all samples, but with
# prompts of very different lengths leaves no time to wait in the queue.
_BOUND_DEVIATIONS = 1.0


class FirstByteLatencyBound:
    """Linear regression of the time to first byte over the prompt size.

    A request that leaves the queue just before its deadline runs in vain, since its
    first byte takes longer the longer its prompt is. An entry therefore subtracts
    ``bound_s`` from each deadline before it queues the request. Sizes may be in any
    unit, as long as all calls use the same.

    After a stall of the group or of the entry, the bound may exceed every caller's
    timeout. Each request would then be refused although servers are idle, and without
    placed requests no sample would correct the bound. A bound without new samples
    therefore decays within seconds.
    """

    __slots__ = (
        "_count",
        "_deviation_s",
        "_updated_at",
        "_mean_size",
        "_mean_size_squared",
        "_mean_time_s",
        "_mean_time_size",
    )

    def __init__(self) -> None:
        self._count = 0
        self._mean_size = 0.0
        self._mean_time_s = 0.0
        self._mean_size_squared = 0.0
        self._mean_time_size = 0.0
        self._deviation_s = 0.0
        self._updated_at = 0.0

    def bound_s(self, size: float, now: float) -> float:
        """Return a bound that most prompts of this size meet; 0 without samples."""
        if self._count == 0:
            return 0.0
        bound_s = self._predict_s(size) + _BOUND_DEVIATIONS * self._deviation_s
        unconfirmed_s = max(0.0, now - self._updated_at - UNCONFIRMED_GRACE_S)
        return bound_s * math.exp2(-unconfirmed_s / UNCONFIRMED_HALF_LIFE_S)

    def record(self, latency_s: float, size: float, now: float) -> None:
        """Add a sample of the time to first byte."""
        self._updated_at = now
        error_s = (
            abs(latency_s - self._predict_s(size)) if self._count else latency_s / 2
        )
        self._count += 1
        gain = max(_SMOOTHING_GAIN, 1 / self._count)
        self._deviation_s += (error_s - self._deviation_s) * gain
        self._mean_size += (size - self._mean_size) * gain
        self._mean_time_s += (latency_s - self._mean_time_s) * gain
        self._mean_size_squared += (size * size - self._mean_size_squared) * gain
        self._mean_time_size += (latency_s * size - self._mean_time_size) * gain

    def _predict_s(self, size: float) -> float:
        variance = self._mean_size_squared - self._mean_size * self._mean_size
        slope = 0.0
        if variance > 0.0:
            slope = (
                self._mean_time_size - self._mean_time_s * self._mean_size
            ) / variance
        return max(0.0, self._mean_time_s + slope * (size - self._mean_size))
