"""Threads that follow the users' store: the configuration and the list of servers."""

from __future__ import annotations

from threading import Event
from threading import Thread
from time import monotonic
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol

from kingcupwheel.forwarding.outage import OutageTracker
from kingcupwheel.platform.configuration import CONFIGURATION_KIND
from kingcupwheel.platform.configuration import CONFIGURATION_NAME
from kingcupwheel.platform.configuration import decode_configuration
from kingcupwheel.platform.errors import HistoryGone
from kingcupwheel.platform.errors import Unavailable
from kingcupwheel.platform.object_store import DEFAULT_CALL_TIMEOUT_S
from kingcupwheel.telemetry.json_logs import lines_of


if TYPE_CHECKING:
    from collections.abc import Callable

    from kingcupwheel.forwarding.configurationcache import ConfigurationCache
    from kingcupwheel.platform.errors import PlatformError
    from kingcupwheel.platform.object_store import ObjectChange
    from kingcupwheel.platform.object_store import ObjectStore
    from kingcupwheel.platform.object_store import StoredObject

log = lines_of("store")

# How long one watch waits, in seconds, among few entries. An answer without news is
# what shows that the configuration is still the newest, so the wait bounds the age of
# that knowledge to twice as much; each call has a price.
WATCH_WAIT_S = 1.5
# From so many entries on, peers' words show that the configuration is the newest, and
# the few that grow unsure ask (see ``caretaking``); watches of 31 entries took 40 calls
# a second, half of them for the configuration.
LARGE_FLEET_ENTRIES = 10
LARGE_FLEET_WATCH_WAIT_S = 12.0
# After news, many entries wait so long for more of it before they watch again: servers
# that start together were news to each of 31 entries one by one.
_CHANGE_BATCHING_S = 0.2
# Pause after a failed call, in seconds, and the longest one.
_RETRY_DELAY_S = 0.15
_MAX_RETRY_DELAY_S = 0.6
# Taken off the time within which a watch that hangs must be found.
_WATCH_TIMEOUT_MARGIN_S = 0.3


class KindHandler(Protocol):
    """What a follower does with what it finds."""

    kind: str

    def on_list(
        self, objects: tuple[StoredObject, ...], asked_at: float, *, away_s: float
    ) -> None:
        """Take in a whole list asked for at ``asked_at``."""

    def on_changes(self, changes: tuple[ObjectChange, ...], asked_at: float) -> None:
        """Take in what changed; nothing changed if ``changes`` is empty."""


class WatchTiming(NamedTuple):
    """How long a watch waits, and the pause after one that brought news, in seconds."""

    wait_s: float = WATCH_WAIT_S
    pause_s: float = 0.0


def server_watch_timing(entries: int, steady_s: float) -> WatchTiming:
    """Return the pace of watching servers among so many entries.

    Failure: a watch's connection has gone silent, or the store swallowed it. Symptom: a
    server that leaves is not heard of. Both are found, and the list read anew, within
    ``steady_s``, after which the platform counts on it.
    """
    if entries < LARGE_FLEET_ENTRIES:
        return WatchTiming()
    return WatchTiming(
        max(WATCH_WAIT_S, steady_s - DEFAULT_CALL_TIMEOUT_S - _WATCH_TIMEOUT_MARGIN_S),
        _CHANGE_BATCHING_S,
    )


def configuration_watch_timing(entries: int) -> WatchTiming:
    """Return the pace of watching the configuration among so many entries."""
    return (
        WatchTiming()
        if entries < LARGE_FLEET_ENTRIES
        else WatchTiming(LARGE_FLEET_WATCH_WAIT_S)
    )


class StoreWatcher:
    """Lists a kind, then watches it; lists again where the history is gone."""

    def __init__(
        self,
        store: ObjectStore,
        handler: KindHandler,
        clock: Callable[[], float],
        timing: Callable[[], WatchTiming] = WatchTiming,
    ) -> None:
        self._store = store
        self._timing = timing
        self._handler = handler
        self._clock = clock
        self._revision = 0
        self._outage = OutageTracker()
        self._retry_delay_s = _RETRY_DELAY_S
        self._stopping = Event()
        name = f"follow-{handler.kind}"
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
                self._record_success(began)
            else:
                self._record_failure(why, began)
                self._stopping.wait(self._retry_delay_s)
                self._retry_delay_s = min(2 * self._retry_delay_s, _MAX_RETRY_DELAY_S)

    def _list(self, asked_at: float) -> PlatformError | None:
        asked = self._store.list_objects(self._handler.kind)
        if asked.is_error():
            return asked.error
        away_s = self._outage.duration_s(monotonic())
        self._handler.on_list(asked.ok.objects, asked_at, away_s=away_s)
        self._revision = asked.ok.revision
        return None

    def _watch(self, asked_at: float) -> PlatformError | None:
        kind = self._handler.kind
        pace = self._timing()
        asked = self._store.watch(kind, after=self._revision, wait_s=pace.wait_s)
        if asked.is_error():
            # After any failure the list is read anew: what happened meanwhile may have
            # been forgotten, and a list also tells what is missing.
            self._revision = 0
            if isinstance(asked.error, HistoryGone):
                log.info("history-gone", kind=kind, revision=asked.error.revision)
                return None
            return asked.error
        self._handler.on_changes(asked.ok.changes, asked_at)
        self._revision = max(self._revision, asked.ok.revision)
        if asked.ok.changes and pace.pause_s:
            self._stopping.wait(pace.pause_s)
        return None

    def _record_success(self, began: float) -> None:
        self._retry_delay_s = _RETRY_DELAY_S
        if self._outage.is_active and self._revision:
            away_s = round(self._outage.duration_s(monotonic()), 2)
            log.info("store-regained", kind=self._handler.kind, away_s=away_s)
        self._outage.record_success(began)

    def _record_failure(self, why: PlatformError, began: float) -> None:
        silent = isinstance(why, Unavailable) and why.silent
        if self._outage.record_failure(began, monotonic(), silent=silent):
            log.warning("store-lost", kind=self._handler.kind, why=str(why))


class ConfigurationHandler:
    """Keeps the configuration in force."""

    kind = CONFIGURATION_KIND

    def __init__(self, cache: ConfigurationCache) -> None:
        self._cache = cache

    def on_list(
        self, objects: tuple[StoredObject, ...], asked_at: float, *, away_s: float
    ) -> None:
        """Adopt the configuration if it is there."""
        for found in objects:
            if found.name == CONFIGURATION_NAME:
                adopt_configuration(self._cache, found.body, asked_at, source="store")

    def on_changes(self, changes: tuple[ObjectChange, ...], asked_at: float) -> None:
        """Adopt a new version, or note that there is none."""
        for change in changes:
            if change.object.name == CONFIGURATION_NAME and not change.is_removed:
                adopt_configuration(
                    self._cache, change.object.body, asked_at, source="store"
                )
        if not changes:
            self._cache.confirm(self._cache.version, asked_at)


def adopt_configuration(
    cache: ConfigurationCache, raw: bytes, as_of: float, *, source: str
) -> None:
    """Decode and adopt a configuration that was the newest at ``as_of``."""
    decoded = decode_configuration(raw)
    if decoded.is_error():
        log.error("configuration-refused", why=decoded.error, source=source)
        return
    if cache.update(decoded.ok, as_of):
        routes = sum(len(found) for found in decoded.ok.routes_by_host.values())
        log.info(
            "configuration-adopted",
            version=decoded.ok.version,
            routes=routes,
            keys=len(decoded.ok.key_holders_by_digest),
            source=source,
        )
