"""Counts per minute over the longest window, in fixed memory."""

from __future__ import annotations

from array import array
from typing import NamedTuple

from kingcupwheel.burn.goals import INDICATORS
from kingcupwheel.burn.goals import Indicator


MINUTE_S = 60
# Six hours, the longest window, and the current minute.
_MINUTE_SLOTS = 361
_SLOT_WIDTH = 2 * len(INDICATORS)
_INDEX_BY_INDICATOR = {item: 2 * index for index, item in enumerate(INDICATORS)}


class EventCount(NamedTuple):
    """Number of events, and of those that missed the goal."""

    total: int
    bad: int

    def plus(self, other: EventCount) -> EventCount:
        """Return the sum of both."""
        return EventCount(self.total + other.total, self.bad + other.bad)


class MinuteCounts:
    """Ring buffer of one scope's counts per minute; about 20 KB at any traffic.

    Minutes are Unix minutes, so that the counts of several entries are aligned.
    """

    def __init__(self) -> None:
        self._counts = array("Q", bytes(8 * _MINUTE_SLOTS * _SLOT_WIDTH))
        self._minutes = array("q", [-1] * _MINUTE_SLOTS)

    def add_events(
        self, minute: int, indicator: Indicator, *, total: int, bad: int
    ) -> None:
        """Count ``total`` events of which ``bad`` missed the goal."""
        base = self._get_slot_offset(minute) + _INDEX_BY_INDICATOR[indicator]
        self._counts[base] += total
        self._counts[base + 1] += bad

    def sum_range(self, indicator: Indicator, *, first: int, last: int) -> EventCount:
        """Return the count from minute ``first`` to ``last``, both included."""
        offset = _INDEX_BY_INDICATOR[indicator]
        total = bad = 0
        for minute in range(first, last + 1):
            slot = minute % _MINUTE_SLOTS
            if self._minutes[slot] == minute:
                total += self._counts[slot * _SLOT_WIDTH + offset]
                bad += self._counts[slot * _SLOT_WIDTH + offset + 1]
        return EventCount(total, bad)

    def _get_slot_offset(self, minute: int) -> int:
        slot = minute % _MINUTE_SLOTS
        base = slot * _SLOT_WIDTH
        if self._minutes[slot] != minute:
            self._minutes[slot] = minute
            self._counts[base : base + _SLOT_WIDTH] = array("Q", bytes(8 * _SLOT_WIDTH))
        return base
