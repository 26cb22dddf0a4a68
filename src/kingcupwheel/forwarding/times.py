"""How long a request, its first byte and its server's silence may take. Pure.

All times are monotonic seconds unless they end in ``_s`` as a span.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from kingcupwheel.forwarding.configuration import ForwardRoute

# Taken off the time that a caller waits, for the way there and back and a late timer.
WAY_S = 0.04

# Callers leave a stream that sends nothing for so long, or for the larger of these
# multiples of its aim and its longest good pause.
STREAM_PATIENCE_S = 2.0
_PATIENCE_AIMS = 4.0
_PATIENCE_GAPS = 8.0

# A stream's server that sends nothing for this part of its caller's patience is given
# up while another one can still go on in time.
STREAM_SILENCE_PART = 0.55
# The same for plain answers that may be had from another server, as a part of the time.
PLAIN_SILENCE_PART = 0.45


class Times(NamedTuple):
    """When a request is over, and when its first byte must be on its way.

    ``silence_s`` is how long a server may send nothing before another one is tried.
    """

    over_at: float
    first_by: float
    silence_s: float


def times_of(route: ForwardRoute, received_at: float, wait_s: float | None) -> Times:
    """Return the times of a request that came at ``received_at``.

    Failure: a request waits for longer than its caller does. Symptom: a server works
    for nobody while others wait. The caller's own wait and the route's time both bound
    it; a stream's caller also leaves when nothing comes.
    """
    whole_s = route.timeout_s if wait_s is None else min(route.timeout_s, wait_s)
    over_at = received_at + whole_s - WAY_S
    if not route.is_streamed:
        silence_s = whole_s
        if route.is_idempotent and route.max_servers > 1:
            silence_s = whole_s * PLAIN_SILENCE_PART
        return Times(over_at, over_at, silence_s)
    patience_s = max(
        STREAM_PATIENCE_S,
        _PATIENCE_AIMS * route.target_latency_s,
        _PATIENCE_GAPS * route.max_event_gap_s,
    )
    first_by = min(over_at, received_at + patience_s - WAY_S)
    silence_s = patience_s
    if route.is_resumable and route.max_servers > 1:
        silence_s = patience_s * STREAM_SILENCE_PART
    return Times(over_at, first_by, silence_s)
