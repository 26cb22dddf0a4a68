"""A request's wait for a place on a server, and what ends it."""

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
    """What a request asks of a group's queue.

    ``work`` is predicted work in tokens, ``size`` what its first byte's time grows
    with; ``first_by`` is monotonic: when its first byte has to be there.
    """

    request_id: str
    organisation: str
    priority: int
    work: float
    size_bytes: float
    first_byte_deadline_at: float


class Reservation(NamedTuple):
    """A server to dispatch to, as of its latest heartbeat."""

    server: str
    address: str
    incarnation: str
    token: int
    decision: SelectedServer
    waited_s: float
    work: float
    is_suspect: bool


class PlacementFailure(NamedTuple):
    """The wait ended without a place.

    ``limit`` is ``deadline``, or where waiting could not help ``no-server`` or
    ``servers-rest``; ``why`` is what stood in the way last. ``rest_s`` is how long the
    first rest still lasts where nothing but rests stands in the way, else 0.
    """

    reason: str
    detail: str
    backoff_left_s: float = 0.0


class PlacementTicket:
    """A request's wait for a place."""

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
        """What stood in the way last."""
        return (
            "no server is known" if self.blocked_by is None else self.blocked_by.reason
        )

    def complete(self, result: Reservation | PlacementFailure) -> None:
        """End the wait."""
        self._results.put(result)

    def wait(self, timeout_s: float) -> Reservation | PlacementFailure | None:
        """Return the end of the wait, or None after ``timeout_s`` seconds."""
        try:
            return self._results.get(timeout=max(0.0, timeout_s))
        except Empty:
            return None
