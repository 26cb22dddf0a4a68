"""Admission control: token buckets and concurrency limits per organisation."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.decisions.decay import DecayingSum


if TYPE_CHECKING:
    from kingcupwheel.manifest.schema import Allowance


# Averaging window of the demand: long enough to cover several requests of a small
# organisation, short enough that a share follows a burst before its queue is full.
DEMAND_WINDOW_S = 5.0

# Load cannot be predicted beyond about a minute, and refusing a caller that retries too
# early is cheap.
MAX_RETRY_AFTER_S = 60.0

# Retry-After is in whole seconds.
MIN_RETRY_AFTER_S = 1.0

# Initial estimate of the time between two finished requests.
_DEFAULT_FINISH_GAP_S = 1.0


class AdmissionGrant(NamedTuple):
    """An admitted request; ``work`` is the charge in tokens."""

    work: float


class LimitRefusal(NamedTuple):
    """A request refused before it ran.

    ``limit`` names the limit that was reached, ``detail`` explains it to the caller.
    """

    limit: str
    detail: str
    retry_after_s: float


class _OrganisationBudget:
    """Token bucket and number of requests in progress of one organisation."""

    __slots__ = (
        "allowance",
        "refilled_at",
        "recent_work",
        "finish_gap_s",
        "finished_at",
        "in_flight",
        "next_free_at",
        "share",
        "tokens",
    )

    def __init__(self, allowance: Allowance, share: float) -> None:
        self.allowance = allowance
        self.share = share
        self.tokens = allowance.burst * share
        self.refilled_at: float | None = None
        self.in_flight = 0
        self.recent_work = DecayingSum(DEMAND_WINDOW_S)
        self.finish_gap_s = _DEFAULT_FINISH_GAP_S
        self.finished_at: float | None = None
        self.next_free_at = 0.0

    @property
    def rate(self) -> float:
        return self.allowance.work_per_s * self.share

    @property
    def concurrency(self) -> int:
        # At least 1: a small allowance split over several entries would otherwise round
        # down to 0 and refuse every request. The sum over all entries exceeds the
        # allowance by at most one request per entry.
        return max(1, int(self.allowance.concurrency * self.share))

    def refill_tokens(self, now: float) -> None:
        elapsed_s = (
            0.0 if self.refilled_at is None else max(0.0, now - self.refilled_at)
        )
        self.refilled_at = now
        max_tokens = self.allowance.burst * self.share
        if self.tokens < max_tokens:
            self.tokens = min(max_tokens, self.tokens + elapsed_s * self.rate)


class AdmissionController:
    """Enforces the allowance of every organisation at one entry.

    Without it, one organisation's flood fills the queue and the servers and delays the
    answers of all others. The rate limits an organisation's predicted work over time,
    the concurrency limits its requests in progress; admitted requests then pass a queue
    that is fair between organisations.

    A request is admitted while the bucket is not empty, however large the request is,
    since one above the burst could otherwise never run. The bucket may go negative by
    one request and has to refill before the next is admitted.
    """

    def __init__(self) -> None:
        self._budget_by_organisation: dict[str, _OrganisationBudget] = {}

    def __len__(self) -> int:
        return len(self._budget_by_organisation)

    def configure(self, organisation: str, allowance: Allowance, share: float) -> None:
        """Set an organisation's allowance and this entry's share of it (0 to 1).

        Tokens above the new burst are dropped; requests in progress are unaffected.
        """
        budget = self._budget_by_organisation.get(organisation)
        if budget is None:
            self._budget_by_organisation[organisation] = _OrganisationBudget(
                allowance, share
            )
            return
        max_tokens = allowance.burst * share
        budget.tokens = min(budget.tokens, max_tokens)
        budget.allowance = allowance
        budget.share = share

    def remove_organisation(self, organisation: str) -> None:
        """Remove an organisation that is no longer in the manifest."""
        self._budget_by_organisation.pop(organisation, None)

    def admit(
        self, organisation: str, work: float, now: float
    ) -> AdmissionGrant | LimitRefusal:
        """Admit or refuse a request of ``work`` predicted tokens."""
        budget = self._budget_by_organisation.get(organisation)
        if budget is None:
            return LimitRefusal(
                "organisation", "the organisation has no allowance", 0.0
            )
        budget.refill_tokens(now)
        budget.recent_work.add(work, now)
        if budget.in_flight >= budget.concurrency:
            detail = f"{budget.in_flight} requests in progress here"
            wait_s = budget.finish_gap_s
            return _build_refusal(budget, "concurrency", detail, wait_s, now)
        if budget.tokens <= 0.0:
            detail = f"{budget.rate:.0f} tokens/s are used up here"
            wait_s = work / max(budget.rate, 1.0)
            return _build_refusal(budget, "work", detail, wait_s, now)
        budget.tokens -= work
        budget.in_flight += 1
        return AdmissionGrant(work)

    def settle(
        self, organisation: str, predicted: float, actual: float, now: float
    ) -> None:
        """Finish an admitted request: charge its actual work, not the predicted."""
        budget = self._budget_by_organisation.get(organisation)
        if budget is None:
            return
        budget.refill_tokens(now)
        budget.in_flight = max(0, budget.in_flight - 1)
        budget.tokens += predicted - actual
        if budget.finished_at is not None:
            gap_s = min(now - budget.finished_at, MAX_RETRY_AFTER_S)
            budget.finish_gap_s += (gap_s - budget.finish_gap_s) / 8
        budget.finished_at = now

    def get_demand(self, organisation: str, now: float) -> float:
        """Return recent demand as a fraction of the whole allowance.

        The greater of the requested work and the used concurrency, so that the shares
        of both limits follow the callers between entries.
        """
        budget = self._budget_by_organisation.get(organisation)
        if budget is None:
            return 0.0
        work = budget.recent_work.rate(now) / max(budget.allowance.work_per_s, 1.0)
        return max(work, budget.in_flight / max(budget.allowance.concurrency, 1))


def _build_refusal(
    budget: _OrganisationBudget, limit: str, detail: str, wait_s: float, now: float
) -> LimitRefusal:
    """Return a refusal with a Retry-After of its own.

    Hundreds of callers refused in one second with the same Retry-After would all retry
    together and be refused again. Each refusal reserves the next free time at the rate
    at which the allowance is released.
    """
    debt_s = max(0.0, -budget.tokens) / max(budget.rate, 1.0)
    earliest_at = max(budget.next_free_at, now + debt_s)
    if earliest_at - now >= MAX_RETRY_AFTER_S:
        earliest_at = now + debt_s
    budget.next_free_at = earliest_at + wait_s
    retry_after_s = min(MAX_RETRY_AFTER_S, budget.next_free_at - now)
    return LimitRefusal(limit, detail, max(MIN_RETRY_AFTER_S, retry_after_s))
