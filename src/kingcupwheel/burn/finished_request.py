"""One finished request as the burn counts see it, and how it is judged."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.burn.goals import Indicator
from kingcupwheel.burn.minute_counts import EventCount
from kingcupwheel.messages.attempts import Outcome


if TYPE_CHECKING:
    from collections.abc import Sequence

    from kingcupwheel.manifest.schema import Goals

# From here on a status is the system's or the server's doing; below it a refusal is
# what the caller asked for (a bad key, an allowance used up, a connection it closed).
_MIN_SERVICE_FAULT_STATUS = 500


class FinishedRequest(NamedTuple):
    """A request with its final outcome.

    ``route`` is ``goals.route_name``'s; ``status`` is the HTTP status told to the
    caller and ``reason`` a few machine-readable words, such as a refusal's limit.
    ``first_byte_s`` counts from arrival, None if no byte came; ``gaps_s`` are the times
    between chunks. ``caller_left`` tells that nobody waited for the end.
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
    """Return what the request adds to each indicator; absent ones count nothing.

    A refusal for a reason of the caller's own, and a caller that left, say nothing of
    the service: they would hide an outage behind a flood of 429, or make one up.
    """
    counts = {}
    if _counts_for_availability(finished_request):
        good = finished_request.outcome is Outcome.RAN
        counts[Indicator.AVAILABILITY] = EventCount(1, 0 if good else 1)
    if finished_request.first_byte_s is not None:
        late = finished_request.first_byte_s > goals.first_token_s
        counts[Indicator.FIRST_TOKEN] = EventCount(1, int(late))
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
