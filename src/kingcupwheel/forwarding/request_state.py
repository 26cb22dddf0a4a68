"""What one request has led to so far, shared by the parts that forward it."""

from __future__ import annotations

from time import monotonic
from typing import TYPE_CHECKING

from kingcupwheel.entry.answers import BufferedAnswer
from kingcupwheel.entry.answers import RefusedAnswer
from kingcupwheel.forwarding.answer_memory import RequestMemory
from kingcupwheel.forwarding.exceptions import AnswerLostError
from kingcupwheel.forwarding.late_servers import LateServerPolicy
from kingcupwheel.forwarding.request_log import RequestLog
from kingcupwheel.forwarding.request_progress import RequestProgress
from kingcupwheel.forwarding.run_evidence import RunEvidence
from kingcupwheel.forwarding.watchdog import AbortReason
from kingcupwheel.forwarding.watchdog import WatchedRequest
from kingcupwheel.messages.attempts import Outcome


if TYPE_CHECKING:
    from collections.abc import Callable

    from kingcupwheel.entry.group_dispatcher import GroupDispatcher
    from kingcupwheel.entry.placement_tickets import Reservation
    from kingcupwheel.entry.refusals import Refusal
    from kingcupwheel.forwarding.context import ForwardContext
    from kingcupwheel.forwarding.http_metadata import AnswerHead
    from kingcupwheel.forwarding.http_metadata import ServerNotice
    from kingcupwheel.forwarding.requests import ForwardRequest
    from kingcupwheel.forwarding.server_answer import ServerAnswer


class RequestState:
    """The state of one request, or of one hedge of it; not thread-safe.

    ``sent_at`` is when the current server was sent the request (monotonic),
    ``has_answer_begun`` whether it has begun to answer, and ``is_silence_recorded``
    whether its silence counts as its failure. ``server_error`` is the error that a
    server answered with before a retry, with its head. ``claim_answer`` is None for the
    request's own sends; for a hedge it tells whether its answer is the one to use.
    """

    def __init__(
        self,
        context: ForwardContext,
        request: ForwardRequest,
        watched: WatchedRequest,
        progress: RequestProgress | None = None,
        memory: RequestMemory | None = None,
    ) -> None:
        self.context = context
        self.request = request
        self.watched = watched
        self.progress = progress or RequestProgress(request)
        self.memory = memory or RequestMemory()
        self.late_servers = LateServerPolicy(context, request, self.progress)
        self.log = RequestLog(context.metrics, request)
        self.evidence = RunEvidence(context, request, watched)
        self.sent_at = 0.0
        self.has_answer_begun = False
        self.is_silence_recorded = False
        self.server_error: tuple[AnswerHead, bytes] | None = None
        self.claim_answer: Callable[[], bool] | None = None

    def fork(self, server: str) -> RequestState:
        """Return the state of a hedge, as if the answer of ``server`` was lost."""
        return RequestState(
            self.context,
            self.request,
            WatchedRequest(self.watched.caller_socket, self.watched.deadline_at),
            self.progress.fork(server),
            self.memory,
        )

    @property
    def dispatcher(self) -> GroupDispatcher:
        """The dispatcher of the service's current servers.

        A stream may outlive the servers that were known when it was admitted.
        """
        return self.context.dispatchers.get(self.context.group_of(self.request.service))

    @property
    def is_hedge(self) -> bool:
        """Whether these are the sends of a hedge."""
        return self.claim_answer is not None

    @property
    def ticket_id(self) -> str:
        """Id under which a send waits in the queue."""
        return f"{self.request.id}+hedge" if self.is_hedge else self.request.id

    def claim(self) -> None:
        """Claim the request for this answer; raises AnswerLostError if it is taken."""
        if self.claim_answer is None or self.claim_answer():
            return
        self.watched.abort(AbortReason.SUPERSEDED)
        raise AnswerLostError(AbortReason.SUPERSEDED.value)

    def stop_watching(self) -> None:
        """Let the watchdog no longer check the request."""
        self.context.watchdog.unwatch(self.watched)

    def release(self, reservation: Reservation) -> None:
        """Release a reservation."""
        self.dispatcher.release(reservation)

    def end_answer(self, reservation: Reservation, answer: ServerAnswer) -> None:
        """Release an answer's connection and its reservation; call it once."""
        self.context.release_connection(reservation, answer)
        self.release(reservation)

    def record_notice(self, reservation: Reservation, notice: ServerNotice) -> None:
        """Record what the current server's answer says about it."""
        self.context.record_notice(
            reservation, notice, self.request.id, sent_at=self.sent_at
        )

    def record_first_byte(self) -> None:
        """Record the time to first byte, counted from the send to this server."""
        self.has_answer_begun = True
        latency_s = monotonic() - self.sent_at
        self.dispatcher.record_first_byte_latency(
            latency_s, self.request.head.prompt_tokens
        )

    def record_event(self, event_id: str) -> None:
        """Record the last event sent to the caller, after which a resume starts."""
        if event_id:
            self.progress.last_event_id = event_id

    def record_progress(self, now: float) -> None:
        """Record that the caller got an event."""
        self.progress.last_event_at = now
        self.evidence.record_progress(now)

    def record_success(
        self, reservation: Reservation, head: AnswerHead, latency_s: float
    ) -> None:
        """Record a complete answer.

        ``latency_s`` is compared between the servers of a service.
        """
        self.dispatcher.record_success(reservation, latency_s)
        self.evidence.record_completion(
            reservation, status=head.status, is_framed=head.is_framed
        )

    def record_abandoned_stream(self, reservation: Reservation) -> None:
        """Record that the caller has left while the server sent nothing."""
        self.watched.abort(AbortReason.CALLER_LEFT)
        self.evidence.record_lost(reservation)

    def whole_answer(self, head: AnswerHead, body: bytes) -> BufferedAnswer:
        """Log a complete answer and return it."""
        self.log_finished(head.status, len(body), "whole")
        return BufferedAnswer(head.status, head.caller_headers, body, Outcome.RAN)

    def log_refusal(self, refusal: Refusal) -> RefusedAnswer:
        """Log the final refusal and return it as an answer."""
        self.log_finished(refusal.status, 0, refusal.reason, refusal.message)
        return RefusedAnswer(refusal)

    def log_finished(
        self, status: int, body_bytes: int, how: str, reason: str = "", **times: object
    ) -> None:
        """Log and count the result that the caller gets."""
        self.log.finished(
            status, body_bytes, how, reason, self.progress.counts, **times
        )
