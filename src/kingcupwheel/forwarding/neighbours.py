"""Heartbeats between entries: who lives, who leaves, which configuration is newest."""

from __future__ import annotations

import secrets
from threading import Lock
from time import monotonic
from typing import TYPE_CHECKING

import msgspec

from kingcupwheel.forwarding.following import adopt
from kingcupwheel.forwarding.peers import Peers
from kingcupwheel.forwarding.peers import freshness_of
from kingcupwheel.link.links import OutgoingLink
from kingcupwheel.messages.membership import EntryHeartbeat
from kingcupwheel.messages.membership import EntryInfo
from kingcupwheel.messages.membership import ManifestObject
from kingcupwheel.messages.membership import ManifestRequest
from kingcupwheel.platform.errors import Conflict
from kingcupwheel.telemetry.json_logs import lines_of


if TYPE_CHECKING:
    from kingcupwheel.forwarding.currency import Currency
    from kingcupwheel.forwarding.guards import Guards
    from kingcupwheel.link.hub import MessageHub
    from kingcupwheel.link.links import Link
    from kingcupwheel.platform.object_store import ObjectStore
    from kingcupwheel.platform.object_store import StoredObject

log = lines_of("peers")

# The kind of object in the users' store under which entries find each other.
ENTRIES_KIND = "kingcupwheel-entries"
# The name under which peers hand each other the configuration.
_CONFIGURATION = "configuration"
# Every so many heartbeats, or as many as there are entries, name the other entries, and
# so do the first of a process: news of an entry that only one peer has found passes on
# without the store.
_KNOWN_EVERY = 8
_FIRST_BEATS = 4
# How long a peer is left alone after it was asked for the configuration, in seconds.
_ASK_AGAIN_S = 0.5


class Neighbours:
    """The other entries; safe from any thread."""

    def __init__(
        self, me: EntryInfo, hub: MessageHub, currency: Currency, guards: Guards
    ) -> None:
        self._me = me
        self._hub = hub
        self._currency = currency
        self._guards = guards
        self._peers = Peers(me)
        self._incarnation = secrets.token_hex(4)
        self._beat_at = 0.0
        self._beats = 0
        self._asked_at = 0.0
        self._leaving = False
        self._revision = 0
        self._dead: list[EntryInfo] = []
        self._live_names: frozenset[str] = frozenset()
        self._lock = Lock()

    @property
    def sharing(self) -> int:
        """How many entries share what is common to the fleet."""
        with self._lock:
            return self._peers.sharing(monotonic())

    @property
    def known(self) -> int:
        """How many entries are known, alive or not, this one among them."""
        with self._lock:
            return len(self._peers.told) + 1

    def live(self) -> tuple[EntryInfo, ...]:
        """Return the entries that callers may be sent to, this one among them."""
        with self._lock:
            others = self._peers.live(monotonic())
        return others if self._leaving else (self._me, *others)

    def know(self, stored: tuple[StoredObject, ...]) -> None:
        """Take in the entries that the store lists."""
        found: list[EntryInfo] = []
        for one in stored:
            try:
                found.append(msgspec.json.decode(one.body, type=EntryInfo))
            except msgspec.DecodeError as error:
                log.warning("entry-object-refused", name=one.name, why=str(error))
        with self._lock:
            self._peers.know(found, monotonic())

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

    def withdraw(self, store: ObjectStore) -> None:
        """Take this entry out of the store, once, if it was put there."""
        if self._revision:
            store.delete(ENTRIES_KIND, self._me.name, revision=self._revision)

    def take_dead(self) -> tuple[EntryInfo, ...]:
        """Return, once, entries not heard for so long that they are gone for good."""
        with self._lock:
            dead = tuple(self._dead)
            self._dead.clear()
        return dead

    def leave(self) -> None:
        """Tell every peer at once that this entry stops."""
        self._leaving = True
        self._beat_at = 0.0

    def on_tick(self, now: float) -> None:
        """Send heartbeats when it is time; runs on the hub's thread."""
        with self._lock:
            due = now - self._beat_at >= self._peers.beat_s()
            if not due:
                return
            self._beat_at = now
            self._beats += 1
            for address in self._peers.silent_links(now):
                self._hub.reconnect(address)
            self._dead.extend(self._peers.forget_dead(now))
            peers = self._peers.told
            echoes = {told.name: self._peers.echo_for(told.name) for told in peers}
        every = max(_KNOWN_EVERY, len(peers))
        names_others = self._beats <= _FIRST_BEATS or self._beats % every == 0
        for told in peers:
            known = peers if names_others else ()
            beat = self._beat(echoes[told.name], known)
            self._hub.send(OutgoingLink(told.address, 0), beat)
        self._note_live()

    def _beat(self, echo: float, known: tuple[EntryInfo, ...]) -> EntryHeartbeat:
        age_s = self._currency.age_s()
        return EntryHeartbeat(
            sender=self._me,
            incarnation=self._incarnation,
            leaving=self._leaving,
            sent_at=self._currency.now(),
            echo=echo,
            version=self._currency.version,
            age_s=age_s if age_s < 3600.0 else -1.0,
            crashed=self._guards.crashed,
            known_entries=known,
        )

    def on_beat(self, beat: EntryHeartbeat) -> None:
        """Take in a heartbeat; runs on the hub's thread."""
        now = monotonic()
        with self._lock:
            is_new = self._peers.heard(beat, now)
            self._peers.know(beat.known_entries, now)
        if beat.crashed:
            self._guards.heard(beat.crashed)
        if is_new:
            # It knows nobody yet; an answer at once spares it a second alone.
            self._beat_at = 0.0
            log.info("entry-heard", name=beat.sender.name, incarnation=beat.incarnation)
        freshness = freshness_of(beat)
        if freshness is not None:
            self._currency.confirm(freshness.version, freshness.as_of)
        if beat.version > self._currency.version:
            self._ask_for_configuration(beat, now)
        self._note_live()

    def _ask_for_configuration(self, beat: EntryHeartbeat, now: float) -> None:
        if now - self._asked_at >= _ASK_AGAIN_S:
            self._asked_at = now
            wanted = ManifestRequest(_CONFIGURATION)
            self._hub.send(OutgoingLink(beat.sender.address, 0), wanted)

    def on_wanted(self, link: Link, message: ManifestRequest) -> None:
        """Hand a peer the configuration that it has not."""
        current = self._currency.current
        if message.key == _CONFIGURATION and current is not None:
            found = ManifestObject(_CONFIGURATION, current.version, current.raw)
            self._hub.send(link, found)

    def on_object(self, message: ManifestObject) -> None:
        """Adopt a configuration from a peer; how old it is its heartbeats tell."""
        if message.key == _CONFIGURATION and message.value is not None:
            adopt(self._currency, message.value, float("-inf"), source="peer")

    def _note_live(self) -> None:
        names = frozenset(told.name for told in self.live())
        if names != self._live_names:
            gone = sorted(self._live_names - names)
            come = sorted(names - self._live_names)
            self._live_names = names
            log.info("live-entries", count=len(names), come=come, gone=gone)
