"""Bounds a latency from those seen before."""

from __future__ import annotations


# Gains of TCP's retransmission timer (RFC 6298): a mean that follows within some ten
# samples. Its four deviations would leave no time to wait in the queue; with one and a
# half most samples are within the bound.
_MEAN_GAIN = 1 / 8
_DEVIATION_GAIN = 1 / 4
_DEVIATIONS = 1.5


class LatencyBound:
    """Mean and deviation of the time between a handover and its first byte.

    Load: prompts of very different lengths at a busy group. Harm prevented: a request
    that leaves the queue just before its deadline is run in vain, since its first byte
    still takes as long as the prompt. An entry takes ``bound_s`` off each deadline
    before it queues the request.
    """

    __slots__ = ("_deviation_s", "_mean_s")

    def __init__(self) -> None:
        self._mean_s: float | None = None
        self._deviation_s = 0.0

    @property
    def bound_s(self) -> float:
        """Seconds that most are below; 0 until one was seen."""
        if self._mean_s is None:
            return 0.0
        return self._mean_s + _DEVIATIONS * self._deviation_s

    def saw(self, seconds: float) -> None:
        """Take a latency into account."""
        if self._mean_s is None:
            self._mean_s = seconds
            self._deviation_s = seconds / 2
            return
        error_s = seconds - self._mean_s
        self._deviation_s += (abs(error_s) - self._deviation_s) * _DEVIATION_GAIN
        self._mean_s += error_s * _MEAN_GAIN
