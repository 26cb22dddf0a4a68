"""How fast a queue is drained, as observed."""

from __future__ import annotations

from math import exp


# Memory of the observed rate: some mean answers of 8 s, so that one long answer does
# not look like a stall, and a group that lost half its servers shows within seconds.
DRAIN_TIME_CONSTANT_S = 10.0

# With less than this seen of a backlog, nothing is known of the rate.
_MIN_OBSERVED_S = 0.5


class DrainRate:
    """Work per second taken from a queue while something waited in it.

    Load: a group at saturation, or one that stalls. Harm prevented: a rate from idle
    times says nothing about a backlog, and a rate from takes alone never notices that
    they have stopped. The time since the last take therefore counts as well.
    """

    __slots__ = ("_busy_s", "_updated_at", "_work")

    def __init__(self) -> None:
        self._work = 0.0
        self._busy_s = 0.0
        self._updated_at: float | None = None

    def mark_nonempty(self, now: float) -> None:
        """Note that the queue is no longer empty."""
        self._updated_at = now

    def mark_empty(self, now: float) -> None:
        """Note that the queue is empty."""
        self._accumulate_busy_time(now)
        self._updated_at = None

    def record_dequeue(self, work: float, now: float) -> None:
        """Count work that had to wait and was taken at ``now``."""
        self._accumulate_busy_time(now)
        self._work += work

    def estimate_drain_s(self, work: float, now: float) -> float:
        """Return how long ``work`` takes to drain; 0 while no rate is known."""
        waited_s = 0.0 if self._updated_at is None else max(0.0, now - self._updated_at)
        busy_s = self._busy_s + waited_s
        if busy_s < _MIN_OBSERVED_S:
            return 0.0
        if self._work <= 0.0:
            return busy_s if work > 0.0 else 0.0
        return work * busy_s / self._work

    def _accumulate_busy_time(self, now: float) -> None:
        """Count the time since the last change as time with a backlog."""
        if self._updated_at is None:
            return
        waited_s = max(0.0, now - self._updated_at)
        kept = exp(-waited_s / DRAIN_TIME_CONSTANT_S)
        self._work *= kept
        self._busy_s = self._busy_s * kept + waited_s
        self._updated_at = now
