"""Computes the deadlines and timeouts of a request.

Deadlines are monotonic times; names that end in ``_s`` are durations in seconds.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from kingcupwheel.forwarding.configuration import ForwardRoute

# Subtracted from the caller's timeout for network latency and late timers.
NETWORK_ALLOWANCE_S = 0.04

# Callers abandon a stream that sends nothing for the largest of this time and of these
# multiples of its target latency and its target gap between events.
MIN_STREAM_PATIENCE_S = 2.0
_PATIENCE_TARGET_LATENCIES = 4.0
_PATIENCE_GAPS = 8.0

# The read from a stream's server is aborted after this fraction of the caller's
# patience, so that another server can still resume the stream in time.
STREAM_SILENCE_FRACTION = 0.55
# The same for plain answers that can be retried, as a fraction of the total time.
PLAIN_SILENCE_FRACTION = 0.45


class Deadlines(NamedTuple):
    """Deadlines of a request and of its first byte.

    ``silence_timeout_s`` is how long a server may send nothing before another one is
    tried. ``patience_s`` is how long the caller of a stream waits for its next event,
    infinite for a plain answer.
    """

    deadline_at: float
    first_byte_deadline_at: float
    silence_timeout_s: float
    patience_s: float = float("inf")

    def next_byte_deadline_at(self, last_event_at: float, now: float) -> float:
        """Return until when another server has to send the next event of a stream.

        The caller's patience starts anew with each event. A caller that has not left
        once it has passed is more patient than assumed.
        """
        next_event_at = last_event_at + self.patience_s - NETWORK_ALLOWANCE_S
        if next_event_at <= now:
            return self.deadline_at
        return min(self.deadline_at, next_event_at)


def deadlines_for(
    route: ForwardRoute, received_at: float, timeout_s: float | None
) -> Deadlines:
    """Return the deadlines of a request that was received at ``received_at``.

    A request that outlives its caller would use a server's time while others wait.
    Therefore the caller's timeout and that of the route both bound it. The first byte
    of a stream has an earlier deadline, since its caller leaves when nothing arrives.
    """
    total_s = route.timeout_s if timeout_s is None else min(route.timeout_s, timeout_s)
    deadline_at = received_at + total_s - NETWORK_ALLOWANCE_S
    if not route.is_streamed:
        silence_timeout_s = total_s
        if route.is_idempotent and route.max_servers > 1:
            silence_timeout_s = total_s * PLAIN_SILENCE_FRACTION
        return Deadlines(deadline_at, deadline_at, silence_timeout_s)
    patience_s = max(
        MIN_STREAM_PATIENCE_S,
        _PATIENCE_TARGET_LATENCIES * route.target_latency_s,
        _PATIENCE_GAPS * route.max_event_gap_s,
    )
    first_byte_deadline_at = min(
        deadline_at, received_at + patience_s - NETWORK_ALLOWANCE_S
    )
    silence_timeout_s = patience_s
    if route.is_resumable and route.max_servers > 1:
        silence_timeout_s = patience_s * STREAM_SILENCE_FRACTION
    return Deadlines(deadline_at, first_byte_deadline_at, silence_timeout_s, patience_s)
