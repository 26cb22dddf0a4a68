"""Burn rates of error budgets, and their alerts.

A burn rate of 1 uses up the budget of a period exactly at its end. The alerts are those
of the Site Reliability Workbook, chapter 5: the fast one uses 2% of a month's budget in
an hour, the slow one 5% in six hours. Each also requires a short window to be over its
threshold, so that the alert ends soon after its cause.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Sequence

    from kingcupwheel.burn.minute_counts import EventCount

FAST_BURN_RATE = 14.4
SLOW_BURN_RATE = 6.0
# Prevents alerts at low traffic, such as one failure of three requests at night.
MIN_EVENTS_FOR_ALERT = 20


class Alert(StrEnum):
    """The urgency of a burn rate."""

    NONE = "none"
    SLOW = "slow"
    FAST = "fast"


def compute_burn_rate(count: EventCount, target: float) -> float | None:
    """Return the burn rate of ``count``; None without events.

    A target of 1 leaves no budget: the rate is then infinite with any bad event.
    """
    if not count.total:
        return None
    share = count.bad / count.total
    budget = 1.0 - target
    if budget <= 0:
        return float("inf") if count.bad else 0.0
    return share / budget


def determine_alert(windows: Sequence[EventCount], target: float) -> Alert:
    """Return the alert for counts in the order of ``entry_counts.WINDOWS_MIN``."""
    fast_short, fast_long, slow_short, slow_long = windows
    if _is_over_threshold(fast_short, fast_long, target, FAST_BURN_RATE):
        return Alert.FAST
    if _is_over_threshold(slow_short, slow_long, target, SLOW_BURN_RATE):
        return Alert.SLOW
    return Alert.NONE


def _is_over_threshold(
    short_window: EventCount, long_window: EventCount, target: float, threshold: float
) -> bool:
    if short_window.total < MIN_EVENTS_FOR_ALERT:
        return False
    return all(
        (compute_burn_rate(count, target) or 0) > threshold
        for count in (short_window, long_window)
    )
