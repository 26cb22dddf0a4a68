"""Server selection by power of two random choices."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

from kingcupwheel.decisions.candidates import ALL_SERVERS_FULL
from kingcupwheel.decisions.candidates import UNTRIED_SERVERS_FULL
from kingcupwheel.decisions.candidates import Candidate
from kingcupwheel.decisions.candidates import CandidateLoad
from kingcupwheel.decisions.candidates import NoServerAvailable
from kingcupwheel.decisions.candidates import PlacementRequest
from kingcupwheel.decisions.candidates import SelectedServer
from kingcupwheel.decisions.eligibility import select_eligible
from kingcupwheel.decisions.hashing import stable_hash
from kingcupwheel.decisions.load_reports import correct_load_reports
from kingcupwheel.decisions.server_health import ServerState
from kingcupwheel.plugins.registries import placement_policies


if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random


# Two samples give most of the gain over one. If every server were compared, all entries
# would pick the same one from load reports of the same second.
SAMPLED_SERVERS = 2

# Fraction of the repeatable requests sent to a probed server: at 9 requests per second
# an entry probes about every 5 s.
PROBE_SHARE = 0.02

# Load added to a failing server that is not ejected. It fails immediately and therefore
# looks idle, so that it would attract most requests. With the penalty it receives only
# what the others have little capacity for, and the limit on ejections can hold.
FAILING_LOAD_PENALTY = 0.8

# A prefix's affinity server may exceed the mean load by this margin: a cached prefix
# saves the work of the prompt, but a longer wait soon costs more.
AFFINITY_LOAD_MARGIN = 0.25
AFFINITY_MAX_LOAD = 0.9


class PlacementPolicy(Protocol):
    """Placement plug-in; one object serves one group at one entry."""

    def place(
        self,
        candidates: Sequence[Candidate],
        request: PlacementRequest,
        now: float,
        rng: Random,
    ) -> SelectedServer | NoServerAvailable:
        """Select one of the group's servers in the entry's subset."""


@placement_policies.register("two-choices")
class TwoChoicesPolicy:
    """Selects the less loaded of two random servers, or the prefix's affinity server.

    Hundreds of entries place requests on the same servers by load reports up to a
    second old. If each selected the least loaded server, all would select the same one
    and overload it until its next report. Two random choices avoid that and need no
    exact loads. The affinity server of a prefix is used while it has spare capacity.
    """

    def place(
        self,
        candidates: Sequence[Candidate],
        request: PlacementRequest,
        now: float,
        rng: Random,
    ) -> SelectedServer | NoServerAvailable:
        """Select a server; ``now`` is unused, since the candidates contain ages."""
        eligible = select_eligible(correct_load_reports(candidates), request)
        if isinstance(eligible, NoServerAvailable):
            return eligible
        unprobed, probed = _split_probed(eligible)
        if probed and (not unprobed or _should_probe(request, rng)):
            return SelectedServer(rng.choice(probed).name, "probe of an ejected server")
        unprobed = _prefer_unlimited(unprobed)
        if not unprobed:
            # Only busy probed servers are left; other servers may be closed to this
            # request alone.
            return (
                UNTRIED_SERVERS_FULL
                if request.excluded_servers or request.is_suspect
                else ALL_SERVERS_FULL
            )
        limit_probe = _find_limit_probe(eligible, request)
        if limit_probe is not None:
            return SelectedServer(limit_probe.name, "probe of a rate limit")
        affinity_server = self._find_affinity_server(unprobed, request)
        if affinity_server is not None:
            return SelectedServer(
                affinity_server.name,
                "home of the prefix",
                _list_loads([affinity_server]),
            )
        sampled = _sample_pair(unprobed, request, rng)
        best = min(sampled, key=lambda candidate: _compute_cost(candidate, request))
        others = [candidate for candidate in sampled if candidate is not best]
        reason = "less loaded of two" if others else "the only one with room"
        return SelectedServer(best.name, reason, _list_loads([best, *others]))

    @staticmethod
    def _find_affinity_server(
        unprobed: Sequence[Candidate], request: PlacementRequest
    ) -> Candidate | None:
        """Return the prefix's server by rendezvous hashing, if it has spare capacity.

        Without the load limit, the server of a popular prefix would be overloaded while
        others are idle.
        """
        if not request.prefix_key or request.is_suspect:
            return None
        not_failing = [one for one in unprobed if one.state is not ServerState.FAILING]
        if not not_failing:
            return None
        preferred = max(
            not_failing, key=lambda one: stable_hash(request.prefix_key, one.name)
        )
        mean_load = sum(candidate.load for candidate in unprobed) / len(unprobed)
        if preferred.load > min(AFFINITY_MAX_LOAD, mean_load + AFFINITY_LOAD_MARGIN):
            return None
        return preferred


def _split_probed(
    eligible: Sequence[Candidate],
) -> tuple[list[Candidate], list[Candidate]]:
    unprobed = [one for one in eligible if one.state is not ServerState.PROBING]
    probed = [one for one in eligible if one.state is ServerState.PROBING]
    return unprobed, [one for one in probed if one.own_in_flight == 0]


def _prefer_unlimited(servers: list[Candidate]) -> list[Candidate]:
    """Return the servers without a rate limit, or all if there are none.

    A share of a limit is kept for requests that no other server has capacity for.
    """
    return [one for one in servers if one.limited_access is None] or servers


def _find_limit_probe(
    eligible: Sequence[Candidate], request: PlacementRequest
) -> Candidate | None:
    """Return a server from which no entry has heard for long, if there is one.

    The other servers may take all requests, so that nobody would learn that a server
    has lifted its limit.
    """
    if request.is_suspect:
        return None
    due = [
        one
        for one in eligible
        if one.limited_access is not None and one.limited_access.is_probe_due
    ]
    return due[0] if due else None


def _should_probe(request: PlacementRequest, rng: Random) -> bool:
    # A probe may fail, so that only repeatable requests are used.
    return (
        request.is_repeatable and not request.is_suspect and rng.random() < PROBE_SHARE
    )


def _sample_pair(
    servers: Sequence[Candidate], request: PlacementRequest, rng: Random
) -> list[Candidate]:
    """Sample two different servers, weighted by effective capacity."""
    if len(servers) <= SAMPLED_SERVERS:
        return list(servers)
    local = [one for one in servers if one.data_centre == request.data_centre]
    first = _sample_one(local if request.prefers_local and local else servers, rng)
    return [first, _sample_one([one for one in servers if one is not first], rng)]


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
