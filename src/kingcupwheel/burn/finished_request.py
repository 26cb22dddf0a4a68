"""A finished request and its evaluation against service-level goals."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.burn.goals import Indicator
from kingcupwheel.burn.minute_counts import EventCount
from kingcupwheel.messages.attempts import Outcome


if TYPE_CHECKING:
    from collections.abc import Sequence

    from kingcupwheel.manifest.schema import Goals

# From this status on the system or the server is at fault. Lower statuses are refusals
# that the caller caused: a bad key, an exceeded allowance or a closed connection.
_MIN_SERVICE_FAULT_STATUS = 500


class FinishedRequest(NamedTuple):
    """A request with its final outcome.

    ``route`` is from ``goals.build_route_name``, ``status`` is the HTTP status sent to
    the caller, and ``reason`` is a machine-readable code such as a refusal's limit.
    ``first_byte_s`` is the time from arrival to the first byte, None without one;
    ``gaps_s`` are the times between chunks. ``caller_left`` is True if the caller
    disconnected before the end.
    """

    organisation: str
    route: str
    group: str
    server: str
    outcome: Outcome
    status: int
    reason: str
    first_byte_s: float | None = None
    gaps_s: Sequence[float] = ()
    caller_left: bool = False


def count_by_indicator(
    finished_request: FinishedRequest, goals: Goals
) -> dict[Indicator, EventCount]:
    """Return the request's counts by indicator; others do not apply to it.

    Refusals that the caller caused, and callers that left, are not counted: a flood of
    429 would hide an outage, and disconnects would look like one.
    """
    counts = {}
    if _counts_for_availability(finished_request):
        is_good = finished_request.outcome is Outcome.RAN
        counts[Indicator.AVAILABILITY] = EventCount(1, 0 if is_good else 1)
    if finished_request.first_byte_s is not None:
        is_late = finished_request.first_byte_s > goals.first_token_s
        counts[Indicator.FIRST_TOKEN] = EventCount(1, int(is_late))
    if finished_request.gaps_s:
        limit_s = goals.token_gap_ms / 1000
        late_gaps = sum(1 for gap_s in finished_request.gaps_s if gap_s > limit_s)
        counts[Indicator.TOKEN_GAP] = EventCount(
            len(finished_request.gaps_s), late_gaps
        )
    return counts


def _counts_for_availability(finished_request: FinishedRequest) -> bool:
    match finished_request.outcome:
        case Outcome.RAN:
            return True
        case Outcome.NOT_RUN:
            return (
                finished_request.status >= _MIN_SERVICE_FAULT_STATUS
                and not finished_request.caller_left
            )
        case Outcome.UNKNOWN:
            return not finished_request.caller_left
