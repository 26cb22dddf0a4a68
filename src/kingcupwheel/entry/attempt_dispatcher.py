"""Reserves a server for each attempt of a request and dispatches it once."""

from __future__ import annotations

from time import monotonic
from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.decisions.candidates import PlacementRequest
from kingcupwheel.entry.answer_reader import FLOW_CREDIT_BYTES
from kingcupwheel.entry.answer_reader import AnswerReader
from kingcupwheel.entry.attempt_inboxes import AttemptKey
from kingcupwheel.entry.placement_tickets import PlacementFailure
from kingcupwheel.entry.placement_tickets import PlacementTicket
from kingcupwheel.entry.placement_tickets import Reservation
from kingcupwheel.entry.placement_tickets import SubmittedRequest
from kingcupwheel.entry.refusals import Refusal
from kingcupwheel.link.links import OutgoingLink
from kingcupwheel.messages.attempts import ClaimRef
from kingcupwheel.messages.attempts import Dispatch
from kingcupwheel.trace.events import AttemptDispatched
from kingcupwheel.trace.events import ConsideredServer
from kingcupwheel.trace.events import RequestPlaced
from kingcupwheel.trace.events import RequestQueued


if TYPE_CHECKING:
    from kingcupwheel.claims.claim_records import StoredClaim
    from kingcupwheel.entry.caller_connection import CallerConnection
    from kingcupwheel.entry.caller_requests import CallerRequest
    from kingcupwheel.entry.context import EntryContext

# Interval at which a waiting thread checks whether its caller is still connected.
CALLER_POLL_INTERVAL_S = 0.5


class AdmittedRequest(NamedTuple):
    """An admitted request with the inputs of its placement.

    ``predicted_work`` is in tokens. ``is_suspect`` means that the request ran on a
    server when it crashed.
    """

    request: CallerRequest
    predicted_work: float
    is_suspect: bool


