"""Servers that may receive a request, or why there are none. Pure."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from kingcupwheel.decisions.age_normalization import normalize_ages
from kingcupwheel.decisions.candidates import ALL_SERVERS_BACKING_OFF
from kingcupwheel.decisions.candidates import ALL_SERVERS_FULL
from kingcupwheel.decisions.candidates import ALL_SERVERS_LIMITED
from kingcupwheel.decisions.candidates import ALL_SERVERS_RUN_SUSPECTS
from kingcupwheel.decisions.candidates import ALL_SERVERS_TRIED
from kingcupwheel.decisions.candidates import NO_SERVER_IN_SERVICE
from kingcupwheel.decisions.candidates import UNTRIED_SERVERS_BACKING_OFF
from kingcupwheel.decisions.candidates import UNTRIED_SERVERS_FULL
from kingcupwheel.decisions.candidates import UNTRIED_SERVERS_LIMITED
from kingcupwheel.decisions.candidates import Candidate
from kingcupwheel.decisions.candidates import CombinedLimits
from kingcupwheel.decisions.candidates import NoServerAvailable
from kingcupwheel.decisions.candidates import PlacementRequest
from kingcupwheel.decisions.server_health import ServerState


if TYPE_CHECKING:
    from collections.abc import Sequence


UNAVAILABLE_STATES = frozenset(
    {
        ServerState.EJECTED,
        ServerState.BACKING_OFF,
        ServerState.RATE_LIMITED,
        ServerState.DOWN,
        ServerState.LEAVING,
    }
)
# States that end at a known time.
TIMED_STATES = frozenset({ServerState.BACKING_OFF, ServerState.RATE_LIMITED})


def select_eligible(
    candidates: Sequence[Candidate], request: PlacementRequest
) -> list[Candidate] | NoServerAvailable:
    """Return the servers that may receive ``request``, or why there are none."""
    normalized = normalize_ages(candidates)
    available = [
        candidate
        for candidate in normalized
        if candidate.state not in UNAVAILABLE_STATES
    ]
    if not available:
        return _explain_none_available(normalized, request)
    with_capacity = [candidate for candidate in available if not candidate.is_full]
    if not with_capacity:
        return _explain_none_with_capacity(normalized, request)
    untried = [
        candidate
        for candidate in with_capacity
        if candidate.name not in request.excluded_servers
    ]
    if not untried:
        return _explain_none_untried(normalized, available, request)
    if not request.is_suspect:
        return untried
    # If a server crashes with two suspects on it, the innocent one is blamed twice.
    # Kept apart, the second crash has a single possible cause.
    without_suspects = [
        candidate for candidate in untried if not candidate.running_suspects
    ]
    return without_suspects or ALL_SERVERS_RUN_SUSPECTS


def _explain_none_available(
    candidates: Sequence[Candidate], request: PlacementRequest
) -> NoServerAvailable:
    """Return why no server is available.

    Backoffs are the reason only if no ejected or silent server could return earlier.
    """
    not_leaving = [one for one in candidates if one.state is not ServerState.LEAVING]
    timed = [one for one in not_leaving if one.state in TIMED_STATES]
    if not timed or len(timed) < len(not_leaving):
        return NO_SERVER_IN_SERVICE
    untried = [one for one in timed if one.name not in request.excluded_servers]
    if not untried:
        return _with_times(ALL_SERVERS_TRIED, timed)
    if request.excluded_servers:
        return _explain_untried_timed(untried)
    if any(one.state is ServerState.RATE_LIMITED for one in untried):
        return _with_times(ALL_SERVERS_LIMITED, untried)
    return _with_times(ALL_SERVERS_BACKING_OFF, untried)


def _explain_none_with_capacity(
    candidates: Sequence[Candidate], request: PlacementRequest
) -> NoServerAvailable:
    """Return why no server has capacity, ignoring servers already tried."""
    untried = [
        one
        for one in candidates
        if one.state is not ServerState.LEAVING
        and one.name not in request.excluded_servers
    ]
    if untried and all(one.state in TIMED_STATES for one in untried):
        return _explain_untried_timed(untried)
    return ALL_SERVERS_FULL


def _explain_none_untried(
    candidates: Sequence[Candidate],
    available: Sequence[Candidate],
    request: PlacementRequest,
) -> NoServerAvailable:
    if not request.excluded_servers.issuperset(_names(available)):
        return UNTRIED_SERVERS_FULL
    timed = [
        one
        for one in candidates
        if one.state in TIMED_STATES and one.name not in request.excluded_servers
    ]
    return _explain_untried_timed(timed) if timed else ALL_SERVERS_TRIED


def _explain_untried_timed(untried: Sequence[Candidate]) -> NoServerAvailable:
    if any(one.state is ServerState.RATE_LIMITED for one in untried):
        return _with_times(UNTRIED_SERVERS_LIMITED, untried)
    return _with_times(UNTRIED_SERVERS_BACKING_OFF, untried)


def _with_times(
    reason: NoServerAvailable, timed: Sequence[Candidate]
) -> NoServerAvailable:
    """Add when the first of these servers becomes available, and their limits."""
    limited = [one for one in timed if one.state is ServerState.RATE_LIMITED]
    resting = [one for one in timed if one.state is ServerState.BACKING_OFF]
    rest_ends = [one.backoff_until for one in resting if one.limited_access is None]
    access = [one.limited_access for one in timed if one.limited_access is not None]
    return reason._replace(
        backoff_ends_at=min(one.backoff_until for one in timed),
        rate_limits=CombinedLimits(
            sum(one.rate for one in access),
            sum(one.total_rate for one in access),
            min(rest_ends, default=math.inf),
        )
        if limited
        else None,
    )


def _names(candidates: Sequence[Candidate]) -> set[str]:
    return {candidate.name for candidate in candidates}
