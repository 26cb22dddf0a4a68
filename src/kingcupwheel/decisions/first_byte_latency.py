"""Bounds the time to the first byte from those seen before."""

from __future__ import annotations

import math


# A sample counts as a fiftieth: about six seconds of an entry's requests at the peak.
_SMOOTHING_GAIN = 1 / 50

# A bound that no sample has confirmed for so long is believed less and less, in
# seconds: an entry at work sees several a second.
UNCONFIRMED_GRACE_S = 1.0
# Within this time more it is halved, and halved again.
UNCONFIRMED_HALF_LIFE_S = 0.5

# A bound of one deviation above the line. Two kept nearly all samples, but with prompts
# of very different lengths left no time to wait in the queue.
_BOUND_DEVIATIONS = 1.0


class FirstByteLatencyBound:
    """A line through the times to the first byte by the size of the prompt.

    Load: prompts of very different lengths at a busy group. Harm prevented: a request
    that leaves the queue just before its deadline is run in vain, since its first byte
    still takes as long as its prompt. An entry takes ``bound_s`` off each deadline
    before it queues the request. Sizes are in any unit, the same for all calls.

    Failure: a group stalls, or the entry itself is frozen, for longer than callers
    wait. Symptom: the bound is over every caller's patience, so each request is refused
    at once though servers idle, and since none is placed no sample ever corrects it. A
    bound without samples is therefore forgotten within seconds.
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
        """Return the seconds that most of that size are below; 0 until one was seen."""
        if self._count == 0:
            return 0.0
        bound_s = self._predict_s(size) + _BOUND_DEVIATIONS * self._deviation_s
        unconfirmed_s = max(0.0, now - self._updated_at - UNCONFIRMED_GRACE_S)
        return bound_s * math.exp2(-unconfirmed_s / UNCONFIRMED_HALF_LIFE_S)

    def record(self, latency_s: float, size: float, now: float) -> None:
        """Take the time to a first byte into account."""
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
