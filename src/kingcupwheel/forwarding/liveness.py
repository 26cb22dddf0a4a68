"""Whether a service's servers send anything at all. Pure: times are arguments.

Load: the ranks of a group run each pass together, so when one of them stalls all of
them do. Harm prevented: every stream of the group looks as if its own server had gone
silent; each is given up and sent to another server of the same group, which has to read
its prompt again once the group goes on, and nothing is gained.
"""

from __future__ import annotations


# A service whose last sign of life is older stands still as a whole, in seconds. Its
# streams send an event each 0.06 s; passes are seldom longer than 0.1.
STALL_THRESHOLD_S = 0.4


class LivenessTracker:
    """The signs of life of one service's servers, as one entry sees them."""

    def __init__(self) -> None:
        self._active_at_by_server: dict[str, float] = {}
        self.is_stalled = False

    def record_activity(self, server: str, now: float) -> None:
        """Note that a server sent something."""
        self._active_at_by_server[server] = now

    def is_other_server_active(self, server: str, now: float) -> bool:
        """Return whether another server sent something of late."""
        return any(
            now - at <= STALL_THRESHOLD_S
            for name, at in tuple(self._active_at_by_server.items())
            if name != server
        )

    def idle_s(self, now: float) -> float:
        """Return how long ago any server sent something; infinite if never."""
        return now - max(
            tuple(self._active_at_by_server.values()), default=float("-inf")
        )

    def update_stalled(self, *, stream_count: int, now: float) -> bool:
        """Return whether the service has just come to stand still, or gone on.

        ``streams`` are those under way; without any there is nothing to hear.
        """
        is_stalled = stream_count > 0 and STALL_THRESHOLD_S < self.idle_s(now) < float(
            "inf"
        )
        has_changed = is_stalled != self.is_stalled
        self.is_stalled = is_stalled
        return has_changed

    def remove_server(self, server: str) -> None:
        """Drop a server that left."""
        self._active_at_by_server.pop(server, None)


class LivenessTrackers:
    """Pulses by service."""

    def __init__(self) -> None:
        self._by_service: dict[str, LivenessTracker] = {}

    def for_service(self, service: str) -> LivenessTracker:
        """Return the service's pulse."""
        return self._by_service.setdefault(service, LivenessTracker())

    def items(self) -> tuple[tuple[str, LivenessTracker], ...]:
        """Return every service's pulse."""
        return tuple(self._by_service.items())

    def remove_server(self, server: str) -> None:
        """Drop a server that left, whatever its service."""
        for pulse in tuple(self._by_service.values()):
            pulse.remove_server(server)
