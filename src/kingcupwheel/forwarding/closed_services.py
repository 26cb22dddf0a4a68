"""Whether a service of lock-stepped servers turns everything away. Pure.

Failure: a rank's machine ends and its group forms anew, for seconds. Symptom: every
server of the group turns requests away, idle as it is; a caller that is refused comes
back once, is refused again and is lost, though the group opens a moment later. The
agents beside the ranks tell that a group is closed, but after all machines have lost
power entries are back before agents are heard. Two servers that turn requests away
while none of the service has sent anything say as much.
"""

from __future__ import annotations

from kingcupwheel.forwarding.liveness import STALL_THRESHOLD_S


# Servers that have to turn requests away within this time, in seconds: one alone may
# shed part of its work.
MIN_REJECTING_SERVERS = 2
REJECTION_WINDOW_S = 1.0


class ClosedServiceDetector:
    """What one entry was told by a service's servers; guarded by its owner."""

    def __init__(self) -> None:
        self._rejected_at_by_server: dict[str, float] = {}

    def record_rejection(self, server: str, *, idle_s: float, now: float) -> bool:
        """Note a request turned away; return whether the whole service does that.

        ``quiet_s`` is how long ago any server of the service sent something.
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
