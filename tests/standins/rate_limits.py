"""The rule for arrivals at a server that names a rate limit."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterable

# Any span of this length counts.
WINDOW_S = 4.0
_TOLERATED_FACTOR = 1.5
_TOLERATED_EXCESS = 5.0


def allowed_requests(rate_limit: float) -> float:
    """Return how many requests a limit (requests/s) allows in any window."""
    return _TOLERATED_FACTOR * rate_limit * WINDOW_S + _TOLERATED_EXCESS


def most_requests_in_window(arrivals: Iterable[float]) -> int:
    """Return the largest number of arrivals in any window of ``WINDOW_S`` seconds."""
    times = sorted(arrivals)
    first = 0
    most = 0
    for last, at in enumerate(times):
        while at - times[first] >= WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most
