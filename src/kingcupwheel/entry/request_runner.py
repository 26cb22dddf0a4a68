"""Runs one request: admission, placement, claim, dispatch and answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from kingcupwheel.claims.claim_records import StoredClaim
from kingcupwheel.entry.answer_assembler import AnswerEnded
from kingcupwheel.entry.answer_assembler import AttemptNotStarted
from kingcupwheel.entry.answer_assembler import HeadReceived
from kingcupwheel.entry.answer_head_waiter import AnswerHeadWaiter
from kingcupwheel.entry.answer_head_waiter import WaitAbandoned
from kingcupwheel.entry.answer_relay import AnswerRelay
from kingcupwheel.entry.answers import RefusedAnswer
from kingcupwheel.entry.attempt_dispatcher import AdmittedRequest
from kingcupwheel.entry.attempt_dispatcher import AttemptDispatcher
from kingcupwheel.entry.claim_resolver import MAX_CLAIM_CHANGES
from kingcupwheel.entry.claim_resolver import ClaimAvailable
from kingcupwheel.entry.claim_resolver import ClaimChanged
from kingcupwheel.entry.claim_resolver import ClaimRefused
from kingcupwheel.entry.claim_resolver import ClaimResolver
from kingcupwheel.entry.claim_resolver import EarlierRun
from kingcupwheel.entry.exceptions import CallerDisconnectedError
from kingcupwheel.entry.refusals import CALLER_LEFT
from kingcupwheel.entry.refusals import EARLIER_SEND_RUNNING
from kingcupwheel.entry.refusals import Refusal
from kingcupwheel.entry.refusals import build_earlier_send_refusal
from kingcupwheel.entry.retry_controller import RetryController
from kingcupwheel.entry.retry_controller import build_wait_abandoned_refusal
from kingcupwheel.messages.attempts import Outcome
from kingcupwheel.trace.events import CallerLeft
from kingcupwheel.trace.events import RequestAdmitted
from kingcupwheel.trace.events import RequestFinished
from kingcupwheel.trace.events import RequestRefused


if TYPE_CHECKING:
    from kingcupwheel.entry.answer_head_waiter import HeadWaitResult
    from kingcupwheel.entry.answer_reader import AnswerReader
    from kingcupwheel.entry.answers import Answer
    from kingcupwheel.entry.caller_connection import CallerConnection
    from kingcupwheel.entry.caller_requests import CallerRequest
    from kingcupwheel.entry.context import EntryContext
    from kingcupwheel.entry.placement_tickets import Reservation


_EARLIER_SEND_NOTE = (
    " This send was not run; an earlier one of the same key may have been."
)


class RequestRunner:
    """Runs one request up to its answer or final refusal; not thread-safe."""

    def __init__(
        self,
        context: EntryContext,
        request: CallerRequest,
        connection: CallerConnection,
    ) -> None:
        self._context = context
        self._request = request
        self._connection = connection
        self._head_waiter = AnswerHeadWaiter(context, request, connection)
        self._retries = RetryController(context, request, connection)

    def run(self) -> Answer:
        """Return the answer or the final refusal."""
        quarantine_status = self._context.limiter.check_quarantine(self._request)
        if isinstance(quarantine_status, Refusal):
            return self._refuse(quarantine_status)
        predicted_work = self._context.limiter.admit(self._request)
        if isinstance(predicted_work, Refusal):
            return self._refuse(predicted_work)
        self._record(RequestAdmitted(predicted_work))
        admitted = AdmittedRequest(
            self._request, predicted_work, is_suspect=quarantine_status.is_suspect
        )
        try:
            return self._run_admitted(admitted)
        except CallerDisconnectedError:
            self._record(CallerLeft(0))
            return self._give_up(admitted, CALLER_LEFT)

    def _run_admitted(self, admitted: AdmittedRequest) -> Answer:
        attempts = AttemptDispatcher(self._context, admitted, self._connection)
        if self._request.route.repeatable:
            return self._run_repeatable(admitted, attempts)
        return self._run_once(admitted, attempts)

    def _run_repeatable(
        self, admitted: AdmittedRequest, attempts: AttemptDispatcher
    ) -> Answer:
        while True:
            reservation = attempts.reserve_server()
            if isinstance(reservation, Refusal):
                return self._give_up(admitted, reservation)
            reader = attempts.dispatch(reservation, None)
            step = self._head_waiter.wait(reader)
            if isinstance(step, HeadReceived):
                return self._build_relay(admitted, attempts, reservation, reader).relay(
                    step
                )
            self._end_attempt(attempts, reservation, reader)
            refusal = self._retries.handle_failed_attempt(step, attempts, reservation)
            if refusal is not None:
                return self._give_up(admitted, refusal)

    def _run_once(
        self, admitted: AdmittedRequest, attempts: AttemptDispatcher
    ) -> Answer:
        claims = ClaimResolver(self._context, self._request)
        held_claim: StoredClaim | None = None
        while True:
            reservation = attempts.reserve_server()
            if isinstance(reservation, Refusal):
                return self._give_up_claim(admitted, claims, held_claim, reservation)
            acquired = claims.acquire(reservation, attempts.count, held_claim)
            if isinstance(acquired, StoredClaim):
                held_claim = acquired
                answer = self._run_claimed(
                    admitted, attempts, claims, reservation, held_claim
                )
                if answer is not None:
                    return answer
                continue
            attempts.release(reservation)
            if isinstance(acquired, Refusal):
                return self._give_up(admitted, acquired)
            resolution = self._resolve_claim(claims)
            if isinstance(resolution, ClaimAvailable):
                held_claim = resolution.held_claim
                continue
            answer = self._answer_from_earlier_run(admitted, attempts, resolution)
            if answer is not None:
                return answer

    def _run_claimed(
        self,
        admitted: AdmittedRequest,
        attempts: AttemptDispatcher,
        claims: ClaimResolver,
        reservation: Reservation,
        held_claim: StoredClaim,
    ) -> Answer | None:
        reader = attempts.dispatch(reservation, held_claim)
        step = self._head_waiter.wait(reader)
        if isinstance(step, HeadReceived):
            return self._build_relay(admitted, attempts, reservation, reader).relay(
                step
            )
        self._end_attempt(attempts, reservation, reader)
        if isinstance(step, AnswerEnded):
            claims.record_final_outcome(held_claim, Outcome.UNKNOWN, step.detail)
        refusal = self._retries.handle_failed_attempt(step, attempts, reservation)
        if refusal is None:
            return None
        return self._give_up_claim(admitted, claims, held_claim, refusal)

    def _resolve_claim(
        self, claims: ClaimResolver
    ) -> ClaimAvailable | ClaimRefused | EarlierRun:
        """Resolve the claim of an earlier send.

        Tries again if another entry changes the claim meanwhile, up to
        ``MAX_CLAIM_CHANGES`` times.
        """
        for _ in range(MAX_CLAIM_CHANGES):
            held_claim = claims.read()
            if isinstance(held_claim, Refusal):
                return ClaimRefused(held_claim)
            if held_claim is None:
                break
            resolution = claims.resolve(held_claim)
            if not isinstance(resolution, ClaimChanged):
                return resolution
        return ClaimRefused(EARLIER_SEND_RUNNING)

    def _answer_from_earlier_run(
        self,
        admitted: AdmittedRequest,
        attempts: AttemptDispatcher,
        resolution: ClaimRefused | EarlierRun,
    ) -> Answer | None:
        """Return the answer or refusal, None if the earlier run did not take place.

        Its agent may refuse it while it is queued there. The claim is then resolved
        again.
        """
        if isinstance(resolution, ClaimRefused):
            return self._give_up(admitted, resolution.refusal)
        reader = resolution.reader
        step = self._wait_for_head(resolution)
        if isinstance(step, HeadReceived):
            relay = AnswerRelay(
                self._context,
                admitted,
                reader,
                self._connection,
                None,
                resolution.close,
            )
            return relay.relay(step)
        resolution.close()
        match step:
            case AnswerEnded(outcome, detail):
                return self._give_up(
                    admitted, build_earlier_send_refusal(outcome, detail)
                )
            case WaitAbandoned():
                return self._give_up(admitted, build_wait_abandoned_refusal())
            case AttemptNotStarted():
                return None

    def _wait_for_head(self, resolution: EarlierRun) -> HeadWaitResult:
        match resolution.first_step:
            case HeadReceived() | AnswerEnded():
                return resolution.first_step
            case first:
                return self._head_waiter.wait(resolution.reader, first)

    def _build_relay(
        self,
        admitted: AdmittedRequest,
        attempts: AttemptDispatcher,
        reservation: Reservation,
        reader: AnswerReader,
    ) -> AnswerRelay:
        def on_end() -> None:
            self._end_attempt(attempts, reservation, reader)

        return AnswerRelay(
            self._context, admitted, reader, self._connection, reservation, on_end
        )

    def _end_attempt(
        self,
        attempts: AttemptDispatcher,
        reservation: Reservation,
        reader: AnswerReader,
    ) -> None:
        self._context.inboxes.close(reader.inbox)
        attempts.release(reservation)

    def _give_up_claim(
        self,
        admitted: AdmittedRequest,
        claims: ClaimResolver,
        held_claim: StoredClaim | None,
        refusal: Refusal,
    ) -> RefusedAnswer:
        if held_claim is not None and not self._retries.may_have_run:
            claims.record_final_outcome(held_claim, Outcome.NOT_RUN, refusal.reason)
        return self._give_up(admitted, refusal)

    def _give_up(self, admitted: AdmittedRequest, refusal: Refusal) -> RefusedAnswer:
        # After an attempt that may have run, the outcome can't be ``not-run``.
        may_have_run = self._retries.may_have_run
        if may_have_run and refusal.outcome is Outcome.NOT_RUN:
            refusal = refusal._replace(outcome=Outcome.UNKNOWN)
        if may_have_run:
            self._context.limiter.settle_run(
                self._request, admitted.predicted_work, 0, is_complete=False
            )
        else:
            self._context.limiter.settle_not_run(self._request, admitted.predicted_work)
        return self._refuse(refusal)

    def _refuse(self, refusal: Refusal) -> RefusedAnswer:
        if not self._request.route.repeatable and refusal.outcome is Outcome.NOT_RUN:
            # A caller that sends a key again must not conclude from this refusal that
            # the request has never run.
            refusal = refusal._replace(message=refusal.message + _EARLIER_SEND_NOTE)
        event = RequestRefused(refusal.reason, refusal.message, refusal.retry_after_s)
        self._record(event)
        outcome = refusal.outcome.value
        self._record(RequestFinished(outcome, refusal.status, 0, refusal.reason))
        self._context.outcome_counter.count_refusal(self._request, refusal)
        return RefusedAnswer(refusal)

    def _record(
        self,
        event: RequestAdmitted | CallerLeft | RequestFinished | RequestRefused,
    ) -> None:
        self._context.recorder.record(self._request.request_id, event)
