"""Admits or refuses a request under its organisation's allowance."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.decisions.decay import DecayingSum


if TYPE_CHECKING:
    from kingcupwheel.manifest.schema import Allowance


# Demand is the mean of so many seconds: long enough to hold several requests of a small
# organisation, short enough that a share follows a burst before its queue is full.
DEMAND_WINDOW_S = 5.0

# Longest Retry-After: past a minute a forecast of the load is worth little, and callers
# that come back too early are refused cheaply.
MAX_RETRY_AFTER_S = 60.0

# Shortest Retry-After: HTTP gives whole seconds.
MIN_RETRY_AFTER_S = 1.0

# Work of a request held at the limit of concurrency, when no answer has been timed.
_DEFAULT_FINISH_GAP_S = 1.0


class AdmissionGrant(NamedTuple):
    """The request may go on; ``work`` was charged (tokens)."""

    work: float


class LimitRefusal(NamedTuple):
    """The request was not run: ``limit`` names the bound, ``detail`` tells why."""

    limit: str
    detail: str
    retry_after_s: float


class _OrganisationBudget:
    """One organisation's token bucket and count of requests in progress."""

    __slots__ = (
        "allowance",
        "refilled_at",
        "demand",
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
        self.demand = DecayingSum(DEMAND_WINDOW_S)
        self.finish_gap_s = _DEFAULT_FINISH_GAP_S
        self.finished_at: float | None = None
        self.next_free_at = 0.0

    @property
    def rate(self) -> float:
        return self.allowance.work_per_s * self.share

    @property
    def concurrency(self) -> int:
        # At least one: a small allowance over several entries would otherwise round
        # down to none, and its callers would be refused for ever. The sum exceeds the
        # allowance by at most one request an entry.
        return max(1, int(self.allowance.concurrency * self.share))

    def refill_tokens(self, now: float) -> None:
        elapsed_s = (
            0.0 if self.refilled_at is None else max(0.0, now - self.refilled_at)
        )
        self.refilled_at = now
        full = self.allowance.burst * self.share
        if self.tokens < full:
            self.tokens = min(full, self.tokens + elapsed_s * self.rate)


class AdmissionController:
    """Holds every organisation to its allowance at one entry.

    Load: one organisation floods while others send their usual traffic. Harm prevented:
    the flood fills the queue and the servers, and the others' answers come late. The
    rate of predicted work bounds what an organisation takes over time, the concurrency
    what it holds at once; a queue that is fair by organisation comes after both.

    A bucket lends the work of one request: any request is admitted while the bucket is
    not empty, however large it is. Otherwise a request above the burst could never run.
    The debt is paid before the next is admitted.
    """

    def __init__(self) -> None:
        self._by_organisation: dict[str, _OrganisationBudget] = {}

    def __len__(self) -> int:
        return len(self._by_organisation)

    def configure(self, organisation: str, allowance: Allowance, share: float) -> None:
        """Set an organisation's allowance and this entry's share of it (0 to 1).

        A new share changes what is saved up in proportion; requests in progress stay.
        """
        account = self._by_organisation.get(organisation)
        if account is None:
            self._by_organisation[organisation] = _OrganisationBudget(allowance, share)
            return
        full = allowance.burst * share
        account.tokens = min(account.tokens, full)
        account.allowance = allowance
        account.share = share

    def remove_organisation(self, organisation: str) -> None:
        """Drop an organisation that the manifest no longer names."""
        self._by_organisation.pop(organisation, None)

    def admit(
        self, organisation: str, work: float, now: float
    ) -> AdmissionGrant | LimitRefusal:
        """Decide on a request of ``work`` predicted tokens."""
        account = self._by_organisation.get(organisation)
        if account is None:
            return LimitRefusal(
                "organisation", "the organisation has no allowance", 0.0
            )
        account.refill_tokens(now)
        account.demand.add(work, now)
        if account.in_flight >= account.concurrency:
            detail = f"{account.in_flight} requests in progress here"
            wait_s = account.finish_gap_s
            return _build_refusal(account, "concurrency", detail, wait_s, now)
        if account.tokens <= 0.0:
            detail = f"{account.rate:.0f} tokens/s are used up here"
            wait_s = work / max(account.rate, 1.0)
            return _build_refusal(account, "work", detail, wait_s, now)
        account.tokens -= work
        account.in_flight += 1
        return AdmissionGrant(work)

    def settle(
        self, organisation: str, predicted: float, actual: float, now: float
    ) -> None:
        """Settle an admitted request: charge the work it took, not the predicted."""
        account = self._by_organisation.get(organisation)
        if account is None:
            return
        account.refill_tokens(now)
        account.in_flight = max(0, account.in_flight - 1)
        account.tokens += predicted - actual
        if account.finished_at is not None:
            gap_s = min(now - account.finished_at, MAX_RETRY_AFTER_S)
            account.finish_gap_s += (gap_s - account.finish_gap_s) / 8
        account.finished_at = now

    def demand(self, organisation: str, now: float) -> float:
        """Return recent demand as a fraction of the whole allowance, for the peers.

        It is the greater of the work asked for and the places held, so that both limits
        follow where the callers are.
        """
        account = self._by_organisation.get(organisation)
        if account is None:
            return 0.0
        work = account.demand.rate(now) / max(account.allowance.work_per_s, 1.0)
        return max(work, account.in_flight / max(account.allowance.concurrency, 1))


def _build_refusal(
    account: _OrganisationBudget, limit: str, detail: str, wait_s: float, now: float
) -> LimitRefusal:
    """Refuse with a time of its own for every caller to come back.

    Load: hundreds of requests refused in one second. Harm prevented: told the same time
    they all come back together and are refused again. Each refusal takes the next free
    time at the pace at which the allowance frees places.
    """
    debt_s = max(0.0, -account.tokens) / max(account.rate, 1.0)
    earliest = max(account.next_free_at, now + debt_s)
    if earliest - now >= MAX_RETRY_AFTER_S:
        earliest = now + debt_s
    account.next_free_at = earliest + wait_s
    after_s = min(MAX_RETRY_AFTER_S, account.next_free_at - now)
    return LimitRefusal(limit, detail, max(MIN_RETRY_AFTER_S, after_s))
