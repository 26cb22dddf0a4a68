"""How long a request, its first byte and its server's silence may take. Pure.

All times are monotonic seconds unless they end in ``_s`` as a span.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from kingcupwheel.forwarding.configuration import ForwardRoute

# Taken off the time that a caller waits, for the way there and back and a late timer.
NETWORK_ALLOWANCE_S = 0.04

# Callers leave a stream that sends nothing for so long, or for the larger of these
# multiples of its aim and its longest good pause.
MIN_STREAM_PATIENCE_S = 2.0
_PATIENCE_TARGET_LATENCIES = 4.0
_PATIENCE_GAPS = 8.0

# A stream's server that sends nothing for this part of its caller's patience is given
# up while another one can still go on in time.
STREAM_SILENCE_FRACTION = 0.55
# The same for plain answers that may be had from another server, as a part of the time.
PLAIN_SILENCE_FRACTION = 0.45


class Deadlines(NamedTuple):
    """When a request is over, and when its first byte must be on its way.

    ``silence_s`` is how long a server may send nothing before another one is tried.
    """

    deadline: float
    first_byte_deadline: float
    silence_timeout_s: float


def deadlines_for(
    route: ForwardRoute, received_at: float, timeout_s: float | None
) -> Deadlines:
    """Return the times of a request that came at ``received_at``.

    Failure: a request waits for longer than its caller does. Symptom: a server works
    for nobody while others wait. The caller's own wait and the route's time both bound
    it; a stream's caller also leaves when nothing comes.
    """
    total_s = route.timeout_s if timeout_s is None else min(route.timeout_s, timeout_s)
    deadline = received_at + total_s - NETWORK_ALLOWANCE_S
    if not route.is_streamed:
        silence_timeout_s = total_s
        if route.is_idempotent and route.max_servers > 1:
            silence_timeout_s = total_s * PLAIN_SILENCE_FRACTION
        return Deadlines(deadline, deadline, silence_timeout_s)
    patience_s = max(
        MIN_STREAM_PATIENCE_S,
        _PATIENCE_TARGET_LATENCIES * route.target_latency_s,
        _PATIENCE_GAPS * route.max_event_gap_s,
    )
    first_byte_deadline = min(deadline, received_at + patience_s - NETWORK_ALLOWANCE_S)
    silence_timeout_s = patience_s
    if route.is_resumable and route.max_servers > 1:
        silence_timeout_s = patience_s * STREAM_SILENCE_FRACTION
    return Deadlines(deadline, first_byte_deadline, silence_timeout_s)
