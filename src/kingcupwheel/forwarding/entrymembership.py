"""Heartbeats between entries: who lives, who leaves, which configuration is newest."""

from __future__ import annotations

import secrets
from threading import Lock
from time import monotonic
from typing import TYPE_CHECKING

import msgspec

from kingcupwheel.forwarding.peers import PeerTable
from kingcupwheel.forwarding.peers import confirmation_from
from kingcupwheel.forwarding.storewatch import adopt_configuration
from kingcupwheel.link.links import OutgoingLink
from kingcupwheel.messages.membership import EntryHeartbeat
from kingcupwheel.messages.membership import EntryInfo
from kingcupwheel.messages.membership import ManifestObject
from kingcupwheel.messages.membership import ManifestRequest
from kingcupwheel.platform.errors import Conflict
from kingcupwheel.telemetry.json_logs import lines_of


if TYPE_CHECKING:
    from kingcupwheel.forwarding.configurationcache import ConfigurationCache
    from kingcupwheel.forwarding.guards import Guards
    from kingcupwheel.link.hub import MessageHub
    from kingcupwheel.link.links import Link
    from kingcupwheel.platform.object_store import ObjectStore
    from kingcupwheel.platform.object_store import StoredObject

log = lines_of("peers")

# The kind of object in the users' store under which entries find each other.
ENTRIES_KIND = "kingcupwheel-entries"
# The name under which peers hand each other the configuration.
_CONFIGURATION_KEY = "configuration"
# Every so many heartbeats, or as many as there are entries, name the other entries, and
# so do the first of a process: news of an entry that only one peer has found passes on
# without the store.
_FULL_LIST_EVERY = 8
_FULL_LIST_FIRST = 4
# How long a peer is left alone after it was asked for the configuration, in seconds.
_REQUEST_INTERVAL_S = 0.5


