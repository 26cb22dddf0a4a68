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
from kingcupwheel.decisions.limit_shares import UNKNOWN_FLEET_SIZE
from kingcupwheel.decisions.limit_shares import EntryFleet
from kingcupwheel.decisions.limit_state import LimitState


if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

    from kingcupwheel.decisions.limit_state import LimitedAccess

# A permit that is older has to be acquired again, so that requests that waited for
# their connections don't arrive together.
PERMIT_VALIDITY_S = 0.5

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


class RateLimits:
    """Limits of servers by incarnation; not thread-safe, times are monotonic."""

    def __init__(self) -> None:
        self._state_by_incarnation: dict[str, LimitState] = {}
        self._fleet = _UNKNOWN_FLEET

    def __len__(self) -> int:
        return len(self._state_by_incarnation)

    def update_fleet(self, fleet: EntryFleet) -> None:
        """Replace the entries that share the limits."""
        if fleet != self._fleet:
            # An equal fleet stays the same object, which is compared faster.
            self._fleet = fleet

    def record_answer(
        self, incarnation: str, rate: float | None, *, sent_at: float, now: float
    ) -> LimitChange | None:
        """Record what an answer to this entry names; return the change, if any.

        The request was sent at ``sent_at``; ``rate`` is None if no limit is named.
        """
        observed = LimitObservation(rate, sent_at, now)
        change = self._record(incarnation, observed, now)
        state = self._state_by_incarnation.get(incarnation)
        if state is not None:
            state.own = observed
        return change

    def record_report(
        self, report: LimitReport, *, max_transit_s: float, now: float
    ) -> LimitChange | None:
        """Record a peer's report that was at most ``max_transit_s`` on its way."""
        observed = LimitObservation(
            report.rate,
            now - max_transit_s - report.sent_age_s,
            now - report.received_age_s,
        )
        return self._record(report.incarnation, observed, now)

    def _record(
        self, incarnation: str, observed: LimitObservation, now: float
    ) -> LimitChange | None:
        state = self._state_by_incarnation.get(incarnation)
        if state is not None:
            before = state.rate
            has_changed = state.record(observed, now)
            return LimitChange(before, state.rate) if has_changed else None
        if observed.rate is None:
            return None
        if len(self) >= MAX_INCARNATIONS:
            self._evict_oldest()
        self._state_by_incarnation[incarnation] = LimitState(
            incarnation, observed, self._fleet, now
        )
        return LimitChange(None, observed.rate)

    def _evict_oldest(self) -> None:
        oldest = min(
            self._state_by_incarnation,
            key=lambda one: self._state_by_incarnation[one].observation.latest_at,
        )
        del self._state_by_incarnation[oldest]

    def get_rate(self, incarnation: str) -> float | None:
        """Return the limit in force, None without a limit."""
        state = self._state_by_incarnation.get(incarnation)
        return None if state is None else state.rate

    def get_access(self, incarnation: str, now: float) -> LimitedAccess | None:
        """Return what this entry may send now, None without a limit.

        Call it only for requests that could use the server, and not for reports.
        """
        state = self._state_by_incarnation.get(incarnation)
        if state is None or state.rate is None:
            return None
        state.refresh(self._fleet, now)
        return state.get_access(now)

    def acquire(self, incarnation: str, now: float) -> float | None:
        """Consume a request of the share; return when its permit expires.

        Returns None for a server without a limit, which needs no permit. Call it only
        if ``get_access`` allows a request at ``now``.
        """
        state = self._state_by_incarnation.get(incarnation)
        if state is None or state.rate is None:
            return None
        state.acquire(now)
        return now + PERMIT_VALIDITY_S

    def list_reports(
        self, now: float, *, observed_since: float = -math.inf
    ) -> tuple[LimitReport, ...]:
        """Return the limits in force that this entry observed itself, for its peers.

        What peers reported is not passed on: its age would be less certain each time.
        So would that of what was observed before the machine was last suspended, since
        monotonic times do not count suspended time; ``observed_since`` leaves it out.
        """
        return tuple(
            LimitReport(
                incarnation,
                state.own.rate,
                now - state.own.earliest_at,
                now - state.own.latest_at,
            )
            for incarnation, state in self._state_by_incarnation.items()
            if state.own is not None
            and state.own.rate == state.rate
            and state.own.earliest_at >= observed_since
        )

    def list_limits(self, now: float) -> tuple[tuple[str, float, float], ...]:
        """Return incarnation, limit and own share (requests/s) of limited servers."""
        found = []
        for incarnation, state in self._state_by_incarnation.items():
            if state.rate is not None:
                state.refresh(self._fleet, now)
                found.append((incarnation, state.rate, state.share_rate))
        return tuple(found)

    def retain(self, incarnations: Collection[str], now: float) -> tuple[str, ...]:
        """Drop limits lifted for long, and incarnations unlisted for long.

        Return the latter.
        """
        for incarnation, state in self._state_by_incarnation.items():
            if incarnation in incarnations:
                state.absent_at = None
            elif state.absent_at is None:
                state.absent_at = now
        self._remove(
            incarnation
            for incarnation, state in self._state_by_incarnation.items()
            if state.rate is None
            and now - state.observation.latest_at >= LIFTED_RETENTION_S
        )
        return self._remove(
            incarnation
            for incarnation, state in self._state_by_incarnation.items()
            if state.absent_at is not None
            and now - state.absent_at >= ABSENT_RETENTION_S
        )

    def _remove(self, incarnations: Iterable[str]) -> tuple[str, ...]:
        removed = tuple(incarnations)
        for incarnation in removed:
            del self._state_by_incarnation[incarnation]
        return removed
