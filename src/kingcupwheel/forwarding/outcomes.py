"""Retry decision after a failed send; pure functions.

The statuses 429, 503, 408 and 421 promise a caller that its request has not run and
never will. They are used only if no send can have run it.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


# Rejections by servers before the request is refused. Each costs a message but no run;
# three cover a full server, a restart and an outdated list in a row.
MAX_REJECTIONS = 3

# Least time left for a retry to be useful, as a fraction of the target latency.
MIN_TARGET_LATENCY_FRACTION = 0.25


class AttemptOutcome(StrEnum):
    """Outcome of one send.

    ``NOT_SENT``: no byte was sent. ``REJECTED``: the server states that the request has
    not run. ``FAILED``: the server answered with an error, which may be sent to the
    caller. ``LOST``: the request was sent and may have run.
    """

    NOT_SENT = "not-sent"
    REJECTED = "turned-away"
    FAILED = "failed"
    LOST = "lost"


class AttemptCounts(NamedTuple):
    """Numbers of sends of one request, by outcome.

    ``possibly_run`` counts sends that ran or may have run, ``rejected`` those that
    have not.
    """

    possibly_run: int = 0
    rejected: int = 0

    def with_outcome(self, outcome: AttemptOutcome) -> AttemptCounts:
        """Return the counts with one more send of this outcome."""
        match outcome:
            case AttemptOutcome.FAILED | AttemptOutcome.LOST:
                return self._replace(possibly_run=self.possibly_run + 1)
            case AttemptOutcome.REJECTED | AttemptOutcome.NOT_SENT:
                return self._replace(rejected=self.rejected + 1)


class RetryPolicy(NamedTuple):
    """Whether a request may run more than once, and on how many servers."""

    may_rerun: bool
    max_servers: int
    target_latency_s: float


class NextStep(StrEnum):
    """Next step after a failed send.

    ``RETRY``: send to another server. ``PASS_ON``: send the server's error to the
    caller. ``REFUSE``: refuse and state that the request has not run. ``UNKNOWN``: fail
    without such a statement. ``TIMEOUT``: the same, because the time is up.
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
    """Return the step after ``outcome``, which ``counts`` already includes.

    Ensures that a request that may run only once is not run twice, that the statement
    "not run" is never false, and that retries of every failure don't take all the
    capacity of servers that fail or are full.
    """
    if _may_retry(counts, policy, time_left_s) and is_within_budget:
        return NextStep.RETRY
    if outcome is AttemptOutcome.FAILED:
        return NextStep.PASS_ON
    if counts.possibly_run:
        return NextStep.UNKNOWN if time_left_s > 0 else NextStep.TIMEOUT
    return NextStep.REFUSE


def may_retry(counts: AttemptCounts, policy: RetryPolicy, time_left_s: float) -> bool:
    """Return whether a retry is allowed, not counting the shared retry budget."""
    return _may_retry(counts, policy, time_left_s)


def _may_retry(counts: AttemptCounts, policy: RetryPolicy, time_left_s: float) -> bool:
    if time_left_s < MIN_TARGET_LATENCY_FRACTION * policy.target_latency_s:
        return False
    if counts.rejected > MAX_REJECTIONS:
        return False
    if counts.possibly_run == 0:
        return True
    return policy.may_rerun and counts.possibly_run < policy.max_servers
