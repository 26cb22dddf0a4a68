"""Whether a rank with work stands still before a change. Pure: times are arguments."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from kingcupwheel.lockstep.rank_reports import RankState

# How long a rank with work and a change prepared may begin no pass, in seconds. Passes
# take up to 0.1; a hold that goes well lasts some 0.02. The further ranks wait longer,
# so that they don't all act at once.
STALL_TIMEOUT_S = 0.35
_STALL_STAGGER_S = 0.4


class StallDetector:
    """Watches one rank's reports."""

    def __init__(self) -> None:
        self._last_position: tuple[int, int] = (0, 0)
        self._unchanged_since = float("-inf")

    def is_stalled(self, state: RankState, now: float) -> bool:
        """Return whether the rank has stood still for too long."""
        position = (state.epoch, state.step)
        has_pending_change = max(state.prepared, state.armed) > state.version
        if (
            position != self._last_position
            or not has_pending_change
            or not state.running + state.waiting
        ):
            self._last_position = position
            self._unchanged_since = now
            return False
        limit_s = STALL_TIMEOUT_S + _STALL_STAGGER_S * max(0, state.rank - 1)
        return now - self._unchanged_since > limit_s
