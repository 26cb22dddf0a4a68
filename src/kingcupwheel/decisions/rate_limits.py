"""Rate limits that servers name, and what this entry may send under them.

Failure: a server that is short of something names the rate that it takes from all
entries together, and each entry goes on by its own view. Symptom: the server gets a
multiple of its limit and fails, and requests that another server would have answered
fail with it. Each entry therefore sends only within its share (``limit_shares``).
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.decisions.limit_observations import LimitObservation
from kingcupwheel.decisions.limit_observations import merge_observations
from kingcupwheel.decisions.limit_shares import MIN_TOTAL_RATE
from kingcupwheel.decisions.limit_shares import UNKNOWN_FLEET_SIZE
from kingcupwheel.decisions.limit_shares import EntryFleet
from kingcupwheel.decisions.limit_shares import LimitShare
from kingcupwheel.decisions.limit_shares import compute_share


if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

# A permit that is older has to be acquired again, so that requests that waited for
# their connections don't arrive together.
PERMIT_VALIDITY_S = 0.5

# If no entry has had an answer from a limited server for this time, the first one in
# the server's order sends it a request although others have capacity, and each further
# one after a further interval: the server may have lifted its limit. The interval
# bounds what entries that can't hear each other send in addition to their shares.
PROBE_AFTER_S = 2.0
PROBE_INTERVAL_S = 4.0
# An entry waits for its turn from when its own callers need the server, and anew after
# so long without them. Otherwise the turns of all entries would have come by the end
# of an idle period, and they would probe at the same time.
MAX_DEMAND_GAP_S = 2.0

# How long a lifted limit is reported to peers, whose reports of the limit may still be
# on their way.
LIFTED_RETENTION_S = 10.0

# How long an incarnation that is not listed is kept: an instance entry that was
# overwritten or has expired comes back with the same incarnation.
ABSENT_RETENTION_S = 60.0

# Bounds memory and the size of heartbeats.
MAX_INCARNATIONS = 256

# The fleet until the first heartbeat.
_UNKNOWN_FLEET = EntryFleet("", frozenset(), UNKNOWN_FLEET_SIZE, is_settled=False)


class LimitReport(NamedTuple):
    """A limit as observed by this entry itself, for its peers.

    The server made its answer between ``sent_age_s`` and ``received_age_s`` seconds
    ago. ``rate`` is None if it has lifted its limit.
    """

    incarnation: str
    rate: float | None
    sent_age_s: float
    received_age_s: float


class LimitChange(NamedTuple):
    """A limit changed from ``before`` to ``rate``; None stands for no limit."""

    before: float | None
    rate: float | None


class LimitedAccess(NamedTuple):
    """What this entry may send to a server with a limit.

    It may send a request from ``available_at`` on (monotonic; infinite if it holds no
    share), then ``rate`` requests per second. ``total_rate`` is that of all entries
    together. With ``is_probe_due`` a request should be sent even if other servers have
    capacity.
    """

    available_at: float
    rate: float
    total_rate: float
    is_probe_due: bool


class _Limit:
    """State of one incarnation's limit."""

    __slots__ = (
        "absent_at",
        "fleet",
        "is_own",
        "observation",
        "probed_at",
        "share",
        "tokens",
        "updated_at",
        "wanted_at",
        "wanted_since",
    )

    def __init__(self, observation: LimitObservation, *, is_own: bool) -> None:
        self.observation = observation
        self.is_own = is_own
        self.absent_at: float | None = None
        self.probed_at = -math.inf
        self.fleet: EntryFleet | None = None
        self.share = LimitShare(0, 1, 0.0, 0.0)
        self.tokens = 0.0
        self.updated_at = 0.0
        self.wanted_at = -math.inf
        self.wanted_since = -math.inf

    def mark_wanted(self, now: float) -> None:
        """Record that a request of this entry could use the server."""
        if now - self.wanted_at > MAX_DEMAND_GAP_S:
            self.wanted_since = now
        self.wanted_at = now

    def update_share(self, incarnation: str, fleet: EntryFleet, now: float) -> None:
        """Use the fleet and the limit as known now; tokens accrue until now."""
        share = compute_share(incarnation, self.observation.effective_rate, fleet)
        if self.fleet is None and share.is_holder:
            # The holders' first requests are spread over the time that the limit
            # takes for them.
            self.tokens = 1.0 - (share.rank + 1) / share.holder_count
        elif not self.share.is_holder or not share.is_holder:
            self.tokens = 0.0
        self.fleet = fleet
        self.share = share
        self.tokens = min(self.tokens, share.burst)
        self.updated_at = now

    def accrue(self, now: float) -> None:
        """Add the tokens of the time since the last call."""
        passed_s = max(0.0, now - self.updated_at)
        self.tokens = min(self.share.burst, self.tokens + passed_s * self.share.rate)
        self.updated_at = now


