"""Threads that follow the users' store: the configuration and the list of servers."""

from __future__ import annotations

from threading import Event
from threading import Thread
from time import monotonic
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol

from kingcupwheel.forwarding.outage import Outage
from kingcupwheel.platform.configuration import CONFIGURATION_KIND
from kingcupwheel.platform.configuration import CONFIGURATION_NAME
from kingcupwheel.platform.configuration import decode_configuration
from kingcupwheel.platform.errors import HistoryGone
from kingcupwheel.platform.errors import Unavailable
from kingcupwheel.platform.object_store import DEFAULT_CALL_TIMEOUT_S
from kingcupwheel.telemetry.json_logs import lines_of


if TYPE_CHECKING:
    from collections.abc import Callable

    from kingcupwheel.forwarding.currency import Currency
    from kingcupwheel.platform.errors import PlatformError
    from kingcupwheel.platform.object_store import ObjectChange
    from kingcupwheel.platform.object_store import ObjectStore
    from kingcupwheel.platform.object_store import StoredObject

log = lines_of("store")

# How long one watch waits, in seconds, among few entries. An answer without news is
# what shows that the configuration is still the newest, so the wait bounds the age of
# that knowledge to twice as much; each call has a price.
WATCH_S = 1.5
# From so many entries on, peers' words show that the configuration is the newest, and
# the few that grow unsure ask (see ``caretaking``); watches of 31 entries took 40 calls
# a second, half of them for the configuration.
MANY_ENTRIES = 10
LONG_WATCH_S = 12.0
# After news, many entries wait so long for more of it before they watch again: servers
# that start together were news to each of 31 entries one by one.
_MORE_NEWS_S = 0.2
# Pause after a failed call, in seconds, and the longest one.
_PAUSE_S = 0.15
_LONGEST_PAUSE_S = 0.6
# Taken off the time within which a watch that hangs must be found.
_WATCH_SLACK_S = 0.3


class KindFollower(Protocol):
    """What a follower does with what it finds."""

    kind: str

    def listed(
        self, objects: tuple[StoredObject, ...], asked_at: float, *, away_s: float
    ) -> None:
        """Take in a whole list asked for at ``asked_at``."""

    def changed(self, changes: tuple[ObjectChange, ...], asked_at: float) -> None:
        """Take in what changed; nothing changed if ``changes`` is empty."""


class WatchPace(NamedTuple):
    """How long a watch waits, and the pause after one that brought news, in seconds."""

    wait_s: float = WATCH_S
    pause_s: float = 0.0


def servers_pace(entries: int, steady_s: float) -> WatchPace:
    """Return the pace of watching servers among so many entries.

    Failure: a watch's connection has gone silent, or the store swallowed it. Symptom: a
    server that leaves is not heard of. Both are found, and the list read anew, within
    ``steady_s``, after which the platform counts on it.
    """
    if entries < MANY_ENTRIES:
        return WatchPace()
    return WatchPace(
        max(WATCH_S, steady_s - DEFAULT_CALL_TIMEOUT_S - _WATCH_SLACK_S), _MORE_NEWS_S
    )


def configuration_pace(entries: int) -> WatchPace:
    """Return the pace of watching the configuration among so many entries."""
    return WatchPace() if entries < MANY_ENTRIES else WatchPace(LONG_WATCH_S)


class StoreFollower:
    """Lists a kind, then watches it; lists again where the history is gone."""

    def __init__(
        self,
        store: ObjectStore,
        follower: KindFollower,
        clock: Callable[[], float],
        pace: Callable[[], WatchPace] = WatchPace,
    ) -> None:
        self._store = store
        self._pace = pace
        self._follower = follower
        self._clock = clock
        self._revision = 0
        self._outage = Outage()
        self._pause_s = _PAUSE_S
        self._stopping = Event()
        name = f"follow-{follower.kind}"
        self._thread = Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Ask the thread to end; it does after its watch."""
        self._stopping.set()

    def _run(self) -> None:
        while not self._stopping.is_set():
            began = monotonic()
            asked_at = self._clock()
            why = self._watch(asked_at) if self._revision else self._list(asked_at)
            if why is None:
                self._note_answer(began)
            else:
                self._note_failure(why, began)
                self._stopping.wait(self._pause_s)
                self._pause_s = min(2 * self._pause_s, _LONGEST_PAUSE_S)

    def _list(self, asked_at: float) -> PlatformError | None:
        asked = self._store.list_objects(self._follower.kind)
        if asked.is_error():
            return asked.error
        away_s = self._outage.away_s(monotonic())
        self._follower.listed(asked.ok.objects, asked_at, away_s=away_s)
        self._revision = asked.ok.revision
        return None

    def _watch(self, asked_at: float) -> PlatformError | None:
        kind = self._follower.kind
        pace = self._pace()
        asked = self._store.watch(kind, after=self._revision, wait_s=pace.wait_s)
        if asked.is_error():
            # After any failure the list is read anew: what happened meanwhile may have
            # been forgotten, and a list also tells what is missing.
            self._revision = 0
            if isinstance(asked.error, HistoryGone):
                log.info("history-gone", kind=kind, revision=asked.error.revision)
                return None
            return asked.error
        self._follower.changed(asked.ok.changes, asked_at)
        self._revision = max(self._revision, asked.ok.revision)
        if asked.ok.changes and pace.pause_s:
            self._stopping.wait(pace.pause_s)
        return None

    def _note_answer(self, began: float) -> None:
        self._pause_s = _PAUSE_S
        if self._outage.is_on and self._revision:
            away_s = round(self._outage.away_s(monotonic()), 2)
            log.info("store-regained", kind=self._follower.kind, away_s=away_s)
        self._outage.answered(began)

    def _note_failure(self, why: PlatformError, began: float) -> None:
        silent = isinstance(why, Unavailable) and why.silent
        if self._outage.failed(began, monotonic(), silent=silent):
            log.warning("store-lost", kind=self._follower.kind, why=str(why))


class ConfigurationFollower:
    """Keeps the configuration in force."""

    kind = CONFIGURATION_KIND

    def __init__(self, currency: Currency) -> None:
        self._currency = currency

    def listed(
        self, objects: tuple[StoredObject, ...], asked_at: float, *, away_s: float
    ) -> None:
        """Adopt the configuration if it is there."""
        for found in objects:
            if found.name == CONFIGURATION_NAME:
                adopt(self._currency, found.body, asked_at, source="store")

    def changed(self, changes: tuple[ObjectChange, ...], asked_at: float) -> None:
        """Adopt a new version, or note that there is none."""
        for change in changes:
            if change.object.name == CONFIGURATION_NAME and not change.is_removed:
                adopt(self._currency, change.object.body, asked_at, source="store")
        if not changes:
            self._currency.confirm(self._currency.version, asked_at)


def adopt(currency: Currency, raw: bytes, as_of: float, *, source: str) -> None:
    """Decode and adopt a configuration that was the newest at ``as_of``."""
    decoded = decode_configuration(raw)
    if decoded.is_error():
        log.error("configuration-refused", why=decoded.error, source=source)
        return
    if currency.adopt(decoded.ok, as_of):
        routes = sum(len(found) for found in decoded.ok.routes_by_host.values())
        log.info(
            "configuration-adopted",
            version=decoded.ok.version,
            routes=routes,
            keys=len(decoded.ok.holders_by_key_digest),
            source=source,
        )
