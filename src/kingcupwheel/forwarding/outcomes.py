"""What follows a send that brought no answer to pass on: another send, or the end.

Pure. The statuses 429, 503, 408 and 421 promise a caller that its request has not run
and never will; they are only given when no send can have run it.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


# Sends that servers may turn away before the request is refused. Each costs a message
# and no run; three cover a full server, a restart and a stale list in a row.
MAX_REJECTIONS = 3

# Time that a further send needs to be worth it, as a part of the route's aim.
MIN_TARGET_LATENCY_FRACTION = 0.25


class AttemptOutcome(StrEnum):
    """What came of one send.

    ``NOT_SENT``: no byte was sent. ``TURNED_AWAY``: the server's word that it has not
    run. ``FAILED``: the server's own failure, an answer that may be passed on.
    ``LOST``: sent, and no proof of anything.
    """

    NOT_SENT = "not-sent"
    REJECTED = "turned-away"
    FAILED = "failed"
    LOST = "lost"


class AttemptCounts(NamedTuple):
    """What came of a request's sends so far.

    ``ran`` counts those that ran or may have run.
    """

    possibly_run: int = 0
    rejected: int = 0

    def with_outcome(self, outcome: AttemptOutcome) -> AttemptCounts:
        """Return the counts with one more send."""
        match outcome:
            case AttemptOutcome.FAILED | AttemptOutcome.LOST:
                return self._replace(possibly_run=self.possibly_run + 1)
            case AttemptOutcome.REJECTED | AttemptOutcome.NOT_SENT:
                return self._replace(rejected=self.rejected + 1)


class RetryPolicy(NamedTuple):
    """What a request may do: run again, and on how many servers."""

    may_rerun: bool
    max_servers: int
    target_latency_s: float


class NextStep(StrEnum):
    """What follows a send.

    ``AGAIN``: another server. ``PASS_ON``: the server's failure goes to the caller.
    ``REFUSE``: a refusal that promises "not run". ``UNKNOWN``: a failure that promises
    nothing. ``TIMEOUT``: the same, for want of time.
    """

    RETRY = "again"
    PASS_ON = "pass-on"
    REFUSE = "refuse"
    UNKNOWN = "unknown"
    TIMEOUT = "timeout"


def next_step(
    outcome: AttemptOutcome,
    counts: AttemptCounts,
    policy: RetryPolicy,
    *,
    time_left_s: float,
    is_within_budget: bool,
) -> NextStep:
    """Return what follows ``came``; ``sends`` already counts it.

    Load: servers that fail, or turn away what they have no room for. Harm prevented: a
    request that may run once is run twice; or a promise of "not run" is false; or every
    failure is repeated until nothing else runs.
    """
    if _may_retry(counts, policy, time_left_s) and is_within_budget:
        return NextStep.RETRY
    if outcome is AttemptOutcome.FAILED:
        return NextStep.PASS_ON
    if counts.possibly_run:
        return NextStep.UNKNOWN if time_left_s > 0 else NextStep.TIMEOUT
    return NextStep.REFUSE


def may_retry(counts: AttemptCounts, policy: RetryPolicy, time_left_s: float) -> bool:
    """Return whether another send is allowed, the shared budget aside."""
    return _may_retry(counts, policy, time_left_s)


def _may_retry(counts: AttemptCounts, policy: RetryPolicy, time_left_s: float) -> bool:
    if time_left_s < MIN_TARGET_LATENCY_FRACTION * policy.target_latency_s:
        return False
    if counts.rejected > MAX_REJECTIONS:
        return False
    if counts.possibly_run == 0:
        return True
    return policy.may_rerun and counts.possibly_run < policy.max_servers
