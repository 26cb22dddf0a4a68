"""Exponential backoff with jitter."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from random import Random


class Backoff:
    """Exponential backoff whose delays double from ``min_s`` to ``max_s`` seconds.

    Each delay is drawn from the upper half of its range: many processes retry after an
    outage, and without jitter they would keep retrying at the same moments.
    """

    def __init__(self, *, min_s: float, max_s: float, random: Random) -> None:
        self._min_s = min_s
        self._max_s = max_s
        self._random = random
        self._base_delay_s = min_s

    def next_delay_s(self) -> float:
        """Return the next delay."""
        delay_s = self._base_delay_s * self._random.uniform(0.5, 1.0)
        self._base_delay_s = min(self._max_s, self._base_delay_s * 2)
        return delay_s

    def reset(self) -> None:
        """Return to the shortest delay after a success."""
        self._base_delay_s = self._min_s
