"""Decides what follows from the result of one send."""

from __future__ import annotations

from time import monotonic
from typing import TYPE_CHECKING

from kingcupwheel.entry.refusals import CALLER_LEFT
from kingcupwheel.forwarding.calls import AnswerLost
from kingcupwheel.forwarding.calls import NotSent
from kingcupwheel.forwarding.calls import Rejected
from kingcupwheel.forwarding.event_reader import EventReader
from kingcupwheel.forwarding.exceptions import AnswerLostError
from kingcupwheel.forwarding.failed_send import FailedSend
from kingcupwheel.forwarding.failed_send import lost_answer
from kingcupwheel.forwarding.final_refusals import refusal_for_step
from kingcupwheel.forwarding.http_metadata import NO_NOTICE
from kingcupwheel.forwarding.outcomes import AttemptOutcome
from kingcupwheel.forwarding.outcomes import NextStep
from kingcupwheel.forwarding.outcomes import may_retry
from kingcupwheel.forwarding.outcomes import next_step
from kingcupwheel.forwarding.placed_answer import PlacedAnswer
from kingcupwheel.forwarding.watchdog import AbortReason


if TYPE_CHECKING:
    from kingcupwheel.entry.answers import BufferedAnswer
    from kingcupwheel.entry.placement_tickets import Reservation
    from kingcupwheel.entry.refusals import Refusal
    from kingcupwheel.forwarding.request_hedges import RequestHedges
    from kingcupwheel.forwarding.request_state import RequestState
    from kingcupwheel.forwarding.server_answer import ServerAnswer
    from kingcupwheel.utils.response_limits import ResponseLimit

# Largest answer that is read completely before it is sent to the caller.
_MAX_WHOLE_ANSWER_BYTES = 16_000_000
_MIN_FAILURE_STATUS = 500


class SendResults:
    """Handles the results of one request's sends; not thread-safe.

    Each method returns what follows, None if the request is sent again.
    """

    def __init__(self, state: RequestState, hedges: RequestHedges) -> None:
        self._state = state
        self._hedges = hedges

    def handle_answer(
        self, reservation: Reservation, answer: ServerAnswer
    ) -> PlacedAnswer | BufferedAnswer | Refusal | None:
        """Handle an answer that has begun; all but streams are read completely."""
        head = answer.head
        self._state.record_notice(reservation, head.notice)
        self._state.context.record_load(reservation, head.load)
        is_success = head.status < _MIN_FAILURE_STATUS
        if is_success and self._state.request.route.is_streamed and head.status == 200:
            self._state.record_first_byte()
            answer.may_use = self._hedges.use_first
            events = EventReader(answer, self._state.progress.last_event_id)
            return PlacedAnswer(reservation, answer, events)
        if is_success:
            answer.may_use = self._hedges.use_first
        try:
            body = answer.read_whole(_MAX_WHOLE_ANSWER_BYTES, self._state.memory)
            if is_success:
                self._state.claim()
        except AnswerLostError as error:
            self._state.end_answer(reservation, answer)
            return self.handle_failure(reservation, lost_answer(error))
        self._state.end_answer(reservation, answer)
        if is_success:
            self._state.record_success(
                reservation, head, monotonic() - self._state.sent_at
            )
            return self._state.whole_answer(head, body)
        self._state.evidence.end_trial()
        failure = FailedSend(
            AttemptOutcome.FAILED, f"status {head.status}", head.notice
        )
        refusal = self.handle_failure(reservation, failure)
        self._state.server_error = (head, body)
        return refusal

    def handle_no_answer(
        self, reservation: Reservation, result: NotSent | Rejected | AnswerLost
    ) -> PlacedAnswer | BufferedAnswer | Refusal | None:
        """Handle a send that no answer has followed."""
        notice = NO_NOTICE
        limit: ResponseLimit | None = None
        if isinstance(result, AnswerLost) or (
            isinstance(result, Rejected) and not result.is_other_instance
        ):
            # Recorded before the release, after which another request may get the
            # server.
            notice = result.notice
            self._state.record_notice(reservation, notice)
        self._state.release(reservation)
        match result:
            case NotSent(reason):
                outcome = AttemptOutcome.NOT_SENT
                if not self._state.watched.is_over:
                    self._state.dispatcher.record_failure(reservation)
            case Rejected(reason, is_other_instance, faulty_server):
                outcome = AttemptOutcome.REJECTED
                if is_other_instance and faulty_server in ("", reservation.server):
                    self._state.context.record_misdirection(reservation)
                elif not notice.explains_rejection:
                    request = self._state.request
                    self._state.context.record_rejection(
                        reservation,
                        request.service,
                        is_streamed=request.route.is_streamed,
                    )
            case AnswerLost(reason):
                outcome = AttemptOutcome.LOST
                limit = result.limit
        failure = FailedSend(outcome, reason, notice, limit)
        return self.handle_failure(reservation, failure)

    def handle_failure(
        self, reservation: Reservation, failure: FailedSend
    ) -> PlacedAnswer | BufferedAnswer | Refusal | None:
        """Record a failed send, which a hedge, a retry or a refusal follows."""
        request = self._state.request
        outcome = failure.outcome
        hedge = self._hedges.take()
        self._state.progress.record_failure(outcome, reservation.server)
        if outcome is AttemptOutcome.LOST:
            self._state.evidence.record_lost(reservation, failure.limit)
        if self._state.watched.abort_reason in (
            AbortReason.CALLER_LEFT,
            AbortReason.SUPERSEDED,
        ):
            if hedge is not None:
                self._hedges.end(hedge)
            return CALLER_LEFT
        if (
            outcome in (AttemptOutcome.LOST, AttemptOutcome.FAILED)
            and not self._state.watched.is_over
            and not self._state.is_silence_recorded
        ):
            self._state.dispatcher.record_failure(reservation)
        if hedge is not None:
            hedged = self._hedges.wait_for(hedge)
            if hedged is not None:
                self._state.log.send_ended(
                    reservation,
                    failure,
                    self._state.progress.counts,
                    left_s=round(request.deadlines.deadline_at - monotonic(), 3),
                    follows="hedged",
                )
                return hedged
        time_left_s = request.deadlines.deadline_at - monotonic()
        if self._state.watched.is_over:
            time_left_s = 0.0
        is_retry_allowed = may_retry(
            self._state.progress.counts, self._state.progress.policy, time_left_s
        )
        # A refused connection is no load for a server, so that the next send costs no
        # more than this one would have.
        is_within_budget = is_retry_allowed and (
            outcome is AttemptOutcome.NOT_SENT
            or self._state.late_servers.consume_retry()
        )
        step = next_step(
            outcome,
            self._state.progress.counts,
            self._state.progress.policy,
            time_left_s=time_left_s,
            is_within_budget=is_within_budget,
        )
        if (
            step is NextStep.TIMEOUT
            and self._state.watched.abort_reason is AbortReason.SHUTDOWN
        ):
            step = NextStep.UNKNOWN
        self._state.log.send_ended(
            reservation,
            failure,
            self._state.progress.counts,
            left_s=round(time_left_s, 3),
            budget=is_within_budget,
            follows=step.value,
        )
        if outcome is AttemptOutcome.LOST and step is NextStep.RETRY:
            self._state.evidence.wait_for_probe(reservation)
        backoff_left_s = (
            self._state.dispatcher.get_backoff_left_s()
            if step is NextStep.REFUSE
            else 0.0
        )
        return refusal_for_step(step, failure.reason, request.id, backoff_left_s)
