"""Requests in progress at an entry, and durations of its recent answers."""

from __future__ import annotations

from threading import Lock
from typing import TYPE_CHECKING

from kingcupwheel.decisions.max_duration import RecentMaxDuration


if TYPE_CHECKING:
    from kingcupwheel.forwarding.admission import ReceivedRequest
    from kingcupwheel.forwarding.requests import ForwardRequest


class ActiveRequests:
    """Requests in progress; thread-safe, times are monotonic."""

    def __init__(self) -> None:
        self._received_at_by_id: dict[str, float] = {}
        self._durations_by_route: dict[str, RecentMaxDuration] = {}
        self._lock = Lock()

    def __len__(self) -> int:
        return len(self._received_at_by_id)

    @property
    def received_at_by_id(self) -> dict[str, float]:
        """Receive time of each request whose answer has not been sent completely."""
        with self._lock:
            return dict(self._received_at_by_id)

    def add(self, received: ReceivedRequest) -> str:
        """Add a request; return its id, with a suffix if it is already in use."""
        with self._lock:
            request_id = received.id
            number = 2
            while request_id in self._received_at_by_id:
                request_id = f"{received.id}~{number}"
                number += 1
            self._received_at_by_id[request_id] = received.received_at
        return request_id

    def remove(self, request_id: str) -> None:
        """Remove a request."""
        with self._lock:
            self._received_at_by_id.pop(request_id, None)

    def record_answer(self, request: ForwardRequest, now: float) -> None:
        """Record the duration of a server's answer, which ended at ``now``."""
        with self._lock:
            durations = self._durations_by_route.setdefault(
                request.route.name, RecentMaxDuration()
            )
            durations.record(now - request.received_at, now)

    def longest_answer_s(self, request: ForwardRequest, now: float) -> float | None:
        """Return the longest duration of a recent answer or of a request in progress.

        Returns None if the route of ``request`` had no recent answer, since the answers
        of other routes, such as lookups, do not predict the duration of a stream.
        """
        with self._lock:
            durations = self._durations_by_route.get(request.route.name)
            longest_s = None if durations is None else durations.max_s(now)
            if longest_s is None:
                return None
            first_received_at = min(self._received_at_by_id.values(), default=now)
            return max(longest_s, now - first_received_at)
