"""Waits in the shared dispatch queue for a reservation on a server."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.decisions.candidates import PlacementRequest
from kingcupwheel.entry.placement_tickets import PlacementTicket
from kingcupwheel.entry.placement_tickets import Reservation
from kingcupwheel.entry.placement_tickets import SubmittedRequest
from kingcupwheel.entry.refusals import CALLER_LEFT
from kingcupwheel.entry.refusals import ENTRY_LEAVING
from kingcupwheel.entry.refusals import Refusal
from kingcupwheel.forwarding.final_refusals import retry_after_s
from kingcupwheel.forwarding.requests import LOWEST_PRIORITY
from kingcupwheel.forwarding.watchdog import AbortReason


if TYPE_CHECKING:
    from collections.abc import Callable

    from kingcupwheel.entry.group_dispatcher import GroupDispatcher
    from kingcupwheel.forwarding.requests import ForwardRequest
    from kingcupwheel.forwarding.watchdog import WatchedRequest

# Interval at which a waiting thread checks whether its request is over.
_POLL_INTERVAL_S = 0.05
# Load added to servers of other data centres, as a fraction of their capacity: one and
# a half requests of six. Traffic between data centres has a cost, and since the ranks
# of a group run each pass together, a less loaded rank is no faster. This saves three
# tenths of the traffic between data centres at the same time to first event.
REMOTE_LOAD_PENALTY = 0.25


class PlacementConstraints(NamedTuple):
    """Constraints on the choice of a server.

    ``tried_servers`` are not used again. ``is_suspect`` tells that a server may have
    crashed because of the request. ``data_centre`` is the one of this entry. The server
    has to answer by ``first_byte_deadline_at`` (monotonic). ``ticket_id`` is unique
    among the waiting requests.
    """

    tried_servers: frozenset[str]
    is_suspect: bool
    data_centre: str
    first_byte_deadline_at: float
    ticket_id: str


class RunWithdrawn(NamedTuple):
    """The request may not run any more, or not without being admitted again."""


class ReservationFailure(NamedTuple):
    """No server was reserved in time; ``limit`` names the limit that was reached."""

    limit: str
    reason: str
    retry_after_s: float


def wait_for_reservation(
    dispatcher: GroupDispatcher,
    request: ForwardRequest,
    watched: WatchedRequest,
    constraints: PlacementConstraints,
    *,
    may_run: Callable[[], bool] = lambda: True,
) -> Reservation | ReservationFailure | RunWithdrawn | Refusal:
    """Return a reservation, why there is none, or the refusal if the caller left.

    ``may_run`` is called several times a second: a request that has turned out to crash
    servers leaves the queue at once.
    """
    placement_request = PlacementRequest(
        work=request.predicted_work,
        excluded_servers=constraints.tried_servers,
        is_suspect=constraints.is_suspect,
        data_centre=constraints.data_centre,
        is_repeatable=request.route.is_idempotent,
        remote_load_penalty=REMOTE_LOAD_PENALTY,
        prefers_local=True,
    )
    ticket = dispatcher.submit(_ticket_request(request, constraints), placement_request)
    if not isinstance(ticket, PlacementTicket):
        return ReservationFailure(ticket.limit, ticket.detail, ticket.retry_after_s)
    while True:
        result = ticket.wait(_POLL_INTERVAL_S)
        if isinstance(result, Reservation):
            if not watched.is_over:
                return result
            dispatcher.release(result)
        elif result is not None:
            after_s = retry_after_s(request.id, result.backoff_left_s)
            return ReservationFailure(result.reason, result.detail, after_s)
        if watched.is_over:
            dispatcher.withdraw(ticket)
            if watched.abort_reason is AbortReason.CALLER_LEFT:
                return CALLER_LEFT
            if watched.abort_reason is AbortReason.SHUTDOWN:
                reason = AbortReason.SHUTDOWN.value
                return ReservationFailure(
                    ENTRY_LEAVING.reason, reason, retry_after_s(request.id)
                )
            return ReservationFailure("time-up", "no place", retry_after_s(request.id))
        if not may_run():
            dispatcher.withdraw(ticket)
            return RunWithdrawn()
        dispatcher.place_waiting()


def _ticket_request(
    request: ForwardRequest, constraints: PlacementConstraints
) -> SubmittedRequest:
    return SubmittedRequest(
        request_id=constraints.ticket_id,
        organisation=request.organisation,
        priority=max(0, LOWEST_PRIORITY - request.priority),
        work=request.predicted_work,
        prompt_size=request.head.prompt_tokens,
        first_byte_deadline_at=constraints.first_byte_deadline_at,
    )
