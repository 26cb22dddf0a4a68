"""Waits for a place on a server, in the queue that all ways to servers share."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.decisions.candidates import PlacementRequest
from kingcupwheel.entry.refusals import CALLER_LEFT
from kingcupwheel.entry.refusals import LEAVING
from kingcupwheel.entry.refusals import Refusal
from kingcupwheel.entry.tickets import Place
from kingcupwheel.entry.tickets import Ticket
from kingcupwheel.entry.tickets import Wanted
from kingcupwheel.forwarding.endings import retry_after
from kingcupwheel.forwarding.requests import LEAST_URGENT
from kingcupwheel.forwarding.watchdog import AbortReason


if TYPE_CHECKING:
    from kingcupwheel.entry.dispatching import GroupDispatcher
    from kingcupwheel.forwarding.requests import ForwardRequest
    from kingcupwheel.forwarding.watchdog import WatchedRequest

# How often a thread that waits for a place looks whether the wait is over.
_LOOK_S = 0.05
# A server of another data centre counts as so much fuller, one and a half requests of
# six: every byte between data centres has its price, and the ranks of a group run each
# pass together, so that one with a request less is no faster. It took three tenths off
# the bytes between data centres of a calm day, with the same times to first events.
FAR_LOAD = 0.25


class Tried(NamedTuple):
    """What bears on the choice: servers tried, suspicion, and where this entry is."""

    servers: frozenset[str]
    suspect: bool
    data_centre: str


class Hindered(NamedTuple):
    """No place was found in time."""

    limit: str
    why: str
    retry_after_s: float


def wait_for_place(
    dispatcher: GroupDispatcher,
    request: ForwardRequest,
    watched: WatchedRequest,
    tried: Tried,
) -> Place | Hindered | Refusal:
    """Return a place, what hindered one, or the refusal if the caller has left."""
    ask = PlacementRequest(
        work=request.work,
        excluded_servers=tried.servers,
        is_suspect=tried.suspect,
        data_centre=tried.data_centre,
        is_repeatable=request.route.is_idempotent,
        remote_load_penalty=FAR_LOAD,
        prefers_local=True,
    )
    ticket = dispatcher.submit(_wanted(request), ask)
    if not isinstance(ticket, Ticket):
        return Hindered(ticket.limit, ticket.detail, ticket.retry_after_s)
    while True:
        place = ticket.wait(_LOOK_S)
        if isinstance(place, Place):
            if not watched.is_over:
                return place
            dispatcher.release(place)
        elif place is not None:
            after_s = retry_after(request.id, place.rest_s)
            return Hindered(place.limit, place.why, after_s)
        if watched.is_over:
            dispatcher.withdraw(ticket)
            if watched.abort_reason is AbortReason.CALLER_LEFT:
                return CALLER_LEFT
            if watched.abort_reason is AbortReason.SHUTDOWN:
                why = AbortReason.SHUTDOWN.value
                return Hindered(LEAVING.limit, why, retry_after(request.id))
            return Hindered("time-up", "no place", retry_after(request.id))
        dispatcher.pump()


def _wanted(request: ForwardRequest) -> Wanted:
    return Wanted(
        request_id=request.id,
        organisation=request.organisation,
        priority=max(0, LEAST_URGENT - request.priority),
        work=request.work,
        size=request.head.prompt_tokens,
        first_by=request.times.first_by,
    )
