"""Times at which callers that a rate limit refused are told to return. Pure."""

from __future__ import annotations


# A caller that is told to return much later has given up by then, and the limit may
# have changed.
MAX_SPREAD_S = 10.0


class ReturnTimes:
    """Gives each refused caller a time of its own at the rate of the limit.

    If all refused callers were told the same time, they would return together, and the
    limit would refuse all but one of them again.
    """

    def __init__(self) -> None:
        self._next_at = 0.0

    def reserve(self, earliest_at: float, rate: float) -> float:
        """Return the next free time from ``earliest_at`` on at ``rate`` per second."""
        at = min(max(earliest_at, self._next_at), earliest_at + MAX_SPREAD_S)
        self._next_at = at + 1.0 / rate
        return at
