"""Progress of one request through its sends; does not read the clock."""

from __future__ import annotations

from typing import TYPE_CHECKING

from kingcupwheel.forwarding.outcomes import AttemptCounts
from kingcupwheel.forwarding.outcomes import AttemptOutcome
from kingcupwheel.forwarding.outcomes import RetryPolicy
from kingcupwheel.forwarding.outcomes import may_retry


if TYPE_CHECKING:
    from kingcupwheel.forwarding.requests import ForwardRequest


class RequestProgress:
    """What the sends of one request have led to; not thread-safe.

    ``last_event_id`` is the last complete event that the caller of a stream has, got at
    ``last_event_at`` (monotonic). ``is_sending`` tells that a server has the request.
    """

    def __init__(self, request: ForwardRequest) -> None:
        route = request.route
        self.policy = RetryPolicy(
            route.is_idempotent, route.max_servers, route.target_latency_s
        )
        self.counts = AttemptCounts()
        self.tried_servers: frozenset[str] = frozenset()
        self.last_event_id = request.head.last_event_id
        self.last_event_at = request.received_at
        self.is_sending = False
        self._request = request
        self._inherited_counts = self.counts

    def fork(self, server: str) -> RequestProgress:
        """Return the progress of a hedge, as if the answer of ``server`` was lost."""
        forked = RequestProgress(self._request)
        forked.policy = self.policy
        forked.counts = self.counts.with_outcome(AttemptOutcome.LOST)
        forked.tried_servers = self.tried_servers | {server}
        forked.last_event_id = self.last_event_id
        forked.last_event_at = self.last_event_at
        forked._inherited_counts = forked.counts
        return forked

    @property
    def own_counts(self) -> AttemptCounts:
        """The counts without those that were inherited, with the current send."""
        inherited = self._inherited_counts
        return AttemptCounts(
            self.counts.possibly_run - inherited.possibly_run + self.is_sending,
            self.counts.rejected - inherited.rejected,
        )

    def join(self, forked: RequestProgress, *, is_used: bool) -> None:
        """Count the sends of a hedge; if it is used, its last send goes on."""
        added = forked.own_counts
        self.counts = AttemptCounts(
            self.counts.possibly_run + added.possibly_run - is_used,
            self.counts.rejected + added.rejected,
        )
        self.tried_servers |= forked.tried_servers

    def record_failure(self, outcome: AttemptOutcome, server: str) -> None:
        """Record that a send has ended without an answer that is used."""
        self.counts = self.counts.with_outcome(outcome)
        self.is_sending = False
        self.tried_servers |= {server}

    def may_send_again(self, now: float) -> bool:
        """Return whether another server may get the request if this one is given up."""
        return may_retry(
            self.counts.with_outcome(AttemptOutcome.LOST),
            self.policy,
            self._request.deadlines.deadline_at - now,
        )

    def next_byte_deadline_at(self, now: float) -> float:
        """Return until when another server has to go on with the answer."""
        return self._request.deadlines.next_byte_deadline_at(self.last_event_at, now)

    def first_byte_deadline_at(self, now: float) -> float:
        """Return until when the next server has to begin its answer."""
        if not self.counts.possibly_run:
            return self._request.deadlines.first_byte_deadline_at
        return self.next_byte_deadline_at(now)
