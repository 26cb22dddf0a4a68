"""Request queue and placement of one server group.

The decisions are pure functions and classes in ``decisions``; this module collects
their inputs and applies their results, under one lock per group.
"""

from __future__ import annotations

from collections import deque
from random import Random
from threading import Lock
from time import monotonic
from typing import TYPE_CHECKING

from kingcupwheel.decisions.admission import LimitRefusal
from kingcupwheel.decisions.candidates import NoServerAvailable
from kingcupwheel.decisions.candidates import PlacementRequest
from kingcupwheel.decisions.candidates import SelectedServer
from kingcupwheel.decisions.eligibility import select_eligible
from kingcupwheel.decisions.fair_queue import Enqueued
from kingcupwheel.decisions.fair_queue import FairQueue
from kingcupwheel.decisions.fair_queue import QueuedRequest
from kingcupwheel.decisions.first_byte_latency import FirstByteLatencyBound
from kingcupwheel.decisions.group_health import GroupHealth
from kingcupwheel.decisions.return_times import ReturnTimes
from kingcupwheel.entry.candidate_builder import CandidateBuilder
from kingcupwheel.entry.placement_failures import backoff_left_s
from kingcupwheel.entry.placement_failures import find_placement_failure
from kingcupwheel.entry.placement_tickets import PlacementFailure
from kingcupwheel.entry.placement_tickets import PlacementTicket
from kingcupwheel.entry.placement_tickets import Reservation
from kingcupwheel.plugins.registries import placement_policies


if TYPE_CHECKING:
    from kingcupwheel.entry.placement_tickets import SubmittedRequest
    from kingcupwheel.entry.server_table import Server
    from kingcupwheel.entry.server_table import ServerTable
    from kingcupwheel.manifest.schema import ServerGroup

# Requests that only some servers may take (retries, crash suspects) wait outside the
# queue, so that they don't block its head. They are rare, so few suffice.
_MAX_CONSTRAINED = 32


