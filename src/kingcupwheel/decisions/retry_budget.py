"""Retry budgets, which prevent retry storms on a failing group."""

from __future__ import annotations

from collections import deque

from kingcupwheel.decisions.decay import DecayingSum


# One retry per ten first attempts: if every attempt fails, retries add a tenth to the
# load of a group instead of doubling it.
DEFAULT_RETRY_SHARE = 0.1

# Retries allowed at any traffic: an entry with one request per minute can still retry
# one from a crashed server, and one more.
DEFAULT_RETRY_FLOOR = 2.0

# Longer than the few seconds in which a dead server is detected, but short enough that
# no burst of retries accumulates over a quiet hour.
RETRY_TIME_CONSTANT_S = 10.0


class RetryBudget:
    """Limits a server group's retries to a share of its recent first attempts.

    Retries add load to servers that fail for lack of capacity, which then never
    recover. Counts decay with ``RETRY_TIME_CONSTANT_S``.
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
        """Count one more retry if the budget allows it; return whether it does."""
        allowed = self._floor + self._share * self._first_attempts.value(now)
        if self._retries.value(now) >= allowed:
            return False
        self._retries.add(1.0, now)
        return True


class SlidingWindowRetryBudget:
    """Limits retries to a share of the first attempts within a sliding window.

    For a limit that others verify over any window of ``window_s``: counts don't decay,
    and unused retries don't accumulate. Memory is bounded by one window's attempts.
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
        """Count one more retry if the budget allows it; return whether it does."""
        self._drop_expired(now)
        if len(self._retries) + 1 > floor + share * len(self._first_attempts):
            return False
        self._retries.append(now)
        return True

    def _drop_expired(self, now: float) -> None:
        for counted in (self._first_attempts, self._retries):
            while counted and counted[0] <= now - self._window_s:
                counted.popleft()
