"""Burn rates: how fast the error budget of a goal is used up.

At rate 1 the budget of a period is used up exactly at its end. The alerts are those of
the Site Reliability Workbook, chapter 5: a fast one that uses 2% of a month's budget in
an hour, and a slow one that uses 5% in six. Each asks a short window too, so that it
ends soon after its cause.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Sequence

    from kingcupwheel.burn.minute_counts import EventCount

FAST_BURN_RATE = 14.4
SLOW_BURN_RATE = 6.0
# One failure of three requests at night is no reason to wake anybody.
MIN_EVENTS_FOR_ALERT = 20


class Alert(StrEnum):
    """How urgent the burn is."""

    NONE = "none"
    SLOW = "slow"
    FAST = "fast"


def compute_burn_rate(count: EventCount, target: float) -> float | None:
    """Return the burn rate of ``count``; None without events.

    A target of 1 leaves no budget: any bad event then burns without bound.
    """
    if not count.total:
        return None
    share = count.bad / count.total
    budget = 1.0 - target
    if budget <= 0:
        return float("inf") if count.bad else 0.0
    return share / budget


def determine_alert(windows: Sequence[EventCount], target: float) -> Alert:
    """Return the alert for counts in the order of ``records.WINDOWS_MIN``."""
    fast_short, fast_long, slow_short, slow_long = windows
    if _is_over_threshold(fast_short, fast_long, target, FAST_BURN_RATE):
        return Alert.FAST
    if _is_over_threshold(slow_short, slow_long, target, SLOW_BURN_RATE):
        return Alert.SLOW
    return Alert.NONE


def _is_over_threshold(
    short: EventCount, long: EventCount, target: float, threshold: float
) -> bool:
    if short.total < MIN_EVENTS_FOR_ALERT:
        return False
    return all(
        (compute_burn_rate(count, target) or 0) > threshold for count in (short, long)
    )
