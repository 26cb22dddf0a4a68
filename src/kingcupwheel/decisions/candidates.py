"""Inputs and results of placement: servers, requests and selections."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.decisions.server_health import ServerState


if TYPE_CHECKING:
    from kingcupwheel.decisions.limit_state import LimitedAccess

# A server that has just started has cold caches: with its full share of requests at
# once, the first ones on it would be the slowest of the group.
SLOW_START_S = 15.0
_SLOW_START_MIN_FRACTION = 0.1

# Fraction of its capacity used on a slow server. Not 0: it still answers, and a group
# that drops its slow servers overloads the others until they are slow too.
SLOW_CAPACITY_FRACTION = 0.4

# A server whose report is older may be down; its effective capacity shrinks with each
# further second, so that requests move away before the link times out.
REPORT_FRESH_S = 2.0

# Load added to a server of another data centre. It is below one request of 16: the
# distance costs about a millisecond once per answer, while one more request in a batch
# costs about as much for every token.
REMOTE_LOAD_PENALTY = 0.05


@dataclass(frozen=True, slots=True)
class Candidate:
    """A server that placement may select, as one entry sees it.

    ``running``, ``queued``, ``capacity``, ``work`` (tokens) and ``work_per_s`` (tokens
    per second) come from its agent's last load report, ``report_age_s`` old.
    ``own_in_flight`` is this entry's attempts on it now, ``own_in_flight_at_report``
    those when the report arrived. ``running_suspects`` is the number of crash suspects
    that this entry knows to run on it. ``backoff_until`` is the end of a backoff that
    the server requested (monotonic seconds). ``limited_access`` is what the entry may
    send under the server's rate limit, None without one.
    """

    name: str
    data_centre: str
    capacity: int
    running: int = 0
    queued: int = 0
    work: float = 0.0
    work_per_s: float = 0.0
    own_in_flight: int = 0
    report_age_s: float = 0.0
    uptime_s: float = 3600.0
    state: ServerState = ServerState.HEALTHY
    own_in_flight_at_report: int = 0
    running_suspects: int = 0
    backoff_until: float = 0.0
    limited_access: LimitedAccess | None = None

    @property
    def estimated_in_flight(self) -> float:
        """Estimated number of attempts on the server now.

        Several entries send to a server between two of its reports. If each counted
        only its own attempts, they would together send many times the capacity, and
        requests would wait there past their deadlines. The change in this entry's own
        attempts since the report is therefore scaled by the ratio of all reported
        attempts to its own.
        """
        reported = self.running + self.queued
        scale = (reported + 1) / (self.own_in_flight_at_report + 1)
        change = (self.own_in_flight - self.own_in_flight_at_report) * max(1.0, scale)
        return max(reported + change, float(self.own_in_flight))

    @property
    def effective_capacity(self) -> float:
        """Capacity reduced during slow start, while slow and with an old report."""
        fraction = 1.0
        if self.uptime_s < SLOW_START_S:
            fraction *= max(_SLOW_START_MIN_FRACTION, self.uptime_s / SLOW_START_S)
        if self.state is ServerState.SLOW:
            fraction *= SLOW_CAPACITY_FRACTION
        if self.report_age_s > REPORT_FRESH_S:
            fraction *= REPORT_FRESH_S / self.report_age_s
        return max(1.0, self.capacity * fraction)

    @property
    def load(self) -> float:
        """Estimated attempts per unit of effective capacity; 1 is full."""
        return self.estimated_in_flight / self.effective_capacity

    @property
    def load_with_next(self) -> float:
        """Load with one more attempt; ranks idle servers of unequal capacity."""
        return (self.estimated_in_flight + 1) / self.effective_capacity

    @property
    def is_full(self) -> bool:
        """Whether another attempt would have to wait at the server."""
        return self.load >= 1.0

    @property
    def is_idle(self) -> bool:
        """Whether the server is estimated to have no attempt in flight."""
        return self.estimated_in_flight <= 0.0


class PlacementRequest(NamedTuple):
    """A request to be placed on a server.

    ``prefix_key`` identifies the prompt's prefix (empty: no affinity), ``work`` is
    predicted tokens, ``excluded_servers`` the servers already tried. A crash suspect
    (``is_suspect``) is kept apart from other suspects. ``data_centre`` is the entry's
    own. ``remote_load_penalty`` is added to the load of servers in other data centres;
    with ``prefers_local`` one of the two sampled servers is from the entry's own.
    """

    prefix_key: str = ""
    work: float = 0.0
    excluded_servers: frozenset[str] = frozenset()
    is_suspect: bool = False
    data_centre: str = ""
    is_repeatable: bool = True
    remote_load_penalty: float = REMOTE_LOAD_PENALTY
    prefers_local: bool = False


class CandidateLoad(NamedTuple):
    """Load of a server at the time it was considered."""

    server: str
    load: float


class SelectedServer(NamedTuple):
    """The server selected for a request; ``reason`` is recorded in the trace."""

    server: str
    reason: str
    alternatives: tuple[CandidateLoad, ...] = ()


class CombinedLimits(NamedTuple):
    """What the rate limits of several servers allow.

    ``rate`` is this entry's share of all of them, ``total_rate`` that of all entries
    (requests/s). ``all_backoffs_end_at`` is when the first server without a limit ends
    its backoff, infinite if there is none.
    """

    rate: float
    total_rate: float
    all_backoffs_end_at: float = math.inf


class NoServerAvailable(NamedTuple):
    """No server can be selected now; ``reason`` is one of a few fixed texts.

    If ``applies_to_all`` is False, other requests may still be placed, and this one
    must not block those queued behind it. ``backoff_ends_at`` is the earliest end of a
    server's backoff, or time at which a rate limit allows a request, set if no server
    can become available before it. ``rate_limits`` are what the limits among them
    allow, None if there are only backoffs.
    """

    reason: str
    applies_to_all: bool
    backoff_ends_at: float | None = None
    rate_limits: CombinedLimits | None = None

    def available_at(self, requests_ahead: int) -> float | None:
        """Return when a request behind ``requests_ahead`` others can be placed.

        None if a server may become available earlier than its backoff or limit allows.
        """
        if self.backoff_ends_at is None or self.rate_limits is None:
            return self.backoff_ends_at
        limits = self.rate_limits
        if limits.rate <= 0.0:
            return limits.all_backoffs_end_at
        at = self.backoff_ends_at + requests_ahead / limits.rate
        return min(at, limits.all_backoffs_end_at)


NO_SERVER_IN_SERVICE = NoServerAvailable("no server is in service", applies_to_all=True)
ALL_SERVERS_FULL = NoServerAvailable("every server is full", applies_to_all=True)
ALL_SERVERS_TRIED = NoServerAvailable("every server was tried", applies_to_all=False)
UNTRIED_SERVERS_FULL = NoServerAvailable(
    "every untried server is full", applies_to_all=False
)
ALL_SERVERS_BACKING_OFF = NoServerAvailable(
    "every server rests or leaves", applies_to_all=True
)
UNTRIED_SERVERS_BACKING_OFF = NoServerAvailable(
    "every untried server rests or leaves", applies_to_all=False
)
ALL_SERVERS_LIMITED = NoServerAvailable(
    "every server is at its rate limit, rests or leaves", applies_to_all=True
)
UNTRIED_SERVERS_LIMITED = NoServerAvailable(
    "every untried server is at its rate limit, rests or leaves", applies_to_all=False
)
ALL_SERVERS_RUN_SUSPECTS = NoServerAvailable(
    "every server runs another suspect", applies_to_all=False
)
