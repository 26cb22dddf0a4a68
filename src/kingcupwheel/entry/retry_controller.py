"""Decides between a retry and a final refusal after a failed attempt."""

from __future__ import annotations

from time import monotonic
from typing import TYPE_CHECKING

from kingcupwheel.entry.answer_assembler import AnswerEnded
from kingcupwheel.entry.answer_assembler import AttemptNotStarted
from kingcupwheel.entry.answer_head_waiter import WaitAbandoned
from kingcupwheel.entry.refusals import Refusal
from kingcupwheel.messages.attempts import DispatchRefusal as AgentRefusal
from kingcupwheel.messages.attempts import Outcome
from kingcupwheel.trace.events import AttemptRetried


if TYPE_CHECKING:
    from kingcupwheel.entry.attempt_dispatcher import AttemptDispatcher
    from kingcupwheel.entry.caller_connection import CallerConnection
    from kingcupwheel.entry.caller_requests import CallerRequest
    from kingcupwheel.entry.context import EntryContext
    from kingcupwheel.entry.placement_tickets import Reservation

# Agent refusals after which a request is still placed again. A refusal costs one
# message and no run. Three cover a restart, a full server and a stale heartbeat in a
# row; more would keep a caller waiting for a group without free capacity.
MAX_AGENT_REFUSALS = 3
# A second failure is more likely caused by the request or the group than by the server.
MAX_REPEATABLE_RUNS = 2


class RetryController:
    """Counts one request's failed attempts and limits its retries; not thread-safe."""

    def __init__(
        self,
        context: EntryContext,
        request: CallerRequest,
        connection: CallerConnection,
    ) -> None:
        self._context = context
        self._request = request
        self._connection = connection
        self._run_count = 0
        self._agent_refusal_count = 0

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt so far may have run on a server."""
        return self._run_count > 0

    def handle_failed_attempt(
        self,
        step: AnswerEnded | AttemptNotStarted | WaitAbandoned,
        attempts: AttemptDispatcher,
        reservation: Reservation,
    ) -> Refusal | None:
        """Return the final refusal, or None if the request is to be retried."""
        match step:
            case AttemptNotStarted(reason):
                return self._handle_agent_refusal(reason, attempts, reservation)
            case AnswerEnded(outcome, detail):
                return self._handle_lost_answer(outcome, detail, attempts, reservation)
            case WaitAbandoned():
                self._run_count += 1
                return build_wait_abandoned_refusal()

    def _handle_agent_refusal(
        self,
        reason: AgentRefusal,
        attempts: AttemptDispatcher,
        reservation: Reservation,
    ) -> Refusal | None:
        self._agent_refusal_count += 1
        if (
            self._is_past_deadline
            or self._connection.is_closed()
            or self._agent_refusal_count > MAX_AGENT_REFUSALS
        ):
            message = f"The last server asked did not take it: {reason.value}."
            retry_after_s = self._context.limiter.get_retry_after_s(self._request)
            return Refusal(503, reason.value, message, retry_after_s)
        if reason is not AgentRefusal.STALE_TOKEN:
            attempts.exclude_server(reservation.server)
        self._record_retry(attempts, f"{reservation.server} said {reason.value}")
        return None

    def _handle_lost_answer(
        self,
        outcome: Outcome,
        detail: str,
        attempts: AttemptDispatcher,
        reservation: Reservation,
    ) -> Refusal | None:
        self._run_count += 1
        attempts.record_failure(reservation)
        may_retry = (
            self._request.route.repeatable
            and outcome is Outcome.UNKNOWN
            and self._run_count < MAX_REPEATABLE_RUNS
            and not self._is_past_deadline
            and self._context.limiter.try_acquire_retry(self._request)
        )
        if not may_retry:
            status = 504 if self._is_past_deadline else 502
            message = f"It was given to a server and its answer is lost: {detail}."
            return Refusal(status, "answer-lost", message, 0.0, outcome)
        return self._retry_elsewhere(detail, attempts, reservation)

    def _retry_elsewhere(
        self, detail: str, attempts: AttemptDispatcher, reservation: Reservation
    ) -> Refusal | None:
        # The server may have crashed because of this request, so its quarantine status
        # may have changed since it was admitted.
        quarantine_status = self._context.limiter.check_quarantine(self._request)
        if isinstance(quarantine_status, Refusal):
            return quarantine_status._replace(outcome=Outcome.UNKNOWN)
        attempts.exclude_server(
            reservation.server, is_suspect=quarantine_status.is_suspect
        )
        self._record_retry(attempts, detail)
        return None

    @property
    def _is_past_deadline(self) -> bool:
        return monotonic() >= self._request.deadline_at

    def _record_retry(self, attempts: AttemptDispatcher, reason: str) -> None:
        event = AttemptRetried(attempts.count, reason)
        self._context.recorder.record(self._request.request_id, event)


def build_wait_abandoned_refusal() -> Refusal:
    """Return the refusal for a caller whose wait ended while the request ran."""
    message = "The wait for its answer is over; it was given to a server and may run."
    return Refusal(504, "deadline", message, 1.0, Outcome.UNKNOWN)
