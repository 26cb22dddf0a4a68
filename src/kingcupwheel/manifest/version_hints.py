"""Where to look for a later version of the manifest that others have named."""

from __future__ import annotations

from typing import NamedTuple


# Peers remembered as ahead. One is enough to copy from, further ones stand in for it.
_MAX_PEERS = 8
# How long this process is behind before it reads the platform on the word of a process
# that holds no manifest to copy. Ordinary changes arrive by the watch well within it;
# a watch that has gone silent is noticed in time for the 7 seconds of a change.
_PLATFORM_READ_DELAY_S = 2.5
# The least time between such reads: heartbeats name the version many times a second,
# and in an outage the reads would add to what the platform has to refuse.
_PLATFORM_READ_INTERVAL_S = 1.0


class PeerHint(NamedTuple):
    """Copy ``version`` or a later one from the peer at ``address``."""

    address: str
    version: int


class PlatformHint(NamedTuple):
    """Read the index from the platform; it is at ``version`` or a later one."""

    version: int


VersionHint = PeerHint | PlatformHint


class VersionHints:
    """Decides where to look; ``now`` is monotonic, in seconds.

    Made for a change heard of from tens of processes a second: each peer is asked once
    for each time that it is heard, and the platform at most once a second.
    """

    def __init__(self) -> None:
        self._version_by_peer: dict[str, int] = {}
        self._behind_since: float | None = None
        self._latest_version = 0
        self._platform_read_at = float("-inf")

    @property
    def is_behind(self) -> bool:
        """Whether a version was named that was not in force at the last look."""
        return self._behind_since is not None

    def record(self, version: int, *, peer: str | None, now: float) -> None:
        """Note a later version; ``peer`` is an address that can be copied from."""
        self._latest_version = max(self._latest_version, version)
        if self._behind_since is None:
            self._behind_since = now
        if peer is not None:
            full = len(self._version_by_peer) >= _MAX_PEERS
            if peer in self._version_by_peer or not full:
                self._version_by_peer[peer] = version

    def pop_next(self, current_version: int, *, now: float) -> VersionHint | None:
        """Return where to look next, if anywhere; peers with later versions first.

        A failed look needs no undoing: the next heartbeat brings the hint again.
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
