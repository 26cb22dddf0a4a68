"""What placement knows of a server, and what it is asked."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from kingcupwheel.decisions.server_health import ServerState


# A server that has just started has empty caches and has to warm up: given its whole
# part at once, the first requests on it are the slowest of the group.
SLOW_START_S = 15.0
_SLOW_START_MIN_FRACTION = 0.1

# A slow server is given this part of its capacity. Not nothing: it still answers, and
# a group that loses every slow server loads the others until they are slow too.
SLOW_CAPACITY_FRACTION = 0.4

# A report older than this is from a server that may be silent; its room counts for less
# with each further second, so that work drifts away before the link is given up.
REPORT_FRESH_S = 2.0


# A server of another data centre counts as this much fuller, less than one request of
# 16: it is about a millisecond further, once for each answer, while one more request in
# a batch costs as much for each of its tokens.
REMOTE_LOAD_PENALTY = 0.05


@dataclass(frozen=True, slots=True)
class Candidate:
    """A server as one entry sees it.

    ``running``, ``queued``, ``capacity``, ``work`` (tokens) and ``rate`` (tokens per
    second) are from its agent's last report, ``heard_age_s`` old. ``own_in_flight``
    counts this entry's attempts on it now, ``own_at_report`` those it had when the
    report came. ``started_age_s`` is how long its server has been up,
    ``suspects_running`` how many suspects this entry knows to run on it. One that
    rests does so until ``rests_until`` (monotonic).
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

    @property
    def estimated_in_flight(self) -> float:
        """Attempts on the server now, as far as the entry can know.

        Load: several entries hand over to a server between two of its reports. Harm
        prevented: each counts only its own, and together they send it many times what
        it has places for, to wait there past their deadlines. What this entry did since
        the report is therefore scaled by its part of what the report held.
        """
        reported = self.running + self.queued
        scale = (reported + 1) / (self.own_in_flight_at_report + 1)
        change = (self.own_in_flight - self.own_in_flight_at_report) * max(1.0, scale)
        return max(reported + change, float(self.own_in_flight))

    @property
    def effective_capacity(self) -> float:
        """The capacity to count on, less than ``capacity`` when in doubt."""
        part = 1.0
        if self.uptime_s < SLOW_START_S:
            part *= max(_SLOW_START_MIN_FRACTION, self.uptime_s / SLOW_START_S)
        if self.state is ServerState.SLOW:
            part *= SLOW_CAPACITY_FRACTION
        if self.report_age_s > REPORT_FRESH_S:
            part *= REPORT_FRESH_S / self.report_age_s
        return max(1.0, self.capacity * part)

    @property
    def load(self) -> float:
        """Attempts held per place to count on; 1 is full."""
        return self.estimated_in_flight / self.effective_capacity

    @property
    def load_with_next(self) -> float:
        """The load with one more attempt, which tells idle servers of unequal room."""
        return (self.estimated_in_flight + 1) / self.effective_capacity

    @property
    def is_full(self) -> bool:
        """Whether a further attempt would have to wait at the server."""
        return self.load >= 1.0

    @property
    def is_idle(self) -> bool:
        """Whether the server holds no attempt, as far as the entry can know."""
        return self.estimated_in_flight <= 0.0


class PlacementRequest(NamedTuple):
    """What is to be placed.

    ``prefix_key`` names the beginning of the prompt (empty: no affinity), ``work`` is
    predicted tokens, ``avoid`` the servers already tried. A ``suspect`` runs where no
    other suspect does. ``data_centre`` is the entry's own. ``far_load`` is how much
    fuller a server of another one counts; with ``near_first`` one of the two choices is
    drawn from the entry's own data centre.
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
    """A server that was weighed, and its load when it was."""

    server: str
    load: float


class SelectedServer(NamedTuple):
    """Give it to ``server``; ``why`` is a short reason for the trace."""

    server: str
    reason: str
    alternatives: tuple[CandidateLoad, ...] = ()


class NoServerAvailable(NamedTuple):
    """No server can take it now; ``reason`` is short and fixed.

    ``for_all`` tells that any other request would meet the same. If it is False, only
    this one has to be set aside, and must not hold up those behind it. ``rest_over_at``
    is when the first rest ends, where nothing else could help sooner.
    """

    reason: str
    applies_to_all: bool
    backoff_ends_at: float | None = None


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
ALL_SERVERS_RUN_SUSPECTS = NoServerAvailable(
    "every server runs another suspect", applies_to_all=False
)
