"""A budget of retries, so that a struggling group gets no storm of them."""

from __future__ import annotations

from collections import deque

from kingcupwheel.decisions.decay import DecayingSum


# A retry in ten first attempts: with every attempt failing, a group gets a tenth more
# load than its callers make, not twice as much.
DEFAULT_RETRY_SHARE = 0.1

# Retries allowed whatever the traffic: an entry with one request a minute may still
# move one off a server that just died, and one more.
DEFAULT_RETRY_FLOOR = 2.0

# How long attempts are remembered: longer than the few seconds in which a dead server
# is noticed, short enough that a quiet hour saves up no burst of retries.
RETRY_TIME_CONSTANT_S = 10.0


class RetryBudget:
    """Allows retries as a share of recent first attempts, for one server group.

    Load: a group whose servers fail or time out at the peak. Harm prevented: each
    failure repeated adds load to servers that fail for want of capacity, so that they
    never recover. Counts fade within ``TIME_CONSTANT_S``.
    """

    def __init__(
        self, *, share: float = DEFAULT_RETRY_SHARE, floor: float = DEFAULT_RETRY_FLOOR
    ) -> None:
        self._share = share
        self._floor = floor
        self._first_attempts = DecayingSum(RETRY_TIME_CONSTANT_S)
        self._retries = DecayingSum(RETRY_TIME_CONSTANT_S)

    def record_first_attempt(self, now: float) -> None:
        """Count a first attempt."""
        self._first_attempts.add(1.0, now)

    def try_acquire(self, now: float) -> bool:
        """Return whether one more retry is within the budget, and count it if so."""
        allowed = self._floor + self._share * self._first_attempts.value(now)
        if self._retries.value(now) >= allowed:
            return False
        self._retries.add(1.0, now)
        return True


class SlidingWindowRetryBudget:
    """Allows retries as a share of the first attempts of a window that slides.

    For a bound that others measure: every window of ``window_s`` counts, so nothing
    fades and nothing is saved up. Memory is bounded by the attempts of one window.
    """

    def __init__(self, *, window_s: float) -> None:
        self._window_s = window_s
        self._first_attempts: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_first_attempt(self, now: float) -> None:
        """Count a first attempt."""
        self._drop_expired(now)
        self._first_attempts.append(now)

    def try_acquire(self, now: float, *, share: float, floor: float) -> bool:
        """Return whether one more is within the budget, and count it if so."""
        self._drop_expired(now)
        if len(self._retries) + 1 > floor + share * len(self._first_attempts):
            return False
        self._retries.append(now)
        return True

    def _drop_expired(self, now: float) -> None:
        for counted in (self._first_attempts, self._retries):
            while counted and counted[0] <= now - self._window_s:
                counted.popleft()
