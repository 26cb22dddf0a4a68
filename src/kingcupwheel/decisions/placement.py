"""Chooses a server for a request: two random choices, with what is known of each."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

from kingcupwheel.decisions.age_normalization import normalize_ages
from kingcupwheel.decisions.candidates import ALL_SERVERS_BACKING_OFF
from kingcupwheel.decisions.candidates import ALL_SERVERS_FULL
from kingcupwheel.decisions.candidates import ALL_SERVERS_RUN_SUSPECTS
from kingcupwheel.decisions.candidates import ALL_SERVERS_TRIED
from kingcupwheel.decisions.candidates import NO_SERVER_IN_SERVICE
from kingcupwheel.decisions.candidates import UNTRIED_SERVERS_BACKING_OFF
from kingcupwheel.decisions.candidates import UNTRIED_SERVERS_FULL
from kingcupwheel.decisions.candidates import Candidate
from kingcupwheel.decisions.candidates import CandidateLoad
from kingcupwheel.decisions.candidates import NoServerAvailable
from kingcupwheel.decisions.candidates import PlacementRequest
from kingcupwheel.decisions.candidates import SelectedServer
from kingcupwheel.decisions.hashing import stable_hash
from kingcupwheel.decisions.load_reports import correct_load_reports
from kingcupwheel.decisions.server_health import ServerState
from kingcupwheel.plugins.kernel import placement_policies


if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random


# Servers drawn for a choice. Two give most of the gain over one; with every server
# compared, all entries would pick the same one from reports of the same second.
SAMPLED_SERVERS = 2

UNAVAILABLE_STATES = frozenset(
    {
        ServerState.EJECTED,
        ServerState.BACKING_OFF,
        ServerState.DOWN,
        ServerState.LEAVING,
    }
)

# Requests that go to a server on probe, as a share of the repeatable ones: at nine
# requests a second an entry probes about every five seconds.
PROBE_SHARE = 0.02

# A server that fails and may not be ejected counts as this much fuller. Without, it is
# the emptiest of all, since it fails at once, and draws most requests; so it gets what
# the others have hardly room for, and the guard against mass ejection still holds.
FAILING_LOAD_PENALTY = 0.8

# The home of a prefix may be this much fuller than the mean: a cached prefix saves the
# prompt's work, which a longer wait soon eats up.
AFFINITY_LOAD_MARGIN = 0.25
AFFINITY_MAX_LOAD = 0.9


class PlacementPolicy(Protocol):
    """A placement plug-in; one instance serves one group at one entry."""

    def place(
        self,
        candidates: Sequence[Candidate],
        request: PlacementRequest,
        now: float,
        rng: Random,
    ) -> SelectedServer | NoServerAvailable:
        """Choose a server among the group's that are within the entry's subset."""


def select_eligible(
    candidates: Sequence[Candidate], request: PlacementRequest
) -> list[Candidate] | NoServerAvailable:
    """Return the servers that may be given ``request``, or why there are none."""
    known = normalize_ages(candidates)
    up = [candidate for candidate in known if candidate.state not in UNAVAILABLE_STATES]
    if not up:
        return _explain_none_up(known, request)
    with_room = [candidate for candidate in up if not candidate.is_full]
    if not with_room:
        return _explain_none_with_capacity(known, request)
    untried = [
        candidate
        for candidate in with_room
        if candidate.name not in request.excluded_servers
    ]
    if not untried:
        return _explain_none_untried(known, up, request)
    if not request.is_suspect:
        return untried
    # Failure: two suspects on one server, which dies. Symptom: the innocent one is
    # blamed twice. Apart, the second death leaves a single cause.
    alone = [candidate for candidate in untried if not candidate.running_suspects]
    return alone or ALL_SERVERS_RUN_SUSPECTS


def _explain_none_up(
    known: Sequence[Candidate], request: PlacementRequest
) -> NoServerAvailable:
    """Return what stands in the way of all; an ejected or silent server may be back."""
    waited_for = [one for one in known if one.state is not ServerState.LEAVING]
    rests = [one for one in waited_for if one.state is ServerState.BACKING_OFF]
    if not rests or len(rests) < len(waited_for):
        return NO_SERVER_IN_SERVICE
    untried = [one for one in rests if one.name not in request.excluded_servers]
    if not untried:
        return ALL_SERVERS_TRIED._replace(backoff_ends_at=_earliest_backoff_end(rests))
    reason = (
        UNTRIED_SERVERS_BACKING_OFF
        if request.excluded_servers
        else ALL_SERVERS_BACKING_OFF
    )
    return reason._replace(backoff_ends_at=_earliest_backoff_end(untried))


def _explain_none_with_capacity(
    known: Sequence[Candidate], request: PlacementRequest
) -> NoServerAvailable:
    """Return what stands in the way; room on a server already tried is no help."""
    waited_for = [
        one
        for one in known
        if one.state is not ServerState.LEAVING
        and one.name not in request.excluded_servers
    ]
    if waited_for and all(one.state is ServerState.BACKING_OFF for one in waited_for):
        return UNTRIED_SERVERS_BACKING_OFF._replace(
            backoff_ends_at=_earliest_backoff_end(waited_for)
        )
    return ALL_SERVERS_FULL


def _explain_none_untried(
    known: Sequence[Candidate], up: Sequence[Candidate], request: PlacementRequest
) -> NoServerAvailable:
    if not request.excluded_servers.issuperset(_names(up)):
        return UNTRIED_SERVERS_FULL
    rests = [
        one
        for one in known
        if one.state is ServerState.BACKING_OFF
        and one.name not in request.excluded_servers
    ]
    if not rests:
        return ALL_SERVERS_TRIED
    return UNTRIED_SERVERS_BACKING_OFF._replace(
        backoff_ends_at=_earliest_backoff_end(rests)
    )


def _earliest_backoff_end(rests: Sequence[Candidate]) -> float:
    return min(one.backoff_until for one in rests)


@placement_policies.register("two-choices")
class TwoChoicesPolicy:
    """The less loaded of two random servers, unless the prefix has a home with room.

    Load: some hundred entries place on the same servers by reports a second old. Harm
    prevented: each choosing the least loaded server of its own view, all choose the
    same one, which is overrun until the next report. Two random choices never do that,
    and need no exact figures.
    """

    def place(
        self,
        candidates: Sequence[Candidate],
        request: PlacementRequest,
        now: float,
        rng: Random,
    ) -> SelectedServer | NoServerAvailable:
        """Choose a server; ``now`` is not needed, since ages are in the candidates."""
        able = select_eligible(correct_load_reports(candidates), request)
        if isinstance(able, NoServerAvailable):
            return able
        proven, probed = _split_probed(able)
        if probed and (not proven or _should_probe(request, rng)):
            return SelectedServer(rng.choice(probed).name, "probe of an ejected server")
        if not proven:
            # Only busy probed servers are left for this request.
            return (
                UNTRIED_SERVERS_FULL
                if request.excluded_servers or request.is_suspect
                else ALL_SERVERS_FULL
            )
        home = self._find_affinity_server(proven, request)
        if home is not None:
            return SelectedServer(home.name, "home of the prefix", _list_loads([home]))
        drawn = _sample_pair(proven, request, rng)
        best = min(drawn, key=lambda candidate: _compute_cost(candidate, request))
        others = [candidate for candidate in drawn if candidate is not best]
        why = "less loaded of two" if others else "the only one with room"
        return SelectedServer(best.name, why, _list_loads([best, *others]))

    @staticmethod
    def _find_affinity_server(
        proven: Sequence[Candidate], request: PlacementRequest
    ) -> Candidate | None:
        """Return the prefix's home by rendezvous hashing, if it has room to spare.

        Load: many requests that begin alike. Harm prevented: without the bound the home
        of a popular prefix is overrun while others idle.
        """
        if not request.prefix_key or request.is_suspect:
            return None
        sound = [one for one in proven if one.state is not ServerState.FAILING]
        if not sound:
            return None
        home = max(sound, key=lambda one: stable_hash(request.prefix_key, one.name))
        mean = sum(candidate.load for candidate in proven) / len(proven)
        if home.load > min(AFFINITY_MAX_LOAD, mean + AFFINITY_LOAD_MARGIN):
            return None
        return home


def _names(candidates: Sequence[Candidate]) -> set[str]:
    return {candidate.name for candidate in candidates}


def _split_probed(able: Sequence[Candidate]) -> tuple[list[Candidate], list[Candidate]]:
    proven = [one for one in able if one.state is not ServerState.PROBING]
    probed = [one for one in able if one.state is ServerState.PROBING]
    return proven, [one for one in probed if one.own_in_flight == 0]


def _should_probe(request: PlacementRequest, rng: Random) -> bool:
    # A probe may fail; only what may be run again is risked.
    return (
        request.is_repeatable and not request.is_suspect and rng.random() < PROBE_SHARE
    )


def _sample_pair(
    proven: Sequence[Candidate], request: PlacementRequest, rng: Random
) -> list[Candidate]:
    """Draw two different servers, each as often as it has room."""
    if len(proven) <= SAMPLED_SERVERS:
        return list(proven)
    near = [one for one in proven if one.data_centre == request.data_centre]
    first = _sample_one(near if request.prefers_local and near else proven, rng)
    return [first, _sample_one([one for one in proven if one is not first], rng)]


def _sample_one(servers: Sequence[Candidate], rng: Random) -> Candidate:
    return rng.choices(
        servers, [candidate.effective_capacity for candidate in servers]
    )[0]


def _compute_cost(candidate: Candidate, request: PlacementRequest) -> float:
    cost = candidate.load_with_next
    if candidate.data_centre != request.data_centre:
        cost += request.remote_load_penalty
    if candidate.state is ServerState.FAILING:
        cost += FAILING_LOAD_PENALTY
    return cost


def _list_loads(candidates: Sequence[Candidate]) -> tuple[CandidateLoad, ...]:
    return tuple(CandidateLoad(one.name, round(one.load, 3)) for one in candidates)
