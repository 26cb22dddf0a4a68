"""Membership of the entries by heartbeats: liveness, shutdown, configuration."""

from __future__ import annotations

import secrets
from threading import Lock
from time import monotonic
from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec

from kingcupwheel.decisions.suspension import SuspensionDetector
from kingcupwheel.forwarding.peers import PeerTable
from kingcupwheel.forwarding.peers import confirmation_from
from kingcupwheel.forwarding.peers import drop_foreign_echo
from kingcupwheel.forwarding.store_watcher import adopt_configuration
from kingcupwheel.link.links import OutgoingLink
from kingcupwheel.messages.membership import EntryHeartbeat
from kingcupwheel.messages.membership import EntryInfo
from kingcupwheel.messages.membership import ManifestObject
from kingcupwheel.messages.membership import ManifestRequest
from kingcupwheel.platform.errors import Conflict
from kingcupwheel.telemetry.json_logs import lines_of


if TYPE_CHECKING:
    from kingcupwheel.forwarding.configuration_cache import ConfigurationCache
    from kingcupwheel.forwarding.crash_evidence import CrashEvidence
    from kingcupwheel.forwarding.rate_limit_exchange import RateLimitExchange
    from kingcupwheel.link.hub import MessageHub
    from kingcupwheel.link.links import Link
    from kingcupwheel.messages.membership import ServerLimitReport
    from kingcupwheel.platform.object_store import ObjectStore
    from kingcupwheel.platform.object_store import StoredObject

log = lines_of("peers")

# The kind of the objects in the users' store under which entries register.
ENTRIES_KIND = "kingcupwheel-entries"
# The key under which peers send each other the configuration.
_CONFIGURATION_KEY = "configuration"
# One heartbeat in so many, or in as many as there are entries if these are more, lists
# the known entries, and so do the first ones of a process. An entry that only one peer
# knows thus becomes known to all without the store.
_FULL_LIST_EVERY = 8
_FULL_LIST_FIRST = 4
# Between two requests for the configuration to peers, in seconds.
_REQUEST_INTERVAL_S = 0.5
# Between a heartbeat and an early one that reports a changed rate limit, in seconds.
_MIN_HEARTBEAT_INTERVAL_S = 0.2


class _Echoes(NamedTuple):
    """Clock readings exchanged with a peer.

    ``received_at`` is the last one of the peer's ``incarnation``, ``held_s`` the time
    since it was received. ``confirmed_at`` is the monotonic time of the own one that
    the peer has echoed last, or earlier.
    """

    received_at: float
    incarnation: str
    held_s: float
    confirmed_at: float


