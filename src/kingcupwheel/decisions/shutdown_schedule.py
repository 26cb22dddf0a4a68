"""What an entry that stops still takes, and when it ends what is in progress. Pure.

Failure: an entry goes on taking requests until its process is gone. Symptom: a stream
that was taken late is sent to a server and cut midway, though other entries could have
run it whole.
"""

from __future__ import annotations

from typing import NamedTuple


# Parts of the grace, counted from the signal to stop.
# Everything is taken for so long: callers keep an entry's address for some seconds.
_ACCEPT_ALL_FRACTION = 0.35
# The process stays at least so long, so that callers who still have its address are
# answered and not reset.
_MIN_UPTIME_FRACTION = 0.4
# What has not ended by then is ended, which leaves time to tell callers so.
_RESPONSE_FRACTION = 0.9
# The process ends by then, whatever is in progress.
_EXIT_FRACTION = 0.95
# A request is taken late if it may last so many times the longest recent answer: the
# wait for a place and a server that turns slow come on top.
_LATE_DURATION_FACTOR = 3.0
# What an answer is expected to last at least, in seconds.
_MIN_DURATION_S = 0.3


class ShutdownSchedule(NamedTuple):
    """A planned stop: ``began_at`` is monotonic; the process may live ``grace_s``."""

    started_at: float
    grace_s: float

    @property
    def earliest_exit_at(self) -> float:
        """Until when the process stays, even if nothing is in progress."""
        return self.started_at + _MIN_UPTIME_FRACTION * self.grace_s

    @property
    def responses_end_at(self) -> float:
        """When requests still in progress get their final answer."""
        return self.started_at + _RESPONSE_FRACTION * self.grace_s

    @property
    def latest_exit_at(self) -> float:
        """When the process ends at the latest."""
        return self.started_at + _EXIT_FRACTION * self.grace_s

    def may_accept(
        self,
        now: float,
        *,
        deadline_at: float,
        longest_recent_s: float | None,
        is_streamed: bool,
    ) -> bool:
        """Return whether a request that comes at ``now`` is taken.

        ``over_at`` is when its time is up; ``longest_s`` is how long the longest recent
        answer took, or has taken so far, None if no answer tells how long they take.
        A guess by others is no bound for a stream: unlike a whole answer, one that has
        begun can't be ended by a failure.

        Load: callers that keep this entry's address, or have no other one while all
        entries stop. Harm prevented: an answer that is cut by the end of the process.
        What is refused has not run, and another entry can run it whole.
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
        """Return whether a request that gets its place at ``now`` is sent to a server.

        Load: servers are full, and requests that were taken in time wait for a place.
        Harm prevented: one that has not run is sent on and cut. Its wait is over, so
        that the longest recent answer is allowed for once.
        """
        if now <= self.started_at + _ACCEPT_ALL_FRACTION * self.grace_s:
            return True
        if deadline_at <= self.responses_end_at:
            return True
        if longest_recent_s is None:
            return False
        return now + max(longest_recent_s, _MIN_DURATION_S) <= self.responses_end_at