class AttemptDispatcher:
    """Starts the attempts of one request; not thread-safe."""

    def __init__(
        self,
        context: EntryContext,
        admitted: AdmittedRequest,
        connection: CallerConnection,
    ) -> None:
        self._context = context
        self._admitted = admitted
        self._connection = connection
        self._count = 0
        self._excluded_servers: frozenset[str] = frozenset()

    @property
    def count(self) -> int:
        """Number of attempts placed so far."""
        return self._count

    def exclude_server(self, server: str, *, is_suspect: bool = False) -> None:
        """Place no further attempt on ``server``; ``is_suspect`` marks the request."""
        self._excluded_servers |= {server}
        if is_suspect:
            self._admitted = self._admitted._replace(is_suspect=True)

    def reserve_server(self) -> Reservation | Refusal:
        """Wait for a server with free capacity.

        Raises CallerDisconnectedError if the caller disconnects meanwhile.
        """
        request = self._admitted.request
        placement_request = PlacementRequest(
            prefix_key=request.prefix_key,
            work=self._admitted.predicted_work,
            excluded_servers=self._excluded_servers,
            is_suspect=self._admitted.is_suspect,
            data_centre=self._context.settings.data_centre,
            is_repeatable=request.route.repeatable,
        )
        dispatcher = self._context.dispatchers.get(request.group)
        submitted = SubmittedRequest(
            request_id=request.request_id,
            organisation=request.organisation.name,
            priority=request.organisation.priority,
            work=self._admitted.predicted_work,
            prompt_size=len(request.body),
            first_byte_deadline_at=request.deadline_at,
        )
        ticket = dispatcher.submit(submitted, placement_request)
        if not isinstance(ticket, PlacementTicket):
            return Refusal(503, ticket.limit, ticket.detail, ticket.retry_after_s)
        result = ticket.wait(0)
        if result is None:
            self._record(RequestQueued(ticket.requests_ahead))
            result = self._wait_for_reservation(ticket)
        if isinstance(result, PlacementFailure):
            return _build_placement_refusal(
                result, self._context.limiter.get_retry_after_s(request)
            )
        refusal = self._context.limiter.find_quarantine(request)
        if refusal is not None:
            self.release(result)
            return refusal
        self._count += 1
        self._record_reservation(result)
        return result

    def _wait_for_reservation(
        self, ticket: PlacementTicket
    ) -> Reservation | PlacementFailure:
        dispatcher = self._context.dispatchers.get(self._admitted.request.group)
        while True:
            result = ticket.wait(CALLER_POLL_INTERVAL_S)
            if result is not None:
                return result
            if self._connection.is_closed():
                dispatcher.withdraw(ticket)
                self._connection.raise_disconnected()
            dispatcher.place_waiting()

    def _record_reservation(self, reservation: Reservation) -> None:
        decision = reservation.decision
        alternatives = tuple(ConsideredServer(*pair) for pair in decision.alternatives)
        event = RequestPlaced(
            reservation.server,
            self._count,
            reservation.waited_s,
            decision.reason,
            alternatives,
        )
        self._record(event)

    def release(self, reservation: Reservation) -> None:
        """Release a reservation that was not used or whose attempt has ended."""
        self._context.dispatchers.get(self._admitted.request.group).release(reservation)

    def record_failure(self, reservation: Reservation) -> None:
        """Count an attempt that failed because of its server."""
        self._context.dispatchers.get(self._admitted.request.group).record_failure(
            reservation
        )

    def dispatch(
        self, reservation: Reservation, held_claim: StoredClaim | None
    ) -> AnswerReader:
        """Send the request to the reserved server's agent, exactly once.

        The inbox is opened first, so that no reply is lost. After a link is replaced
        only ``ResumeRequest`` is sent: with a second copy of a dispatch in transit, a
        ``wrong incarnation`` refusal would not prove that the request has not run.
        """
        context = self._context
        request = self._admitted.request
        key = AttemptKey(request.request_id, self._count)
        inbox = context.inboxes.open(key, reservation.address, reservation.incarnation)
        assert inbox is not None, "attempt numbers are not reused"
        claim = (
            None
            if held_claim is None
            else ClaimRef(held_claim.claim_id, held_claim.record.fence)
        )
        message = _build_dispatch(self._admitted, key, reservation, claim)
        context.hub.send(OutgoingLink(reservation.address, 0), message)
        self._record(AttemptDispatched(reservation.server, self._count))
        return AnswerReader(
            inbox,
            context.hub,
            context.recorder,
            trace_request_id=request.request_id,
            server=reservation.server,
            claim_id=None if held_claim is None else held_claim.claim_id,
            silence_timeout_s=context.settings.timings.silence_s,
        )

    def _record(self, event: RequestQueued | RequestPlaced | AttemptDispatched) -> None:
        self._context.recorder.record(self._admitted.request.request_id, event)


def _build_placement_refusal(
    failure: PlacementFailure, retry_after_s: float
) -> Refusal:
    message = f"No server could take it in time: {failure.detail}."
    return Refusal(503, failure.reason, message, retry_after_s)


def _build_dispatch(
    admitted: AdmittedRequest,
    key: AttemptKey,
    reservation: Reservation,
    claim: ClaimRef | None,
) -> Dispatch:
    request = admitted.request
    return Dispatch(
        request_id=key.request_id,
        attempt=key.attempt,
        incarnation=reservation.incarnation,
        token=reservation.token,
        claim=claim,
        organisation=request.organisation.name,
        fingerprint=request.fingerprint,
        priority=request.organisation.priority,
        streamed=request.is_streamed,
        method=request.method,
        path=request.path,
        headers=request.headers,
        body=request.body,
        work=admitted.predicted_work,
        deadline_s=max(0.0, request.deadline_at - monotonic()),
        credit=FLOW_CREDIT_BYTES,
        manifest_version=request.manifest_version,
        repeatable=request.route.repeatable,
        suspect=admitted.is_suspect,
        part_keys=request.part_keys,
    )