class EntryMembership:
    """Registers this entry and tracks the other entries; thread-safe."""

    def __init__(
        self,
        own_entry: EntryInfo,
        hub: MessageHub,
        configuration_cache: ConfigurationCache,
        crash_evidence: CrashEvidence,
        rate_limits: RateLimitExchange,
    ) -> None:
        self._own_entry = own_entry
        self._hub = hub
        self._configuration_cache = configuration_cache
        self._crash_evidence = crash_evidence
        self._rate_limits = rate_limits
        self._peers = PeerTable(own_entry)
        self._suspension_detector = SuspensionDetector()
        self._incarnation = secrets.token_hex(4)
        self._heartbeat_at = 0.0
        self._heartbeat_count = 0
        self._requested_at = 0.0
        self._leaving = False
        self._has_read_list = False
        self._revision = 0
        # Own clock readings at which peers started, or were heard of.
        self._joined_at: dict[str, float] = {}
        self._expired: list[EntryInfo] = []
        self._live_names: frozenset[str] = frozenset()
        self._lock = Lock()

    @property
    def fleet_size(self) -> int:
        """Number of entries that share the budgets of the fleet."""
        with self._lock:
            return self._peers.estimate_fleet_size(monotonic())

    @property
    def known_count(self) -> int:
        """Number of known entries, live or not, including this one."""
        with self._lock:
            return len(self._peers.known_entries) + 1

    def live_entries(self) -> tuple[EntryInfo, ...]:
        """Return the entries that callers may use, including this one."""
        with self._lock:
            others = self._peers.live_entries(monotonic())
        return others if self._leaving else (self._own_entry, *others)

    def add_stored(self, stored: tuple[StoredObject, ...]) -> None:
        """Add the entries that the store lists."""
        found: list[EntryInfo] = []
        for one in stored:
            try:
                found.append(msgspec.json.decode(one.body, type=EntryInfo))
            except msgspec.DecodeError as error:
                log.warning("entry-object-refused", name=one.name, why=str(error))
        with self._lock:
            self._peers.add_known(found, monotonic())
            self._has_read_list = True

    def register(self, store: ObjectStore) -> bool:
        """Write this entry to the store; return whether that succeeded."""
        body = msgspec.json.encode(self._own_entry)
        written = store.create(ENTRIES_KIND, self._own_entry.name, body)
        if written.is_error() and isinstance(written.error, Conflict):
            written = store.replace(
                ENTRIES_KIND, self._own_entry.name, body, revision=written.error.version
            )
        if written.is_error():
            log.warning("registration-failed", why=str(written.error))
            return False
        self._revision = written.ok.revision
        return True

    def deregister(self, store: ObjectStore) -> None:
        """Delete this entry from the store if it was registered."""
        if self._revision:
            store.delete(ENTRIES_KIND, self._own_entry.name, revision=self._revision)

    def take_expired(self) -> tuple[EntryInfo, ...]:
        """Return the entries that have expired since the last call."""
        with self._lock:
            expired = tuple(self._expired)
            self._expired.clear()
        return expired

    def announce_leaving(self) -> None:
        """Announce to every peer, at the next tick, that this entry stops."""
        self._leaving = True
        self._heartbeat_at = 0.0

    def on_tick(self, now: float) -> None:
        """Send heartbeats if the interval has passed; runs on the hub's thread."""
        self._expedite_changes(now)
        with self._lock:
            due = now - self._heartbeat_at >= self._peers.heartbeat_interval_s()
            if not due:
                return
            self._heartbeat_at = now
            self._suspension_detector.record_clocks(
                boottime=self._configuration_cache.now(), monotonic=monotonic()
            )
            self._peers.mark_started(now)
            self._heartbeat_count += 1
            for address in self._peers.take_silent_addresses(now):
                self._hub.reconnect(address)
            expired = self._peers.remove_expired(now)
            self._expired.extend(expired)
            for entry in expired:
                self._joined_at.pop(entry.name, None)
            peers = self._peers.known_entries
            fleet = self._peers.describe_fleet(now, has_read_list=self._has_read_list)
            echoes = {peer.name: self._read_echoes(peer.name, now) for peer in peers}
        self._rate_limits.update_fleet(fleet)
        limits = self._rate_limits.list_reports(
            observed_since=self._suspension_detector.resumed_at
        )
        every = max(_FULL_LIST_EVERY, len(peers))
        includes_known = (
            self._heartbeat_count <= _FULL_LIST_FIRST
            or self._heartbeat_count % every == 0
        )
        for peer in peers:
            known = peers if includes_known else ()
            heartbeat = self._heartbeat(echoes[peer.name], known, limits)
            self._hub.send(OutgoingLink(peer.address, 0), heartbeat)
        self._log_live_changes()

    def _expedite_changes(self, now: float) -> None:
        """Let changed limits and suspicions not wait for the next regular heartbeat."""
        if now - self._heartbeat_at < _MIN_HEARTBEAT_INTERVAL_S:
            return
        has_changed_limits = self._rate_limits.take_changed()
        if self._crash_evidence.take_changed() or has_changed_limits:
            self._heartbeat_at = 0.0

    def _read_echoes(self, name: str, now: float) -> _Echoes:
        """Return the clock readings exchanged with a peer; the lock is held.

        A peer has received all that this entry sent before the reading that it echoes,
        unless it has restarted since.
        """
        echo = self._peers.echo_from(name)
        has_confirmed = echo > self._joined_at.get(name, float("inf"))
        # ``now`` was read before the other clock, so that the time is never too late.
        unconfirmed_s = self._configuration_cache.now() - echo
        return _Echoes(
            self._peers.echo_for(name),
            self._peers.echo_incarnation_for(name),
            self._peers.echo_held_s_for(name, now),
            now - unconfirmed_s if has_confirmed else float("-inf"),
        )

    def _heartbeat(
        self,
        echoes: _Echoes,
        known: tuple[EntryInfo, ...],
        limits: tuple[ServerLimitReport, ...],
    ) -> EntryHeartbeat:
        age_s = self._configuration_cache.age_s()
        return EntryHeartbeat(
            sender=self._own_entry,
            incarnation=self._incarnation,
            leaving=self._leaving,
            sent_at=self._configuration_cache.now(),
            echo=echoes.received_at,
            version=self._configuration_cache.version,
            age_s=age_s if age_s < 3600.0 else -1.0,
            crashed=(),
            known_entries=known,
            limits=limits,
            echo_held_s=echoes.held_s,
            suspicions=self._crash_evidence.list_reports(echoes.confirmed_at),
            echo_incarnation=echoes.incarnation,
        )

    def on_heartbeat(self, heartbeat: EntryHeartbeat) -> None:
        """Handle a heartbeat; runs on the hub's thread."""
        now = monotonic()
        heartbeat = drop_foreign_echo(heartbeat, self._incarnation)
        with self._lock:
            is_new = self._peers.record_heartbeat(heartbeat, now)
            self._peers.add_known(heartbeat.known_entries, now)
            if is_new:
                self._joined_at[heartbeat.sender.name] = self._configuration_cache.now()
        if heartbeat.limits:
            self._record_limits(heartbeat)
        if heartbeat.suspicions:
            self._record_suspicions(heartbeat)
        if is_new:
            # A new entry knows no peers yet, so it gets a heartbeat at the next tick.
            # Otherwise it would know none for up to a second.
            self._heartbeat_at = 0.0
            log.info(
                "entry-heard",
                name=heartbeat.sender.name,
                incarnation=heartbeat.incarnation,
            )
        confirmation = confirmation_from(heartbeat)
        if confirmation is not None:
            self._configuration_cache.confirm(
                confirmation.version,
                confirmation.as_of,
                source=f"peer {heartbeat.sender.name}",
            )
        if heartbeat.version > self._configuration_cache.version:
            self._request_configuration(heartbeat, now)
        self._log_live_changes()

    def _record_suspicions(self, heartbeat: EntryHeartbeat) -> None:
        """Record a peer's suspicions once the heartbeat's transit time is bounded.

        The peer repeats them until this entry has confirmed them.
        """
        if heartbeat.echo > 0.0 and heartbeat.echo_held_s >= 0.0:
            round_trip_s = self._configuration_cache.now() - heartbeat.echo
            self._crash_evidence.record_reports(
                heartbeat.sender.name,
                heartbeat.suspicions,
                max(0.0, round_trip_s - heartbeat.echo_held_s),
            )

    def _record_limits(self, heartbeat: EntryHeartbeat) -> None:
        """Record a peer's rate limits.

        The heartbeat was written after this entry's clock reading that it echoes, which
        bounds the age of what it reports.
        """
        max_transit_s = (
            max(0.0, self._configuration_cache.now() - heartbeat.echo)
            if heartbeat.echo > 0.0
            else float("inf")
        )
        self._rate_limits.record_reports(
            heartbeat.sender.name, heartbeat.limits, max_transit_s
        )

    def _request_configuration(self, heartbeat: EntryHeartbeat, now: float) -> None:
        if now - self._requested_at >= _REQUEST_INTERVAL_S:
            self._requested_at = now
            request = ManifestRequest(_CONFIGURATION_KEY)
            self._hub.send(OutgoingLink(heartbeat.sender.address, 0), request)

    def on_configuration_request(self, link: Link, message: ManifestRequest) -> None:
        """Send the configuration to a peer that requests it."""
        current = self._configuration_cache.current
        if message.key == _CONFIGURATION_KEY and current is not None:
            found = ManifestObject(_CONFIGURATION_KEY, current.version, current.raw)
            self._hub.send(link, found)

    def on_configuration(self, message: ManifestObject) -> None:
        """Store a configuration from a peer; its heartbeats confirm the age."""
        if message.key == _CONFIGURATION_KEY and message.value is not None:
            adopt_configuration(
                self._configuration_cache, message.value, float("-inf"), source="peer"
            )

    def _log_live_changes(self) -> None:
        names = frozenset(entry.name for entry in self.live_entries())
        if names != self._live_names:
            gone = sorted(self._live_names - names)
            come = sorted(names - self._live_names)
            self._live_names = names
            log.info("live-entries", count=len(names), come=come, gone=gone)
