"""Hints where to read a later manifest version that other processes reported."""

from __future__ import annotations

from typing import NamedTuple


# Peers kept as hints. One is enough to copy from; the others are fallbacks.
_MAX_PEERS = 8
# How long this process is behind before it reads the platform because of a version
# reported by a process that has no manifest to copy. The watch normally delivers
# changes well within it, and a watch that no longer responds is detected in time for
# the 7 seconds within which a change must be in force.
_PLATFORM_READ_DELAY_S = 2.5
# The minimum interval of such reads: heartbeats report the version many times a second,
# and in an outage the reads would add to the platform's load.
_PLATFORM_READ_INTERVAL_S = 1.0


class PeerHint(NamedTuple):
    """The peer at ``address`` has ``version`` or a later one."""

    address: str
    version: int


class PlatformHint(NamedTuple):
    """The platform has ``version`` or a later one."""

    version: int


VersionHint = PeerHint | PlatformHint


class VersionHints:
    """Queue of hints; ``now`` is a monotonic time in seconds.

    Bounds the reads when tens of processes per second report a change: each report of a
    peer leads to at most one hint, and the platform is read at most once a second.
    """

    def __init__(self) -> None:
        self._version_by_peer: dict[str, int] = {}
        self._behind_since: float | None = None
        self._latest_version = 0
        self._platform_read_at = float("-inf")

    @property
    def is_behind(self) -> bool:
        """Whether a reported version was not yet in force at the last ``pop_next``."""
        return self._behind_since is not None

    def record(self, version: int, *, peer: str | None, now: float) -> None:
        """Record a later version; ``peer`` is an address that has it to copy."""
        self._latest_version = max(self._latest_version, version)
        if self._behind_since is None:
            self._behind_since = now
        if peer is not None:
            is_full = len(self._version_by_peer) >= _MAX_PEERS
            if peer in self._version_by_peer or not is_full:
                self._version_by_peer[peer] = version

    def pop_next(self, current_version: int, *, now: float) -> VersionHint | None:
        """Remove and return the next hint, if any; peers with later versions first.

        A hint whose read failed is not put back: the next heartbeat renews it.
        """
        self._discard_outdated(current_version)
        if self._version_by_peer:
            address = max(self._version_by_peer, key=self._version_by_peer.__getitem__)
            return PeerHint(address, self._version_by_peer.pop(address))
        if (
            self._behind_since is None
            or now - self._behind_since < _PLATFORM_READ_DELAY_S
        ):
            return None
        if now - self._platform_read_at < _PLATFORM_READ_INTERVAL_S:
            return None
        self._platform_read_at = now
        return PlatformHint(self._latest_version)

    def _discard_outdated(self, current_version: int) -> None:
        self._version_by_peer = {
            peer: version
            for peer, version in self._version_by_peer.items()
            if version > current_version
        }
        if self._latest_version <= current_version:
            self._behind_since = None
