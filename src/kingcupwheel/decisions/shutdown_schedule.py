"""Deadlines of an entry's graceful shutdown and the requests it still accepts.

If an entry accepted requests until its process exits, a stream accepted late would be
sent to a server and cut, although another entry could have completed it.
"""

from __future__ import annotations

from typing import NamedTuple


# Fractions of the grace period, counted from the stop signal.

# All requests are accepted until then, since callers keep an address for some seconds.
_ACCEPT_ALL_FRACTION = 0.35
# The process stays up at least until then, so that callers that still use its address
# get an answer and not a connection reset.
_MIN_UPTIME_FRACTION = 0.4
# Requests still in progress are ended then, which leaves time to inform their callers.
_RESPONSE_FRACTION = 0.9
# The process exits by then, whatever is in progress.
_EXIT_FRACTION = 0.95
# A late request is accepted if there is time for this many times the longest recent
# answer, since it may wait in the queue and its server may become slow.
_LATE_DURATION_FACTOR = 3.0
# Shortest expected duration of an answer.
_MIN_DURATION_S = 0.3


class ShutdownSchedule(NamedTuple):
    """Schedule of a graceful shutdown within ``grace_s`` of ``started_at`` (monotonic).

    Its deadlines are fixed fractions of the grace period.
    """

    started_at: float
    grace_s: float

    @property
    def earliest_exit_at(self) -> float:
        """When the process may exit at the earliest, even if it is idle."""
        return self.started_at + _MIN_UPTIME_FRACTION * self.grace_s

    @property
    def responses_end_at(self) -> float:
        """When requests still in progress are ended with a final answer."""
        return self.started_at + _RESPONSE_FRACTION * self.grace_s

    @property
    def latest_exit_at(self) -> float:
        """When the process exits at the latest."""
        return self.started_at + _EXIT_FRACTION * self.grace_s

    def may_accept(
        self,
        now: float,
        *,
        deadline_at: float,
        longest_recent_s: float | None,
        is_streamed: bool,
    ) -> bool:
        """Return whether a request that arrives at ``now`` is accepted.

        ``deadline_at`` is its deadline; ``longest_recent_s`` is the duration of the
        longest recent answer, finished or not, None if unknown. It is not used for a
        stream, which unlike a plain answer cannot end with an error once it has begun.

        Callers may keep this entry's address, or have no other one while all entries
        stop. A request accepted too late would be cut when the process exits; a refused
        one has not run, and another entry can complete it.
        """
        if now <= self.started_at + _ACCEPT_ALL_FRACTION * self.grace_s:
            return True
        if deadline_at <= self.responses_end_at:
            return True
        if is_streamed or longest_recent_s is None:
            return False
        expected_s = _LATE_DURATION_FACTOR * max(longest_recent_s, _MIN_DURATION_S)
        return now + expected_s <= self.responses_end_at

    def may_dispatch(
        self, now: float, *, deadline_at: float, longest_recent_s: float | None
    ) -> bool:
        """Return whether an accepted request may be sent to a server at ``now``.

        While servers are full, a request accepted in time may leave the queue so late
        that its answer would be cut. Since its wait is over, a single longest recent
        answer has to fit.
        """
        if now <= self.started_at + _ACCEPT_ALL_FRACTION * self.grace_s:
            return True
        if deadline_at <= self.responses_end_at:
            return True
        if longest_recent_s is None:
            return False
        return now + max(longest_recent_s, _MIN_DURATION_S) <= self.responses_end_at
