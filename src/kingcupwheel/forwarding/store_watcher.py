"""Threads that list and watch the users' store: the configuration and the servers."""

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

    from kingcupwheel.forwarding.configuration_cache import ConfigurationCache
    from kingcupwheel.platform.errors import PlatformError
    from kingcupwheel.platform.object_store import ObjectChange
    from kingcupwheel.platform.object_store import ObjectStore
    from kingcupwheel.platform.object_store import StoredObject

log = lines_of("store")

# How long one watch waits in a small fleet, in seconds. An answer without changes
# confirms the configuration, so its age is at most twice the wait. A shorter wait costs
# more calls.
WATCH_WAIT_S = 1.5
# Number of entries from which heartbeats of peers confirm the configuration, and only
# entries whose copy grows old read it (see ``store_maintenance``). Watches of 31
# entries took 40 calls a second, half of them for the configuration.
LARGE_FLEET_ENTRIES = 10
LARGE_FLEET_WATCH_WAIT_S = 12.0
# Delay in a large fleet between a change and the next watch, in seconds. It batches
# changes: servers that start together caused one call each at each of 31 entries.
_CHANGE_BATCHING_S = 0.2
# Delay after a failed call, in seconds, and its upper bound.
_RETRY_DELAY_S = 0.15
_MAX_RETRY_DELAY_S = 0.6
# Subtracted from the time within which a watch that hangs must be detected.
_WATCH_TIMEOUT_MARGIN_S = 0.3


class KindHandler(Protocol):
    """Handles the objects of one kind that a ``StoreWatcher`` reads."""

    kind: str

    def on_list(
        self,
        objects: tuple[StoredObject, ...],
        requested_at: float,
        *,
        outage_s: float,
        is_outage_certain: bool,
    ) -> None:
        """Handle a complete list that was requested at ``requested_at``.

        The store may have been unavailable for ``outage_s`` before. If that is not
        certain, only the own connection was silent, or the outage was short.
        """

    def on_changes(
        self, changes: tuple[ObjectChange, ...], requested_at: float
    ) -> None:
        """Handle the changes of one watch; empty if nothing changed."""


class WatchTiming(NamedTuple):
    """Duration of a watch and the delay after one that returned changes, in seconds."""

    wait_s: float = WATCH_WAIT_S
    delay_after_change_s: float = 0.0


def server_watch_timing(entries: int, steady_s: float) -> WatchTiming:
    """Return the timing of watches of servers in a fleet of so many entries.

    Failure: a watch's connection has gone silent, or the store dropped the watch.
    Symptom: a server that leaves is not noticed. Both are detected, and the list read
    again, within ``steady_s``, after which the platform relies on it.
    """
    if entries < LARGE_FLEET_ENTRIES:
        return WatchTiming()
    return WatchTiming(
        max(WATCH_WAIT_S, steady_s - DEFAULT_CALL_TIMEOUT_S - _WATCH_TIMEOUT_MARGIN_S),
        _CHANGE_BATCHING_S,
    )


def configuration_watch_timing(entries: int) -> WatchTiming:
    """Return the timing of configuration watches in a fleet of so many entries."""
    return (
        WatchTiming()
        if entries < LARGE_FLEET_ENTRIES
        else WatchTiming(LARGE_FLEET_WATCH_WAIT_S)
    )


class StoreWatcher:
    """Thread that lists a kind, then watches it.

    It lists again after a failed watch or when the store has dropped its history.
    """

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
        """Ask the thread to stop; it does so after its current watch."""
        self._stopping.set()

    def _run(self) -> None:
        while not self._stopping.is_set():
            began = monotonic()
            requested_at = self._clock()
            error = (
                self._watch(requested_at)
                if self._revision
                else self._list(requested_at)
            )
            if error is None:
                self._record_success(began)
                continue
            self._record_failure(error, began)
            if self._outage.is_certain:
                self._stopping.wait(self._retry_delay_s)
                self._retry_delay_s = min(2 * self._retry_delay_s, _MAX_RETRY_DELAY_S)

    def _list(self, requested_at: float) -> PlatformError | None:
        result = self._store.list_objects(self._handler.kind)
        if result.is_error():
            return result.error
        self._handler.on_list(
            result.ok.objects,
            requested_at,
            outage_s=self._outage.duration_s(monotonic()),
            is_outage_certain=self._outage.is_certain,
        )
        self._revision = result.ok.revision
        return None

    def _watch(self, requested_at: float) -> PlatformError | None:
        kind = self._handler.kind
        timing = self._timing()
        result = self._store.watch(kind, after=self._revision, wait_s=timing.wait_s)
        if result.is_error():
            # After any failure the list is read again: the store may have dropped
            # changes that happened meanwhile, and a list also shows what is missing.
            self._revision = 0
            if isinstance(result.error, HistoryGone):
                log.info("history-gone", kind=kind, revision=result.error.revision)
                return None
            return result.error
        self._handler.on_changes(result.ok.changes, requested_at)
        self._revision = max(self._revision, result.ok.revision)
        if result.ok.changes and timing.delay_after_change_s:
            self._stopping.wait(timing.delay_after_change_s)
        return None

    def _record_success(self, began: float) -> None:
        self._retry_delay_s = _RETRY_DELAY_S
        if self._outage.is_active and self._revision:
            outage_s = round(self._outage.duration_s(monotonic()), 2)
            log.info(
                "store-regained",
                kind=self._handler.kind,
                away_s=outage_s,
                cause="outage" if self._outage.is_certain else "silent-connection",
            )
        self._outage.record_success(began)

    def _record_failure(self, error: PlatformError, began: float) -> None:
        is_silent = isinstance(error, Unavailable) and error.silent
        if self._outage.record_failure(began, monotonic(), is_silent=is_silent):
            log.warning("store-lost", kind=self._handler.kind, why=str(error))


class ConfigurationHandler:
    """Stores the configuration that a watcher reads in the cache."""

    kind = CONFIGURATION_KIND

    def __init__(self, cache: ConfigurationCache) -> None:
        self._cache = cache

    def on_list(
        self,
        objects: tuple[StoredObject, ...],
        requested_at: float,
        *,
        outage_s: float,
        is_outage_certain: bool,
    ) -> None:
        """Store the configuration if the list has it."""
        for found in objects:
            if found.name == CONFIGURATION_NAME:
                adopt_configuration(
                    self._cache, found.body, requested_at, source="store"
                )

    def on_changes(
        self, changes: tuple[ObjectChange, ...], requested_at: float
    ) -> None:
        """Store a new version, or confirm the current one if nothing changed."""
        for change in changes:
            if change.object.name == CONFIGURATION_NAME and not change.is_removed:
                adopt_configuration(
                    self._cache, change.object.body, requested_at, source="store"
                )
        if not changes:
            self._cache.confirm(self._cache.version, requested_at, source="store")


def adopt_configuration(
    cache: ConfigurationCache, raw: bytes, as_of: float, *, source: str
) -> None:
    """Decode a configuration that was the newest at ``as_of`` and store it."""
    decoded = decode_configuration(raw)
    if decoded.is_error():
        log.error("configuration-refused", why=decoded.error, source=source)
        return
    if cache.update(decoded.ok, as_of, source=source):
        routes = sum(len(found) for found in decoded.ok.routes_by_host.values())
        log.info(
            "configuration-adopted",
            version=decoded.ok.version,
            routes=routes,
            keys=len(decoded.ok.key_holders_by_digest),
            source=source,
        )
