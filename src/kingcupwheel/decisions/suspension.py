"""Finds out when the machine was suspended. Pure: times are arguments."""

from __future__ import annotations


# Smaller differences come from the readings of the two clocks.
_MIN_SUSPENSION_S = 0.05


class SuspensionDetector:
    """Compares a clock that counts suspended time with one that does not."""

    def __init__(self) -> None:
        self._offset_s: float | None = None
        self._resumed_at = float("-inf")

    @property
    def resumed_at(self) -> float:
        """Monotonic time of the first reading since the last suspension."""
        return self._resumed_at

    def record_clocks(self, *, boottime: float, monotonic: float) -> None:
        """Record a reading of both clocks, of the monotonic one last.

        A thread that waits between the two then seems to be suspended for less time,
        never for more.
        """
        offset_s = boottime - monotonic
        known_s, self._offset_s = self._offset_s, offset_s
        if known_s is None:
            return
        if offset_s - known_s >= _MIN_SUSPENSION_S:
            self._resumed_at = monotonic
        else:
            self._offset_s = max(known_s, offset_s)
