"""The requests that an entry is answering, and how long answers took recently."""

from __future__ import annotations

from threading import Lock
from typing import TYPE_CHECKING

from kingcupwheel.decisions.max_duration import RecentMaxDuration


if TYPE_CHECKING:
    from kingcupwheel.forwarding.admitting import Received
    from kingcupwheel.forwarding.requests import ForwardRequest


class Underway:
    """Safe from any thread; times are monotonic seconds."""

    def __init__(self) -> None:
        self._came_at_by_id: dict[str, float] = {}
        self._durations_by_route: dict[str, RecentMaxDuration] = {}
        self._lock = Lock()

    def __len__(self) -> int:
        return len(self._came_at_by_id)

    @property
    def came_at_by_id(self) -> dict[str, float]:
        """When each request came that is not yet answered to its end."""
        with self._lock:
            return dict(self._came_at_by_id)

    def enter(self, received: Received) -> str:
        """Count a request in; return its id, made different from those under way."""
        with self._lock:
            found = received.id
            number = 2
            while found in self._came_at_by_id:
                found = f"{received.id}~{number}"
                number += 1
            self._came_at_by_id[found] = received.at
        return found

    def leave(self, request_id: str) -> None:
        """Count a request out."""
        with self._lock:
            self._came_at_by_id.pop(request_id, None)

    def answered(self, request: ForwardRequest, now: float) -> None:
        """Note that a request got an answer of a server, which ended at ``now``."""
        with self._lock:
            durations = self._durations_by_route.setdefault(
                request.route.name, RecentMaxDuration()
            )
            durations.record(now - request.received_at, now)

    def longest_s(self, request: ForwardRequest, now: float) -> float | None:
        """Return how long the longest recent answer took, or has taken so far.

        None if its route had no recent answer: a lookup tells nothing of a stream.
        """
        with self._lock:
            durations = self._durations_by_route.get(request.route.name)
            longest_s = None if durations is None else durations.max_s(now)
            if longest_s is None:
                return None
            first_came_at = min(self._came_at_by_id.values(), default=now)
            return max(longest_s, now - first_came_at)
