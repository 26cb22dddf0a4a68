"""Growing pauses between tries, spread at random."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from random import Random


class Backoff:
    """Pauses in seconds that double from ``least_s`` to ``most_s``.

    Each is drawn from the upper half of its step: after an outage many processes come
    back, and equal pauses would bring them back together again and again.
    """

    def __init__(self, *, min_s: float, max_s: float, random: Random) -> None:
        self._min_s = min_s
        self._max_s = max_s
        self._random = random
        self._base_delay_s = min_s

    def next_delay_s(self) -> float:
        """Return the next pause."""
        pause_s = self._base_delay_s * self._random.uniform(0.5, 1.0)
        self._base_delay_s = min(self._max_s, self._base_delay_s * 2)
        return pause_s

    def reset(self) -> None:
        """Start anew after a success."""
        self._base_delay_s = self._min_s
