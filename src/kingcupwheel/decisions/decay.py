"""Exponentially decaying sums of recent events."""

from __future__ import annotations

from math import exp


class DecayingSum:
    """Sum in which every amount decays by ``exp(-age / time_constant_s)``.

    Uses constant memory, whatever the number of events.
    """

    __slots__ = ("_updated_at", "_time_constant_s", "_value")

    def __init__(self, time_constant_s: float) -> None:
        self._time_constant_s = time_constant_s
        self._value = 0.0
        self._updated_at = 0.0

    def add(self, amount: float, now: float) -> None:
        """Add ``amount`` at ``now`` (monotonic seconds)."""
        self._value = self.value(now) + amount
        self._updated_at = max(now, self._updated_at)

    def value(self, now: float) -> float:
        """Return the decayed sum at ``now``."""
        if self._value == 0.0 or now <= self._updated_at:
            return self._value
        return self._value * exp((self._updated_at - now) / self._time_constant_s)

    def rate(self, now: float) -> float:
        """Return the recent amount per second."""
        return self.value(now) / self._time_constant_s