class EntryMembership:
    """The other entries; safe from any thread."""

    def __init__(
        self,
        me: EntryInfo,
        hub: MessageHub,
        configuration_cache: ConfigurationCache,
        guards: Guards,
    ) -> None:
        self._me = me
        self._hub = hub
        self._configuration_cache = configuration_cache
        self._guards = guards
        self._peers = PeerTable(me)
        self._incarnation = secrets.token_hex(4)
        self._heartbeat_at = 0.0
        self._heartbeat_count = 0
        self._requested_at = 0.0
        self._leaving = False
        self._revision = 0
        self._expired: list[EntryInfo] = []
        self._live_names: frozenset[str] = frozenset()
        self._lock = Lock()

    @property
    def fleet_size(self) -> int:
        """How many entries share what is common to the fleet."""
        with self._lock:
            return self._peers.estimate_fleet_size(monotonic())

    @property
    def known_count(self) -> int:
        """How many entries are known, alive or not, this one among them."""
        with self._lock:
            return len(self._peers.known_entries) + 1

    def live_entries(self) -> tuple[EntryInfo, ...]:
        """Return the entries that callers may be sent to, this one among them."""
        with self._lock:
            others = self._peers.live_entries(monotonic())
        return others if self._leaving else (self._me, *others)

    def add_stored(self, stored: tuple[StoredObject, ...]) -> None:
        """Take in the entries that the store lists."""
        found: list[EntryInfo] = []
        for one in stored:
            try:
                found.append(msgspec.json.decode(one.body, type=EntryInfo))
            except msgspec.DecodeError as error:
                log.warning("entry-object-refused", name=one.name, why=str(error))
        with self._lock:
            self._peers.add_known(found, monotonic())

    def register(self, store: ObjectStore) -> bool:
        """Put this entry into the store; return whether it is there."""
        body = msgspec.json.encode(self._me)
        written = store.create(ENTRIES_KIND, self._me.name, body)
        if written.is_error() and isinstance(written.error, Conflict):
            written = store.replace(
                ENTRIES_KIND, self._me.name, body, revision=written.error.version
            )
        if written.is_error():
            log.warning("registration-failed", why=str(written.error))
            return False
        self._revision = written.ok.revision
        return True

    def deregister(self, store: ObjectStore) -> None:
        """Take this entry out of the store, once, if it was put there."""
        if self._revision:
            store.delete(ENTRIES_KIND, self._me.name, revision=self._revision)

    def take_expired(self) -> tuple[EntryInfo, ...]:
        """Return, once, entries not heard for so long that they are gone for good."""
        with self._lock:
            dead = tuple(self._expired)
            self._expired.clear()
        return dead

    def announce_leaving(self) -> None:
        """Tell every peer at once that this entry stops."""
        self._leaving = True
        self._heartbeat_at = 0.0

    def on_tick(self, now: float) -> None:
        """Send heartbeats when it is time; runs on the hub's thread."""
        with self._lock:
            due = now - self._heartbeat_at >= self._peers.heartbeat_interval_s()
            if not due:
                return
            self._heartbeat_at = now
            self._heartbeat_count += 1
            for address in self._peers.take_silent_addresses(now):
                self._hub.reconnect(address)
            self._expired.extend(self._peers.remove_expired(now))
            peers = self._peers.known_entries
            echoes = {told.name: self._peers.echo_for(told.name) for told in peers}
        every = max(_FULL_LIST_EVERY, len(peers))
        names_others = (
            self._heartbeat_count <= _FULL_LIST_FIRST
            or self._heartbeat_count % every == 0
        )
        for told in peers:
            known = peers if names_others else ()
            beat = self._heartbeat(echoes[told.name], known)
            self._hub.send(OutgoingLink(told.address, 0), beat)
        self._log_live_changes()

    def _heartbeat(self, echo: float, known: tuple[EntryInfo, ...]) -> EntryHeartbeat:
        age_s = self._configuration_cache.age_s()
        return EntryHeartbeat(
            sender=self._me,
            incarnation=self._incarnation,
            leaving=self._leaving,
            sent_at=self._configuration_cache.now(),
            echo=echo,
            version=self._configuration_cache.version,
            age_s=age_s if age_s < 3600.0 else -1.0,
            crashed=self._guards.crashed,
            known_entries=known,
        )

    def on_heartbeat(self, beat: EntryHeartbeat) -> None:
        """Take in a heartbeat; runs on the hub's thread."""
        now = monotonic()
        with self._lock:
            is_new = self._peers.record_heartbeat(beat, now)
            self._peers.add_known(beat.known_entries, now)
        if beat.crashed:
            self._guards.heard(beat.crashed)
        if is_new:
            # It knows nobody yet; an answer at once spares it a second alone.
            self._heartbeat_at = 0.0
            log.info("entry-heard", name=beat.sender.name, incarnation=beat.incarnation)
        freshness = confirmation_from(beat)
        if freshness is not None:
            self._configuration_cache.confirm(freshness.version, freshness.as_of)
        if beat.version > self._configuration_cache.version:
            self._request_configuration(beat, now)
        self._log_live_changes()

    def _request_configuration(self, beat: EntryHeartbeat, now: float) -> None:
        if now - self._requested_at >= _REQUEST_INTERVAL_S:
            self._requested_at = now
            wanted = ManifestRequest(_CONFIGURATION_KEY)
            self._hub.send(OutgoingLink(beat.sender.address, 0), wanted)

    def on_configuration_request(self, link: Link, message: ManifestRequest) -> None:
        """Hand a peer the configuration that it has not."""
        current = self._configuration_cache.current
        if message.key == _CONFIGURATION_KEY and current is not None:
            found = ManifestObject(_CONFIGURATION_KEY, current.version, current.raw)
            self._hub.send(link, found)

    def on_configuration(self, message: ManifestObject) -> None:
        """Adopt a configuration from a peer; how old it is its heartbeats tell."""
        if message.key == _CONFIGURATION_KEY and message.value is not None:
            adopt_configuration(
                self._configuration_cache, message.value, float("-inf"), source="peer"
            )

    def _log_live_changes(self) -> None:
        names = frozenset(told.name for told in self.live_entries())
        if names != self._live_names:
            gone = sorted(self._live_names - names)
            come = sorted(names - self._live_names)
            self._live_names = names
            log.info("live-entries", count=len(names), come=come, gone=gone)
