"""Tickets of requests that wait for placement, and the results of the wait."""

from __future__ import annotations

from queue import Empty
from queue import SimpleQueue
from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from kingcupwheel.decisions.candidates import NoServerAvailable
    from kingcupwheel.decisions.candidates import PlacementRequest
    from kingcupwheel.decisions.candidates import SelectedServer
    from kingcupwheel.decisions.fair_queue import QueuedRequest


class SubmittedRequest(NamedTuple):
    """A request as submitted to a group's queue.

    ``work`` is predicted work in tokens. The first byte's latency grows with
    ``prompt_size``, in any unit that is the same for all requests of the group.
    ``first_byte_deadline_at`` is monotonic.
    """

    request_id: str
    organisation: str
    priority: int
    work: float
    prompt_size: float
    first_byte_deadline_at: float


class Reservation(NamedTuple):
    """Capacity reserved on a server, as of the server's latest heartbeat.

    ``permit_expires_at`` is until when it may be used if the server names a rate limit
    (monotonic seconds), None if it had no limit.
    """

    server: str
    address: str
    incarnation: str
    token: int
    decision: SelectedServer
    waited_s: float
    work: float
    is_suspect: bool
    permit_expires_at: float | None = None


class PlacementFailure(NamedTuple):
    """The wait ended without a reservation.

    ``reason`` is ``deadline``, or, if waiting longer would not help, ``no-server``,
    ``servers-rest`` or ``servers-limited``; ``detail`` is why the last placement
    failed. ``backoff_left_s`` is the time until a server could take the request if only
    backoffs and rate limits prevent a placement, else 0.
    """

    reason: str
    detail: str
    backoff_left_s: float = 0.0


class PlacementTicket:
    """A request's wait for a reservation; completed by its group's dispatcher."""

    def __init__(
        self, queued: QueuedRequest, placement_request: PlacementRequest
    ) -> None:
        self.queued = queued
        self.placement_request = placement_request
        self.blocked_by: NoServerAvailable | None = None
        self.requests_ahead = 0
        self._results: SimpleQueue[Reservation | PlacementFailure] = SimpleQueue()

    @property
    def blocking_reason(self) -> str:
        """Why the last placement failed."""
        return (
            "no server is known" if self.blocked_by is None else self.blocked_by.reason
        )

    def complete(self, result: Reservation | PlacementFailure) -> None:
        """End the wait with this result."""
        self._results.put(result)

    def wait(self, timeout_s: float) -> Reservation | PlacementFailure | None:
        """Return the result of the wait, or None after ``timeout_s`` seconds."""
        try:
            return self._results.get(timeout=max(0.0, timeout_s))
        except Empty:
            return None
