"""Forwards one request to a server and retries it where that is safe."""

from __future__ import annotations

from typing import TYPE_CHECKING

from kingcupwheel.entry.answers import BufferedAnswer
from kingcupwheel.entry.answers import StreamedAnswer
from kingcupwheel.entry.refusals import CALLER_LEFT
from kingcupwheel.entry.refusals import Refusal
from kingcupwheel.forwarding.calls import Answered
from kingcupwheel.forwarding.calls import Withheld
from kingcupwheel.forwarding.exceptions import AnswerLostError
from kingcupwheel.forwarding.failed_send import lost_answer
from kingcupwheel.forwarding.placed_answer import PlacedAnswer
from kingcupwheel.forwarding.queue_wait import RunWithdrawn
from kingcupwheel.forwarding.request_hedges import RequestHedges
from kingcupwheel.forwarding.request_sender import RequestSender
from kingcupwheel.forwarding.send_results import SendResults
from kingcupwheel.forwarding.streams import StreamRelay


if TYPE_CHECKING:
    from kingcupwheel.entry.answers import Answer
    from kingcupwheel.entry.placement_tickets import Reservation
    from kingcupwheel.forwarding.failed_send import FailedSend
    from kingcupwheel.forwarding.request_state import RequestState


class RequestForwarder:
    """Forwards one request until it is answered or refused; not thread-safe.

    Call ``close`` once the answer has been sent.
    """

    def __init__(self, state: RequestState) -> None:
        self._state = state
        self._hedges = RequestHedges(state, _send_hedge)
        self._sender = RequestSender(state, self._hedges)
        self._results = SendResults(state, self._hedges)

    def forward(self) -> Answer:
        """Return the answer, or the final refusal."""
        try:
            return self._forward()
        except BaseException:
            self._hedges.abandon()
            raise

    def close(self) -> None:
        """Release the memory of the answer."""
        self._state.memory.close()

    def _forward(self) -> Answer:
        refusal = self._state.evidence.admit(has_run=False)
        if refusal is not None:
            return self._state.log_refusal(refusal)
        self._state.context.retry_guards.count_first_attempt(
            self._state.request.service
        )
        result = self._send_until_answered()
        if isinstance(result, Refusal):
            if self._state.server_error is not None and result is not CALLER_LEFT:
                return self._state.whole_answer(*self._state.server_error)
            if not self._state.progress.counts.possibly_run:
                self._state.evidence.end_trial()
            return self._state.log_refusal(result)
        if isinstance(result, BufferedAnswer):
            return result
        relay = StreamRelay(self._state, result, self._send_again, self._hedges.abandon)
        head = result.answer.head
        return StreamedAnswer(head.status, head.caller_headers, relay.body())

    def _send_until_answered(self) -> PlacedAnswer | BufferedAnswer | Refusal:
        """Send the request until there is an answer, or no further send is allowed.

        A stream is returned once it has begun, any other answer once it is complete.
        """
        while True:
            progress = self._state.progress
            has_run = progress.counts.possibly_run > 0
            refusal = self._state.evidence.admit(has_run=has_run)
            if refusal is not None:
                return refusal
            if self._state.evidence.is_suspect and not has_run:
                # Another server would run it before the end of this one is known.
                progress.policy = progress.policy._replace(max_servers=1)
            reservation = self._sender.acquire_reservation()
            if isinstance(reservation, Refusal):
                return reservation
            if isinstance(reservation, RunWithdrawn):
                continue
            call_result = self._sender.send(reservation)
            if isinstance(call_result, Withheld):
                self._release_withheld(reservation)
                continue
            if isinstance(call_result, Answered):
                result = self._results.handle_answer(reservation, call_result.answer)
            else:
                result = self._results.handle_no_answer(reservation, call_result)
            if result is not None:
                return result

    def send_hedge(self) -> PlacedAnswer | BufferedAnswer | None:
        """Send the request until another answer has begun and is used.

        Returns None if there is none.
        """
        result: PlacedAnswer | BufferedAnswer | Refusal | None = None
        try:
            result = self._send_until_claimed()
        finally:
            if not isinstance(result, PlacedAnswer):
                self._state.stop_watching()
        if isinstance(result, Refusal):
            self._state.evidence.end_trial()
            return None
        return result

    def _send_until_claimed(self) -> PlacedAnswer | BufferedAnswer | Refusal:
        result = self._send_until_answered()
        while isinstance(result, PlacedAnswer):
            try:
                result.events.prefetch()
                self._state.claim()
                return result
            except AnswerLostError as error:
                failure = lost_answer(error)
            self._state.end_answer(result.reservation, result.answer)
            result = self._send_again(result.reservation, failure)
        return result

    def _send_again(
        self, reservation: Reservation, failure: FailedSend
    ) -> PlacedAnswer | BufferedAnswer | Refusal:
        """Send the request to another server, if that is allowed after a failure."""
        result = self._results.handle_failure(reservation, failure)
        return self._send_until_answered() if result is None else result

    def _release_withheld(self, reservation: Reservation) -> None:
        """Release a reservation whose server may get no requests any more."""
        self._state.progress.is_sending = False
        self._state.release(reservation)
        self._state.log.withheld(reservation)


def _send_hedge(state: RequestState) -> PlacedAnswer | BufferedAnswer | None:
    return RequestForwarder(state).send_hedge()
