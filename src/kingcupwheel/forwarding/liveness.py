"""Liveness trackers of the servers of a service; they do not read the clock.

The ranks of a group run each pass together, so when one of them stalls, all of them do,
and every stream of the group looks as if its own server had failed. Resuming these
streams at other servers of the same group would gain nothing: they are stalled too and
would have to process the prompts again.
"""

from __future__ import annotations


# A service that has sent nothing for longer is stalled as a whole. Its streams send an
# event every 0.06 s, and passes rarely take longer than 0.1 s.
STALL_THRESHOLD_S = 0.4


class LivenessTracker:
    """Tracks when each server of one service last sent data to this entry."""

    def __init__(self) -> None:
        self._active_at_by_server: dict[str, float] = {}
        self.is_stalled = False

    def record_activity(self, server: str, now: float) -> None:
        """Record that a server sent data."""
        self._active_at_by_server[server] = now

    def is_other_server_active(self, server: str, now: float) -> bool:
        """Return whether another server sent data recently."""
        return any(
            now - at <= STALL_THRESHOLD_S
            for name, at in tuple(self._active_at_by_server.items())
            if name != server
        )

    def idle_s(self, now: float) -> float:
        """Return the time since any server sent data, infinite if none ever did."""
        return now - max(
            tuple(self._active_at_by_server.values()), default=float("-inf")
        )

    def update_stalled(self, *, stream_count: int, now: float) -> bool:
        """Update ``is_stalled``; return whether it has changed.

        Without streams in progress, no data is expected and the service is not stalled.
        """
        is_stalled = stream_count > 0 and STALL_THRESHOLD_S < self.idle_s(now) < float(
            "inf"
        )
        has_changed = is_stalled != self.is_stalled
        self.is_stalled = is_stalled
        return has_changed

    def remove_server(self, server: str) -> None:
        """Remove a server that has left."""
        self._active_at_by_server.pop(server, None)


class LivenessTrackers:
    """Liveness trackers by service."""

    def __init__(self) -> None:
        self._by_service: dict[str, LivenessTracker] = {}

    def for_service(self, service: str) -> LivenessTracker:
        """Return the tracker of a service."""
        return self._by_service.setdefault(service, LivenessTracker())

    def items(self) -> tuple[tuple[str, LivenessTracker], ...]:
        """Return all services and their trackers."""
        return tuple(self._by_service.items())

    def remove_server(self, server: str) -> None:
        """Remove a server that has left from all trackers."""
        for tracker in tuple(self._by_service.values()):
            tracker.remove_server(server)
