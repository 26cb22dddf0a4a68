"""Guards for retries: the shared budget and closed services."""

from __future__ import annotations

from threading import Lock
from time import monotonic
from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.decisions.hashing import stable_fraction
from kingcupwheel.decisions.retry_budget import SlidingWindowRetryBudget
from kingcupwheel.forwarding.closed_services import ClosedServiceDetector


if TYPE_CHECKING:
    from collections.abc import Callable

# Fraction of the fleet's budget that the entries use together. If all of them are
# killed at once, they forget their retries, and one window then contains the retries of
# two incarnations.
_ENTRY_BUDGET_FRACTION = 0.5


class RetryBudgetLimits(NamedTuple):
    """Retries that the fleet may send for each service in any window.

    It is the fraction ``share`` of the service's requests, and ``floor`` in addition.
    """

    share: float
    floor: float
    window_s: float


class RetryGuards:
    """Decides on retries; thread-safe.

    ``count_entries`` returns the number of entries that share the budget.
    """

    def __init__(
        self, budget_limits: RetryBudgetLimits, count_entries: Callable[[], int]
    ) -> None:
        self._budget_limits = budget_limits
        self._count_entries = count_entries
        self._budgets_by_service: dict[str, SlidingWindowRetryBudget] = {}
        self._closed_detectors_by_service: dict[str, ClosedServiceDetector] = {}
        self._lock = Lock()

    def count_first_attempt(self, service: str) -> None:
        """Count the first send of a request."""
        with self._lock:
            self._budget_of(service).record_first_attempt(monotonic())

    def consume_retry(self, service: str) -> bool:
        """Return whether the budget allows a retry, and count it if so."""
        with self._lock:
            return self._budget_of(service).try_acquire(
                monotonic(),
                share=self._budget_limits.share * _ENTRY_BUDGET_FRACTION,
                floor=self._budget_limits.floor
                * _ENTRY_BUDGET_FRACTION
                / max(1, self._count_entries()),
            )

    def record_rejection(self, service: str, server: str, *, idle_s: float) -> bool:
        """Record a rejection; return whether the whole service rejects requests."""
        with self._lock:
            detector = self._closed_detectors_by_service.setdefault(
                service, ClosedServiceDetector()
            )
            return detector.record_rejection(server, idle_s=idle_s, now=monotonic())

    def _budget_of(self, service: str) -> SlidingWindowRetryBudget:
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = SlidingWindowRetryBudget(window_s=self._budget_limits.window_s)
            self._budgets_by_service[service] = budget
        return budget


def with_jitter(base_s: float, request_id: str) -> float:
    """Return a retry delay with jitter, so that callers don't retry all at once."""
    return base_s * (1.0 + 0.5 * stable_fraction(request_id))
