"""Which entries are alive, from their heartbeats. Pure: times are arguments.

Callers are sent only to entries that were heard of late. An entry that is asked first
after a start knows nobody yet and names itself.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Iterable

    from kingcupwheel.messages.membership import EntryHeartbeat
    from kingcupwheel.messages.membership import EntryInfo

# Between two heartbeats to a peer, in seconds, among up to this many entries; with more
# of them heartbeats are as much rarer, so that an entry's cost stays the same.
HEARTBEAT_INTERVAL_S = 0.4
_FULL_RATE_ENTRIES = 12
# Heartbeats missed in a row after which callers are no longer sent to an entry. A link
# that loses packets holds up two or three.
_MAX_MISSED_HEARTBEATS = 3
# Entries that are taken to share a budget before any other one is known: more than
# today's users have.
DEFAULT_FLEET_SIZE = 12
# How long an entry that says nothing is still sent heartbeats, in seconds: it may be
# frozen, or cut off for a while.
PEER_EXPIRY_S = 60.0


class _Peer:
    __slots__ = ("added_at", "connected_at", "entry", "heard_at", "last_heartbeat")

    def __init__(self, entry: EntryInfo, now: float) -> None:
        self.entry = entry
        self.last_heartbeat: EntryHeartbeat | None = None
        self.heard_at = float("-inf")
        self.added_at = now
        self.connected_at = now


class VersionConfirmation(NamedTuple):
    """A peer's word that ``version`` was the newest at ``as_of`` of this process."""

    version: int
    as_of: float


class PeerTable:
    """The other entries by name; belongs to one thread, or guarded by its owner."""

    def __init__(self, me: EntryInfo) -> None:
        self._me = me
        self._by_name: dict[str, _Peer] = {}
        # The most entries ever seen alive at once: shares of a common budget are taken
        # by it, since one that is cut off can't tell whether the others died.
        self._max_live_seen = 1

    @property
    def known_entries(self) -> tuple[EntryInfo, ...]:
        """Every peer that is known, alive or not."""
        return tuple(peer.entry for peer in self._by_name.values())

    def heartbeat_interval_s(self) -> float:
        """Return the seconds between two heartbeats to one peer."""
        return HEARTBEAT_INTERVAL_S * max(
            1.0, (len(self._by_name) + 1) / _FULL_RATE_ENTRIES
        )

    def add_known(self, entries: Iterable[EntryInfo], now: float) -> None:
        """Take in entries that somebody names; only heartbeats tell if they live."""
        for told in entries:
            known = self._by_name.get(told.name)
            if told.name == self._me.name:
                continue
            if known is None:
                self._by_name[told.name] = _Peer(told, now)
            elif known.entry != told and now - known.heard_at > PEER_EXPIRY_S / 4:
                # The machine was replaced; one that is heard tells its address itself.
                self._by_name[told.name] = _Peer(told, now)

    def record_heartbeat(self, beat: EntryHeartbeat, now: float) -> bool:
        """Take in a heartbeat; return whether its entry is new or lives anew."""
        peer = self._by_name.get(beat.sender.name)
        is_new = peer is None or peer.last_heartbeat is None
        if peer is None or peer.entry != beat.sender:
            peer = self._by_name[beat.sender.name] = _Peer(beat.sender, now)
        restarted = (
            peer.last_heartbeat is not None
            and peer.last_heartbeat.incarnation != beat.incarnation
        )
        peer.last_heartbeat = beat
        peer.heard_at = now
        self._max_live_seen = max(self._max_live_seen, len(self.live_entries(now)) + 1)
        return is_new or restarted

    def live_entries(self, now: float) -> tuple[EntryInfo, ...]:
        """Return the peers that callers may be sent to."""
        silent_s = _MAX_MISSED_HEARTBEATS * self.heartbeat_interval_s()
        return tuple(
            peer.entry
            for peer in self._by_name.values()
            if peer.last_heartbeat is not None
            and not peer.last_heartbeat.leaving
            and now - peer.heard_at <= silent_s
        )

    def estimate_fleet_size(self, now: float) -> int:
        """Return how many entries share what is common to the fleet.

        Failure: entries that have just started know nobody, and each takes the whole.
        Symptom: a fleet that restarts at once sends many times its budget. Entries
        that are known but not heard count, and a few before any is known.
        """
        known = len(self._by_name) + 1
        if known == 1:
            return max(self._max_live_seen, DEFAULT_FLEET_SIZE)
        return max(self._max_live_seen, known)

    def echo_for(self, name: str) -> float:
        """Return the newest clock reading that the peer sent, 0 before the first."""
        peer = self._by_name.get(name)
        return (
            0.0
            if peer is None or peer.last_heartbeat is None
            else peer.last_heartbeat.sent_at
        )

    def take_silent_addresses(self, now: float) -> tuple[str, ...]:
        """Return addresses to open new connections to, each not too often.

        Something between two machines may lose track of a connection: it stays silent
        for good while new ones work.
        """
        limit_s = _MAX_MISSED_HEARTBEATS * self.heartbeat_interval_s()
        found: list[str] = []
        for peer in self._by_name.values():
            since_s = now - max(peer.heard_at, peer.connected_at)
            if since_s > limit_s:
                peer.connected_at = now
                found.append(peer.entry.address)
        return tuple(found)

    def remove_expired(self, now: float) -> tuple[EntryInfo, ...]:
        """Drop entries that were not heard for long; return them."""
        dead = tuple(
            peer.entry
            for peer in self._by_name.values()
            if now - max(peer.heard_at, peer.added_at) > PEER_EXPIRY_S
        )
        for told in dead:
            del self._by_name[told.name]
        return dead


def confirmation_from(beat: EntryHeartbeat) -> VersionConfirmation | None:
    """Return what a heartbeat proves of the configuration's age.

    Failure: a heartbeat is held up on its way, or its sender is frozen between writing
    and sending it. Symptom: old knowledge is taken for fresh, and a key that was taken
    away works for too long. The sender's age is therefore counted from this process's
    own clock reading that the heartbeat echoes: it was written after that was sent.
    """
    if beat.echo <= 0.0 or beat.age_s < 0.0:
        return None
    return VersionConfirmation(beat.version, beat.echo - beat.age_s)
