"""Detects a busy rank that begins no pass during a change; times are arguments."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from kingcupwheel.lockstep.rank_reports import RankState

# How long a busy rank with a pending change may go without a new pass. Passes take up
# to 0.1 s and an undisturbed hold about 0.02 s. Each higher rank waits longer, so that
# the ranks don't act at the same time.
STALL_TIMEOUT_S = 0.35
_STALL_STAGGER_S = 0.4


class StallDetector:
    """Detects a stall from the reports of one rank."""

    def __init__(self) -> None:
        self._last_position: tuple[int, int] = (0, 0)
        self._unchanged_since = float("-inf")

    def is_stalled(self, state: RankState, now: float) -> bool:
        """Return whether the rank began no pass within its timeout."""
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
