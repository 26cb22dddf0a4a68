"""The requests that an entry is answering, and how long answers took recently."""

from __future__ import annotations

from threading import Lock
from typing import TYPE_CHECKING

from kingcupwheel.decisions.max_duration import RecentMaxDuration


if TYPE_CHECKING:
    from kingcupwheel.forwarding.admission import ReceivedRequest
    from kingcupwheel.forwarding.requests import ForwardRequest


class ActiveRequests:
    """Safe from any thread; times are monotonic seconds."""

    def __init__(self) -> None:
        self._received_at_by_id: dict[str, float] = {}
        self._durations_by_route: dict[str, RecentMaxDuration] = {}
        self._lock = Lock()

    def __len__(self) -> int:
        return len(self._received_at_by_id)

    @property
    def received_at_by_id(self) -> dict[str, float]:
        """When each request came that is not yet answered to its end."""
        with self._lock:
            return dict(self._received_at_by_id)

    def add(self, received: ReceivedRequest) -> str:
        """Count a request in; return its id, made different from those under way."""
        with self._lock:
            request_id = received.id
            number = 2
            while request_id in self._received_at_by_id:
                request_id = f"{received.id}~{number}"
                number += 1
            self._received_at_by_id[request_id] = received.received_at
        return request_id

    def remove(self, request_id: str) -> None:
        """Count a request out."""
        with self._lock:
            self._received_at_by_id.pop(request_id, None)

    def record_answer(self, request: ForwardRequest, now: float) -> None:
        """Note that a request got an answer of a server, which ended at ``now``."""
        with self._lock:
            durations = self._durations_by_route.setdefault(
                request.route.name, RecentMaxDuration()
            )
            durations.record(now - request.received_at, now)

    def longest_answer_s(self, request: ForwardRequest, now: float) -> float | None:
        """Return how long the longest recent answer took, or has taken so far.

        None if its route had no recent answer: a lookup tells nothing of a stream.
        """
        with self._lock:
            durations = self._durations_by_route.get(request.route.name)
            longest_s = None if durations is None else durations.max_s(now)
            if longest_s is None:
                return None
            first_came_at = min(self._received_at_by_id.values(), default=now)
            return max(longest_s, now - first_came_at)