class RateLimits:
    """Limits of servers by incarnation; not thread-safe, times are monotonic."""

    def __init__(self) -> None:
        self._limit_by_incarnation: dict[str, _Limit] = {}
        self._fleet = _UNKNOWN_FLEET

    def __len__(self) -> int:
        return len(self._limit_by_incarnation)

    def update_fleet(self, fleet: EntryFleet) -> None:
        """Replace the entries that share the limits."""
        if fleet != self._fleet:
            self._fleet = fleet

    def record_answer(
        self, incarnation: str, rate: float | None, *, sent_at: float, now: float
    ) -> LimitChange | None:
        """Record what an answer to this entry names; return the change, if any.

        The request was sent at ``sent_at``; ``rate`` is None if no limit is named.
        """
        observed = LimitObservation(rate, sent_at, now)
        return self._record(incarnation, observed, now, is_own=True)

    def record_report(
        self, report: LimitReport, *, max_transit_s: float, now: float
    ) -> LimitChange | None:
        """Record a peer's report that was at most ``max_transit_s`` on its way."""
        observed = LimitObservation(
            report.rate,
            now - max_transit_s - report.sent_age_s,
            now - report.received_age_s,
        )
        return self._record(report.incarnation, observed, now, is_own=False)

    def _record(
        self, incarnation: str, observed: LimitObservation, now: float, *, is_own: bool
    ) -> LimitChange | None:
        limit = self._limit_by_incarnation.get(incarnation)
        if limit is None:
            if observed.rate is None:
                return None
            if len(self) >= MAX_INCARNATIONS:
                self._evict_oldest()
            limit = self._limit_by_incarnation[incarnation] = _Limit(
                observed, is_own=is_own
            )
            limit.update_share(incarnation, self._fleet, now)
            return LimitChange(None, observed.rate)
        before = limit.observation
        merged = merge_observations(before, observed)
        if merged is before:
            return None
        limit.observation = merged
        limit.is_own = is_own
        if merged.rate == before.rate:
            return None
        if before.rate is None:
            limit.fleet = None
        limit.accrue(now)
        if merged.rate is not None:
            limit.update_share(incarnation, self._fleet, now)
        return LimitChange(before.rate, merged.rate)

    def _evict_oldest(self) -> None:
        oldest = min(
            self._limit_by_incarnation,
            key=lambda one: self._limit_by_incarnation[one].observation.latest_at,
        )
        del self._limit_by_incarnation[oldest]

    def get_rate(self, incarnation: str) -> float | None:
        """Return the limit in force, None without a limit."""
        limit = self._limit_by_incarnation.get(incarnation)
        return None if limit is None else limit.observation.rate

    def get_access(self, incarnation: str, now: float) -> LimitedAccess | None:
        """Return what this entry may send now, None without a limit.

        Call it only for requests that could use the server, and not for reports.
        """
        limit = self._limit_by_incarnation.get(incarnation)
        if limit is None or limit.observation.rate is None:
            return None
        limit.mark_wanted(now)
        self._refresh(incarnation, limit, now)
        share = limit.share
        total_rate = max(limit.observation.rate, MIN_TOTAL_RATE)
        is_probe_due = self._fleet.is_settled and self._is_probe_due(limit, now)
        if not self._fleet.is_settled:
            available_at = math.inf
        elif not share.is_holder:
            available_at = now if is_probe_due else math.inf
        else:
            available_at = now + max(0.0, (1.0 - limit.tokens) / share.rate)
        return LimitedAccess(
            available_at,
            share.rate,
            total_rate,
            is_probe_due and available_at <= now,
        )

    def _refresh(self, incarnation: str, limit: _Limit, now: float) -> None:
        limit.accrue(now)
        if limit.fleet is not self._fleet:
            limit.update_share(incarnation, self._fleet, now)

    def _is_probe_due(self, limit: _Limit, now: float) -> bool:
        turn_s = PROBE_AFTER_S + limit.share.rank * PROBE_INTERVAL_S
        round_s = PROBE_AFTER_S + len(self._fleet.names) * PROBE_INTERVAL_S
        unheard_since = max(limit.observation.latest_at, limit.wanted_since)
        return now - unheard_since >= turn_s and now - limit.probed_at >= round_s

    def acquire(self, incarnation: str, now: float) -> float | None:
        """Consume a request of the share; return when its permit expires.

        Returns None for a server without a limit, which needs no permit. Call it only
        if ``get_access`` allows a request at ``now``.
        """
        access = self.get_access(incarnation, now)
        if access is None:
            return None
        limit = self._limit_by_incarnation[incarnation]
        if access.is_probe_due:
            limit.probed_at = now
        if limit.share.is_holder:
            limit.tokens -= 1.0
        return now + PERMIT_VALIDITY_S

    def list_reports(self, now: float) -> tuple[LimitReport, ...]:
        """Return the limits that this entry observed itself, for its peers."""
        return tuple(
            LimitReport(
                incarnation,
                limit.observation.rate,
                now - limit.observation.earliest_at,
                now - limit.observation.latest_at,
            )
            for incarnation, limit in self._limit_by_incarnation.items()
            if limit.is_own
        )

    def list_limits(self, now: float) -> tuple[tuple[str, float, float], ...]:
        """Return incarnation, limit and own share (requests/s) of limited servers."""
        found = []
        for incarnation, limit in self._limit_by_incarnation.items():
            if limit.observation.rate is not None:
                self._refresh(incarnation, limit, now)
                found.append((incarnation, limit.observation.rate, limit.share.rate))
        return tuple(found)

    def retain(self, incarnations: Collection[str], now: float) -> tuple[str, ...]:
        """Drop limits lifted for long, and incarnations unlisted for long.

        Return the latter.
        """
        for incarnation, limit in self._limit_by_incarnation.items():
            if incarnation in incarnations:
                limit.absent_at = None
            elif limit.absent_at is None:
                limit.absent_at = now
        self._remove(
            incarnation
            for incarnation, limit in self._limit_by_incarnation.items()
            if limit.observation.rate is None
            and now - limit.observation.latest_at >= LIFTED_RETENTION_S
        )
        return self._remove(
            incarnation
            for incarnation, limit in self._limit_by_incarnation.items()
            if limit.absent_at is not None
            and now - limit.absent_at >= ABSENT_RETENTION_S
        )

    def _remove(self, incarnations: Iterable[str]) -> tuple[str, ...]:
        removed = tuple(incarnations)
        for incarnation in removed:
            del self._limit_by_incarnation[incarnation]
        return removed
