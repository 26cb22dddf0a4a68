"""Maximum duration of recent answers."""

from __future__ import annotations


# An answer is remembered for one to two windows.
WINDOW_S = 5.0


class RecentMaxDuration:
    """Maximum over the current and the previous window, in constant memory."""

    def __init__(self) -> None:
        self._window = 0
        self._current_max_s = 0.0
        self._previous_max_s = 0.0

    def record(self, duration_s: float, now: float) -> None:
        """Record the duration of an answer that ended at ``now`` (monotonic)."""
        self._advance_window(now)
        self._current_max_s = max(self._current_max_s, duration_s)

    def max_s(self, now: float) -> float | None:
        """Return the longest recent duration, None if there was no answer."""
        self._advance_window(now)
        return max(self._current_max_s, self._previous_max_s) or None

    def _advance_window(self, now: float) -> None:
        window = int(now // WINDOW_S)
        if window == self._window:
            return
        self._previous_max_s = (
            self._current_max_s if window == self._window + 1 else 0.0
        )
        self._current_max_s = 0.0
        self._window = window
