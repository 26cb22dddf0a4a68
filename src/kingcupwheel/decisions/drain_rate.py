"""Estimates the rate at which a queue drains."""

from __future__ import annotations

from math import exp


# Longer than a mean answer of 8 s, so that one long answer does not look like a stall,
# yet a group that loses half its servers is noticed within seconds.
DRAIN_TIME_CONSTANT_S = 10.0

# Backlogged time below which the rate is unknown.
_MIN_OBSERVED_S = 0.5


class DrainRate:
    """Work per second dequeued while the queue was not empty.

    A rate that includes idle time says nothing about how fast a backlog drains. A rate
    computed only when work is dequeued never shows a stall, so the time since the last
    dequeue is included.
    """

    __slots__ = ("_busy_s", "_updated_at", "_work")

    def __init__(self) -> None:
        self._work = 0.0
        self._busy_s = 0.0
        self._updated_at: float | None = None

    def mark_nonempty(self, now: float) -> None:
        """Start counting backlogged time."""
        self._updated_at = now

    def mark_empty(self, now: float) -> None:
        """Stop counting backlogged time."""
        self._accumulate_busy_time(now)
        self._updated_at = None

    def record_dequeue(self, work: float, now: float) -> None:
        """Count work that waited in the queue and was dequeued at ``now``."""
        self._accumulate_busy_time(now)
        self._work += work

    def estimate_drain_s(self, work: float, now: float) -> float:
        """Return the seconds that ``work`` takes to drain; 0 if the rate is unknown."""
        elapsed_s = (
            0.0 if self._updated_at is None else max(0.0, now - self._updated_at)
        )
        busy_s = self._busy_s + elapsed_s
        if busy_s < _MIN_OBSERVED_S:
            return 0.0
        if self._work <= 0.0:
            return busy_s if work > 0.0 else 0.0
        return work * busy_s / self._work

    def _accumulate_busy_time(self, now: float) -> None:
        """Decay the totals and add the backlogged time since the last update."""
        if self._updated_at is None:
            return
        elapsed_s = max(0.0, now - self._updated_at)
        decay = exp(-elapsed_s / DRAIN_TIME_CONSTANT_S)
        self._work *= decay
        self._busy_s = self._busy_s * decay + elapsed_s
        self._updated_at = now