class GroupDispatcher:
    """Queues and places the requests of one server group; thread-safe."""

    def __init__(
        self, group: ServerGroup, servers: ServerTable, *, data_centre: str
    ) -> None:
        self._group = group
        self._servers = servers
        self._data_centre = data_centre
        self._policy = placement_policies.get(group.placement)()
        self._queue = FairQueue(max_requests=group.queue)
        self._health = GroupHealth()
        self._candidates = CandidateBuilder(group, servers, self._health)
        self._first_byte_latency = FirstByteLatencyBound()
        self._return_times = ReturnTimes()
        self._tickets_by_request_id: dict[str, PlacementTicket] = {}
        self._blocked_head: PlacementTicket | None = None
        self._constrained: deque[PlacementTicket] = deque()
        # Not seeded: entries with equal random numbers would choose the same servers.
        self._random = Random()
        self._lock = Lock()

    @property
    def waiting_count(self) -> int:
        """Number of waiting requests."""
        return len(self._tickets_by_request_id)

    def submit(
        self, request: SubmittedRequest, placement_request: PlacementRequest
    ) -> PlacementTicket | LimitRefusal:
        """Queue a request and place all requests that can be placed now.

        Returns the request's ticket, or a refusal if the queue does not take it.
        """
        now = monotonic()
        queued = QueuedRequest(
            request_id=request.request_id,
            organisation=request.organisation,
            priority=request.priority,
            work=request.work,
            deadline_at=self._compute_queue_deadline(request),
            queued_at=now,
        )
        ticket = PlacementTicket(queued, placement_request)
        is_predicted_late = queued.deadline_at <= now < request.first_byte_deadline_at
        with self._lock:
            if is_predicted_late and self._try_place_on_idle(ticket, now):
                return ticket
            refusal = self._enqueue(ticket, now)
            if refusal is not None:
                return refusal
            self._tickets_by_request_id[request.request_id] = ticket
            self._place_waiting(now)
        return ticket

    def _compute_queue_deadline(self, request: SubmittedRequest) -> float:
        # A request placed just before its deadline would get its first byte too late,
        # and the server's work on it would be wasted.
        with self._lock:
            return request.first_byte_deadline_at - self._first_byte_latency.bound_s(
                request.prompt_size, monotonic()
            )

    def _enqueue(self, ticket: PlacementTicket, now: float) -> LimitRefusal | None:
        if (
            ticket.placement_request.is_suspect
            or ticket.placement_request.excluded_servers
        ):
            if len(self._constrained) >= _MAX_CONSTRAINED:
                return LimitRefusal("retries-full", "Too many retries wait.", 1.0)
            self._constrained.append(ticket)
            return None
        match self._queue.push(ticket.queued, now):
            case Enqueued(ahead):
                ticket.requests_ahead = ahead
                return None
            case LimitRefusal() as refused:
                return refused

    def withdraw(self, ticket: PlacementTicket) -> None:
        """Remove the ticket of a caller that left; release its reservation, if any."""
        with self._lock:
            self._remove(ticket)
        result = ticket.wait(0)
        if isinstance(result, Reservation):
            self.release(result)

    def _remove(self, ticket: PlacementTicket) -> None:
        request_id = ticket.queued.request_id
        if self._tickets_by_request_id.get(request_id) is ticket:
            del self._tickets_by_request_id[request_id]
        self._queue.remove(request_id, monotonic())
        if self._blocked_head is ticket:
            self._blocked_head = None
        if ticket in self._constrained:
            self._constrained.remove(ticket)

    def release(self, reservation: Reservation) -> None:
        """Release a reservation and place waiting requests."""
        self._servers.release_attempt(
            reservation.address,
            reservation.incarnation,
            is_suspect=reservation.is_suspect,
        )
        self.place_waiting()

    def record_success(self, reservation: Reservation, token_s: float) -> None:
        """Count a complete answer that took ``token_s`` seconds per token."""
        with self._lock:
            self._health.get(reservation.server).record_success(token_s, monotonic())

    def record_first_byte_latency(self, seconds: float, prompt_size: float) -> None:
        """Record the time from dispatch to first byte of a prompt of this size."""
        with self._lock:
            self._first_byte_latency.record(seconds, prompt_size, monotonic())

    def record_failure(self, reservation: Reservation) -> None:
        """Count an attempt that failed because of its server.

        Attempts of an earlier incarnation are not counted: a server that restarts under
        its name loses everything it ran, and these losses, noticed late, would eject
        the new incarnation for seconds.
        """
        if not self._servers.is_current_incarnation(
            reservation.address, reservation.incarnation
        ):
            return
        with self._lock:
            self._health.get(reservation.server).record_failure(monotonic())

    def get_backoff_left_s(
        self, excluded_servers: frozenset[str] = frozenset()
    ) -> float:
        """Return the time until a backoff or rate limit lets a server take a request.

        It is 0 if any server outside ``excluded_servers`` may get work, or if none of
        them is backing off or limited.
        """
        now = monotonic()
        selection = self._find_unavailability(excluded_servers, now)
        return 0.0 if selection is None else backoff_left_s(selection, 0, now)

    def may_place_before(
        self, deadline_at: float, excluded_servers: frozenset[str]
    ) -> bool:
        """Return whether a server outside ``excluded_servers`` may get work in time.

        False only if backoffs and rate limits prevent it until ``deadline_at``.
        """
        selection = self._find_unavailability(excluded_servers, monotonic())
        available_at = None if selection is None else selection.available_at(0)
        return available_at is None or available_at < deadline_at

    def _find_unavailability(
        self, excluded_servers: frozenset[str], now: float
    ) -> NoServerAvailable | None:
        with self._lock, self._servers.lock:
            selection = select_eligible(
                self._candidates.build(self._get_reporting_servers_by_name(), now),
                PlacementRequest(excluded_servers=excluded_servers),
            )
        return selection if isinstance(selection, NoServerAvailable) else None

    def reset_server_health(self, server: str) -> None:
        """Forget the failures of a server's earlier incarnation."""
        with self._lock:
            self._health.reset(server)

    def place_waiting(self) -> None:
        """Place waiting requests; called whenever a server may have free capacity."""
        with self._lock:
            self._place_waiting(monotonic())

    def _place_waiting(self, now: float) -> None:
        self._expire(now)
        for _ in range(len(self._constrained)):
            ticket = self._constrained.popleft()
            if not self._try_place(ticket, now):
                self._constrained.append(ticket)
        while (next_ticket := self._pop_next(now)) is not None:
            if not self._try_place(next_ticket, now):
                self._blocked_head = next_ticket
                self._fail_unplaceable(next_ticket, now)
                return

    def _fail_unplaceable(self, blocked_ticket: PlacementTicket, now: float) -> None:
        """Fail the tickets that backoffs and rate limits let no server take in time.

        They wait behind ``blocked_ticket``. Under a rate limit the servers take one
        after the other, so each ticket that is kept delays those after it.
        """
        blocked_by = blocked_ticket.blocked_by
        if blocked_by is None or blocked_by.backoff_ends_at is None:
            return
        waiting = [
            one
            for one in self._tickets_by_request_id.values()
            if one is not blocked_ticket and one not in self._constrained
        ]
        waiting.sort(key=lambda one: (-one.queued.priority, one.queued.queued_at))
        kept = 0
        for ticket in (blocked_ticket, *waiting):
            failure = find_placement_failure(ticket, blocked_by, now, kept)
            if failure is None:
                kept += 1
            else:
                self._remove(ticket)
                ticket.complete(self._spread_return(failure, blocked_by, now))

    def _spread_return(
        self, failure: PlacementFailure, blocked_by: NoServerAvailable, now: float
    ) -> PlacementFailure:
        limits = blocked_by.rate_limits
        if limits is None:
            return failure
        rate = limits.rate or limits.total_rate
        at = self._return_times.reserve(now + failure.backoff_left_s, rate)
        return failure._replace(backoff_left_s=at - now)

    def _pop_next(self, now: float) -> PlacementTicket | None:
        if self._blocked_head is not None:
            head, self._blocked_head = self._blocked_head, None
            return head
        while (queued := self._queue.pop(now)) is not None:
            ticket = self._tickets_by_request_id.get(queued.request_id)
            if ticket is not None:
                return ticket
        return None

    def _expire(self, now: float) -> None:
        self._queue.take_expired(now)
        expired = [
            ticket
            for ticket in self._tickets_by_request_id.values()
            if ticket.queued.deadline_at <= now
        ]
        for ticket in expired:
            self._remove(ticket)
            ticket.complete(PlacementFailure("deadline", ticket.blocking_reason))

    def _try_place(self, ticket: PlacementTicket, now: float) -> bool:
        with self._servers.lock:
            servers = self._get_reporting_servers_by_name()
            decision = self._policy.place(
                self._candidates.build(servers, now),
                ticket.placement_request,
                now,
                self._random,
            )
            match decision:
                case NoServerAvailable():
                    ticket.blocked_by = decision
                    failure = find_placement_failure(ticket, decision, now)
                    result: Reservation | PlacementFailure | None = failure
                    if failure is not None:
                        result = self._spread_return(failure, decision, now)
                case SelectedServer(server=name):
                    result = self._reserve(servers[name], decision, ticket, now)
        if result is None:
            return False
        del self._tickets_by_request_id[ticket.queued.request_id]
        ticket.complete(result)
        return True

    def _try_place_on_idle(self, ticket: PlacementTicket, now: float) -> bool:
        """Place a request with a late predicted first byte if a server is idle.

        After a load peak, its slow first bytes keep the latency bound above callers'
        deadlines, so requests would be refused although servers are idle and nothing
        waits. An idle server's capacity is taken from no other request, and its
        first-byte latency corrects the bound.
        """
        if len(self._queue) or self._blocked_head is not None:
            return False
        with self._servers.lock:
            servers = self._get_reporting_servers_by_name()
            idle_candidates = [
                one for one in self._candidates.build(servers, now) if one.is_idle
            ]
            decision = self._policy.place(
                idle_candidates, ticket.placement_request, now, self._random
            )
            if not isinstance(decision, SelectedServer):
                return False
            reservation = self._reserve(servers[decision.server], decision, ticket, now)
        ticket.complete(reservation)
        return True

    def _reserve(
        self,
        server: Server,
        decision: SelectedServer,
        ticket: PlacementTicket,
        now: float,
    ) -> Reservation:
        permit_expires_at = self._servers.rate_limits.acquire(
            server.known_heartbeat.incarnation, now
        )
        return _build_reservation(server, decision, ticket, now, permit_expires_at)

    def _get_reporting_servers_by_name(self) -> dict[str, Server]:
        return {
            server.name: server
            for server in self._servers.list_by_group(self._group.name)
            if server.last_heartbeat is not None
        }


def _build_reservation(
    server: Server,
    decision: SelectedServer,
    ticket: PlacementTicket,
    now: float,
    permit_expires_at: float | None,
) -> Reservation:
    heartbeat = server.known_heartbeat
    server.in_flight += 1
    server.suspect_count += ticket.placement_request.is_suspect
    return Reservation(
        server=server.name,
        address=server.instance.address,
        incarnation=heartbeat.incarnation,
        token=heartbeat.token,
        decision=decision,
        waited_s=now - ticket.queued.queued_at,
        work=ticket.queued.work,
        is_suspect=ticket.placement_request.is_suspect,
        permit_expires_at=permit_expires_at,
    )
