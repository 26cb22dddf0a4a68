"""Liveness of the other entries by their heartbeats. Pure: times are arguments.

Callers are sent only to entries with a recent heartbeat. An entry that has just started
knows no peers and returns only its own address.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec

from kingcupwheel.decisions.limit_shares import EntryFleet


if TYPE_CHECKING:
    from collections.abc import Iterable

    from kingcupwheel.messages.membership import EntryHeartbeat
    from kingcupwheel.messages.membership import EntryInfo

# Interval of heartbeats to a peer in a fleet of up to so many entries, in seconds. In a
# larger fleet it grows in proportion, so that the cost of an entry stays the same.
HEARTBEAT_INTERVAL_S = 0.4
_FULL_RATE_ENTRIES = 12
# Missed heartbeats after which callers are no longer sent to an entry. A link that
# loses packets delays two or three.
_MAX_MISSED_HEARTBEATS = 3
# Number of entries assumed to share a budget while no peer is known: more than in any
# of the users' fleets.
DEFAULT_FLEET_SIZE = 12
# Time for which a silent entry is still sent heartbeats, in seconds: it may be frozen
# or cut off for a while.
PEER_EXPIRY_S = 60.0
# Heartbeats after which the others know of an entry that has just started. A link that
# loses packets delays two or three.
_SETTLING_HEARTBEATS = 5
# In a fleet of hundreds an entry must not wait for a minute; more of the others may
# then still count one entry less.
MAX_SETTLING_S = 10.0


class _Peer:
    __slots__ = ("added_at", "connected_at", "entry", "heard_at", "last_heartbeat")

    def __init__(self, entry: EntryInfo, now: float) -> None:
        self.entry = entry
        self.last_heartbeat: EntryHeartbeat | None = None
        self.heard_at = float("-inf")
        self.added_at = now
        self.connected_at = now


class VersionConfirmation(NamedTuple):
    """A peer's statement that ``version`` was the newest at ``as_of``.

    ``as_of`` is on this process's clock.
    """

    version: int
    as_of: float


class PeerTable:
    """The other entries by name; not thread-safe, its owner holds a lock."""

    def __init__(self, own_entry: EntryInfo) -> None:
        self._own_entry = own_entry
        self._by_name: dict[str, _Peer] = {}
        # Largest number of entries live at once, less those that have left in order.
        # Budgets are divided by it, since an entry that is cut off can't tell whether
        # the others died.
        self._max_live_seen = 1
        self._started_at: float | None = None

    @property
    def known_entries(self) -> tuple[EntryInfo, ...]:
        """Every known peer, live or not."""
        return tuple(peer.entry for peer in self._by_name.values())

    def heartbeat_interval_s(self) -> float:
        """Return the interval of heartbeats to one peer."""
        return HEARTBEAT_INTERVAL_S * max(
            1.0, (len(self._by_name) + 1) / _FULL_RATE_ENTRIES
        )

    def add_known(self, entries: Iterable[EntryInfo], now: float) -> None:
        """Add entries from a list; only their heartbeats show that they are live."""
        for entry in entries:
            known = self._by_name.get(entry.name)
            if entry.name == self._own_entry.name:
                continue
            if known is None:
                self._by_name[entry.name] = _Peer(entry, now)
            elif known.entry != entry and now - known.heard_at > PEER_EXPIRY_S / 4:
                # The machine was replaced. A live entry sends its own address.
                self._by_name[entry.name] = _Peer(entry, now)

    def record_heartbeat(self, heartbeat: EntryHeartbeat, now: float) -> bool:
        """Record a heartbeat; return whether its entry is new or has restarted."""
        peer = self._by_name.get(heartbeat.sender.name)
        is_new = peer is None or peer.last_heartbeat is None
        if peer is None or peer.entry != heartbeat.sender:
            peer = self._by_name[heartbeat.sender.name] = _Peer(heartbeat.sender, now)
        restarted = (
            peer.last_heartbeat is not None
            and peer.last_heartbeat.incarnation != heartbeat.incarnation
        )
        peer.last_heartbeat = heartbeat
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
        """Return the number of entries that share the budgets of the fleet.

        Failure: entries that have just started know no peers, and each uses the whole
        budget. Symptom: a fleet that restarts at once sends many times its budget.
        Known entries therefore count even if silent, and ``DEFAULT_FLEET_SIZE`` is
        assumed before any is known.
        """
        known = len(self._by_name) + 1
        if known == 1:
            return max(self._max_live_seen, DEFAULT_FLEET_SIZE)
        return max(self._max_live_seen, known)

    def describe_fleet(self, now: float, *, has_read_list: bool) -> EntryFleet:
        """Return the entries that share what has to be split exactly.

        ``has_read_list`` tells that the store's list of entries has been read; without
        it an entry that knows no peer can't tell that it is alone. An entry that has
        just started leaves the others the time to learn of it and to lower their
        shares.
        """
        names = frozenset((self._own_entry.name, *self._by_name))
        size = max(len(names), self._max_live_seen)
        if len(names) == 1 and not has_read_list:
            size = max(size, DEFAULT_FLEET_SIZE)
        settling_s = min(
            MAX_SETTLING_S, _SETTLING_HEARTBEATS * self.heartbeat_interval_s()
        )
        is_settled = self._started_at is not None and (
            now - self._started_at >= settling_s
        )
        return EntryFleet(self._own_entry.name, names, size, is_settled)

    def mark_started(self, now: float) -> None:
        """Record the time of the first heartbeat to peers; later calls do nothing."""
        if self._started_at is None:
            self._started_at = now

    def echo_for(self, name: str) -> float:
        """Return the newest clock reading from the peer to echo, 0 before the first."""
        peer = self._by_name.get(name)
        return (
            0.0
            if peer is None or peer.last_heartbeat is None
            else peer.last_heartbeat.sent_at
        )

    def echo_held_s_for(self, name: str, now: float) -> float:
        """Return how long ago that reading was received, negative before the first."""
        peer = self._by_name.get(name)
        return (
            -1.0 if peer is None or peer.last_heartbeat is None else now - peer.heard_at
        )

    def echo_incarnation_for(self, name: str) -> str:
        """Return the incarnation of the peer that sent the reading to echo."""
        peer = self._by_name.get(name)
        return (
            ""
            if peer is None or peer.last_heartbeat is None
            else peer.last_heartbeat.incarnation
        )

    def echo_from(self, name: str) -> float:
        """Return the own clock reading that the peer has echoed last, 0 if none."""
        peer = self._by_name.get(name)
        return (
            0.0
            if peer is None or peer.last_heartbeat is None
            else peer.last_heartbeat.echo
        )

    def take_silent_addresses(self, now: float) -> tuple[str, ...]:
        """Return the addresses of silent peers, to reconnect to, at a bounded rate.

        A device between two machines may lose track of a connection. It then stays
        silent for good while new connections work.
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
        """Remove and return the entries that have been silent for long."""
        expired = tuple(
            peer.entry
            for peer in self._by_name.values()
            if now - max(peer.heard_at, peer.added_at) > PEER_EXPIRY_S
        )
        for entry in expired:
            last_heartbeat = self._by_name.pop(entry.name).last_heartbeat
            if last_heartbeat is not None and last_heartbeat.leaving:
                # It has ended in order, so that its part of the budgets is free.
                self._max_live_seen = max(1, self._max_live_seen - 1)
        return expired


def drop_foreign_echo(heartbeat: EntryHeartbeat, incarnation: str) -> EntryHeartbeat:
    """Return the heartbeat without an echo that is not of ``incarnation``, the own one.

    Failure: a machine restarts or is replaced, its clock starts anew, and its peers
    still echo a reading of the former process. Symptom: what they state seems to come
    from the future, and an old configuration stays current for as long as the former
    process had run. Without the sender's word for it, an echo proves nothing.
    """
    if heartbeat.echo_incarnation == incarnation:
        return heartbeat
    return msgspec.structs.replace(heartbeat, echo=0.0, echo_held_s=-1.0)


def confirmation_from(heartbeat: EntryHeartbeat) -> VersionConfirmation | None:
    """Return what a heartbeat proves about the age of a configuration version.

    Failure: a heartbeat is delayed, or its sender is frozen between writing and sending
    it. Symptom: an old version is taken for current, and a revoked key works for too
    long. The sender's age is therefore counted from this process's own clock reading
    that the heartbeat echoes: the heartbeat was written after that reading was sent.
    """
    if heartbeat.echo <= 0.0 or heartbeat.age_s < 0.0:
        return None
    return VersionConfirmation(heartbeat.version, heartbeat.echo - heartbeat.age_s)
