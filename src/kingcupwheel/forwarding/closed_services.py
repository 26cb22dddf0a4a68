"""Detects services whose lock-stepped servers all reject requests; no clock access.

When the machine of a rank fails, its group forms again, which takes seconds. Every
server of the group rejects requests meanwhile, although it is idle. A refused caller
retries once, is refused again and gives up, though the group opens a moment later. The
agents beside the ranks report that a group is closed, but after a power outage of all
machines entries are up before they get reports. The same follows from two servers that
reject requests while no server of the service sends anything.
"""

from __future__ import annotations

from kingcupwheel.forwarding.liveness import STALL_THRESHOLD_S


# Servers that have to reject requests within the window; a single one may only shed
# load.
MIN_REJECTING_SERVERS = 2
REJECTION_WINDOW_S = 1.0


class ClosedServiceDetector:
    """Rejections by one service's servers; the owner has to hold a lock."""

    def __init__(self) -> None:
        self._rejected_at_by_server: dict[str, float] = {}

    def record_rejection(self, server: str, *, idle_s: float, now: float) -> bool:
        """Record a rejection; return whether the whole service rejects requests.

        ``idle_s`` is the time since any server of the service sent data.
        """
        self._rejected_at_by_server = {
            name: at
            for name, at in self._rejected_at_by_server.items()
            if now - at < REJECTION_WINDOW_S
        }
        self._rejected_at_by_server[server] = now
        return (
            len(self._rejected_at_by_server) >= MIN_REJECTING_SERVERS
            and idle_s > STALL_THRESHOLD_S
        )
