"""How long the longest recent answer took. Pure: times are arguments."""

from __future__ import annotations


# An answer counts for one to two of these spans, in seconds.
WINDOW_S = 5.0


class RecentMaxDuration:
    """Keeps a maximum over the present span and the one before; constant memory."""

    def __init__(self) -> None:
        self._span = 0
        self._present_s = 0.0
        self._before_s = 0.0

    def record(self, seconds: float, now: float) -> None:
        """Note an answer that took so long and ended at ``now`` (monotonic)."""
        self._turn(now)
        self._present_s = max(self._present_s, seconds)

    def max_s(self, now: float) -> float | None:
        """Return the seconds that the longest recent answer took, None without any."""
        self._turn(now)
        return max(self._present_s, self._before_s) or None

    def _turn(self, now: float) -> None:
        span = int(now // WINDOW_S)
        if span == self._span:
            return
        self._before_s = self._present_s if span == self._span + 1 else 0.0
        self._present_s = 0.0
        self._span = span
