"""State of one server's rate limit at one entry: its value, share and probes."""

from __future__ import annotations

import math
from typing import NamedTuple

from kingcupwheel.decisions.limit_observations import LimitObservation
from kingcupwheel.decisions.limit_observations import merge_observations
from kingcupwheel.decisions.limit_shares import MIN_TOTAL_RATE
from kingcupwheel.decisions.limit_shares import EntryFleet
from kingcupwheel.decisions.limit_shares import LimitShare
from kingcupwheel.decisions.limit_shares import compute_share


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


class LimitState:
    """A rate limit of one incarnation of a server; not thread-safe.

    ``observation`` is the one in force, ``own`` the latest that this entry made itself.
    ``absent_at`` is when the incarnation was first found unlisted. The share is a token
    bucket. Times are monotonic seconds.
    """

    def __init__(
        self,
        incarnation: str,
        observation: LimitObservation,
        fleet: EntryFleet,
        now: float,
    ) -> None:
        self.observation = observation
        self.own: LimitObservation | None = None
        self.absent_at: float | None = None
        self._incarnation = incarnation
        self._fleet = fleet
        self._probed_at = -math.inf
        self._wanted_at = -math.inf
        self._wanted_since = -math.inf
        self._accrued_at = now
        self._share = self._compute_share()
        self._tokens = self._initial_tokens()

    @property
    def rate(self) -> float | None:
        """The limit in requests per second, None once it is lifted."""
        return self.observation.rate

    @property
    def share_rate(self) -> float:
        """The entry's share in requests per second."""
        return self._share.rate

    def record(self, observed: LimitObservation, now: float) -> bool:
        """Use an observation if it is newer; return whether the limit changes."""
        before = self.observation
        self.observation = merge_observations(before, observed)
        if self.observation.rate == before.rate:
            return False
        self._update_share(now)
        if before.rate is None:
            self._tokens = self._initial_tokens()
        return True

    def refresh(self, fleet: EntryFleet, now: float) -> None:
        """Accrue tokens until now, then use ``fleet``."""
        if fleet == self._fleet:
            self._accrue(now)
            return
        self._fleet = fleet
        self._update_share(now)

    def get_access(self, now: float) -> LimitedAccess:
        """Return what a request that could use the server may do; ``refresh`` first."""
        self._mark_wanted(now)
        is_probe_due = self._fleet.is_settled and self._is_probe_due(now)
        available_at = self._available_at(now, is_probe_due=is_probe_due)
        return LimitedAccess(
            available_at,
            self._share.rate,
            max(self.rate or 0.0, MIN_TOTAL_RATE),
            is_probe_due and available_at <= now,
        )

    def acquire(self, now: float) -> None:
        """Consume one request; only if ``get_access`` allows one."""
        if self._is_probe_due(now):
            self._probed_at = now
        if self._share.is_holder:
            self._tokens -= 1.0

    def _available_at(self, now: float, *, is_probe_due: bool) -> float:
        if not self._fleet.is_settled:
            return math.inf
        if not self._share.is_holder:
            return now if is_probe_due else math.inf
        return now + max(0.0, (1.0 - self._tokens) / self._share.rate)

    def _is_probe_due(self, now: float) -> bool:
        turn_s = PROBE_AFTER_S + self._share.rank * PROBE_INTERVAL_S
        round_s = PROBE_AFTER_S + len(self._fleet.names) * PROBE_INTERVAL_S
        unheard_since = max(self.observation.latest_at, self._wanted_since)
        return now - unheard_since >= turn_s and now - self._probed_at >= round_s

    def _mark_wanted(self, now: float) -> None:
        if now - self._wanted_at > MAX_DEMAND_GAP_S:
            self._wanted_since = now
        self._wanted_at = now

    def _compute_share(self) -> LimitShare:
        rate = self.observation.effective_rate
        return compute_share(self._incarnation, rate, self._fleet)

    def _initial_tokens(self) -> float:
        """Return the first tokens, which spread the holders' first requests.

        All holders' first tokens are complete within the time that the limit takes for
        them.
        """
        if not self._share.is_holder:
            return 0.0
        return 1.0 - (self._share.rank + 1) / self._share.holder_count

    def _update_share(self, now: float) -> None:
        """Use the limit and the fleet as known now; a new holder starts empty."""
        self._accrue(now)
        was_holder = self._share.is_holder
        if self.rate is not None:
            self._share = self._compute_share()
        if not (was_holder and self._share.is_holder):
            self._tokens = 0.0
        self._tokens = min(self._tokens, self._share.burst)

    def _accrue(self, now: float) -> None:
        passed_s = max(0.0, now - self._accrued_at)
        self._tokens = min(
            self._share.burst, self._tokens + passed_s * self._share.rate
        )
        self._accrued_at = now
