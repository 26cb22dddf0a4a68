"""Keeps a process on the latest manifest version; versions never decrease."""

from __future__ import annotations

import logging
from collections.abc import Callable
from random import Random
from threading import Condition
from threading import Event
from threading import Thread
from time import monotonic
from typing import TYPE_CHECKING

from expression import Ok
from expression import Result

from kingcupwheel.manifest.assembly import FetchedObjectCache
from kingcupwheel.manifest.assembly import assemble_manifest
from kingcupwheel.manifest.current_manifest import CurrentManifest
from kingcupwheel.manifest.exceptions import InvalidObject
from kingcupwheel.manifest.platform_retries import describe_platform_error
from kingcupwheel.manifest.shards import INDEX_KEY
from kingcupwheel.manifest.store import read_object
from kingcupwheel.manifest.version_hints import PeerHint
from kingcupwheel.manifest.version_hints import PlatformHint
from kingcupwheel.manifest.version_hints import VersionHint
from kingcupwheel.manifest.version_hints import VersionHints
from kingcupwheel.messages.membership import ManifestObject
from kingcupwheel.utils.backoff import Backoff


if TYPE_CHECKING:
    from kingcupwheel.manifest.assembly import ObjectSource
    from kingcupwheel.manifest.compiled_manifest import CompiledManifest
    from kingcupwheel.manifest.current_manifest import ChangeListener
    from kingcupwheel.manifest.exceptions import FetchError
    from kingcupwheel.platform.client import PlatformClient
    from kingcupwheel.platform.client import VersionedValue

# Fetches an object, by key, from the peer at an address; the error is the reason why
# there was no response.
PeerObjectFetcher = Callable[[str, str], Result[ManifestObject | None, str]]

logger = logging.getLogger("kingcupwheel.manifest")

# Processes that see the same change spread their reads of shards over this time: 370
# entries and 1,000 agents at once would exhaust the platform's 2,000 reads per second.
# It leaves most of the 7 seconds within which a change must be in force everywhere.
DEFAULT_MAX_READ_DELAY_S = 2.0
# Backoff after a failed watch. The maximum bounds how long after an outage a change is
# noticed; 1,370 processes at 2 to 4 s make about 460 calls per second in an outage.
_MIN_WATCH_BACKOFF_S = 0.2
_MAX_WATCH_BACKOFF_S = 4.0
# A watch that returns without a change sooner than this did not wait; the next one is
# delayed by the backoff.
_MIN_WATCH_S = 0.2
# How often a process that is behind polls for a hint that has become due.
_HINT_POLL_INTERVAL_S = 0.5


class ManifestSynchronizer:
    """Keeps the current manifest up to date; only later versions are adopted.

    New versions are detected by a watch on the platform and by
    ``record_peer_version``, which gets the version in each message of another process.
    Either is sufficient: a process that is disconnected from the platform, or whose
    watch no longer responds, follows its peers.

    ``fetch_from_peer(address, key)`` may block; it is called on the synchronizer's
    threads. ``on_change`` is a listener as of ``subscribe``. With
    ``with_organisations=False`` only groups and routes are kept, which is all an agent
    needs; with ``watches_platform=False`` the versions of peers are the only source.
    ``watch_s`` is the timeout of one watch, ``max_read_delay_s`` the maximum random
    delay before shards are read.
    """

    def __init__(
        self,
        client: PlatformClient,
        *,
        fetch_from_peer: PeerObjectFetcher,
        on_change: ChangeListener,
        with_organisations: bool = True,
        watches_platform: bool = True,
        watch_s: float = 20.0,
        max_read_delay_s: float = DEFAULT_MAX_READ_DELAY_S,
        random: Random | None = None,
    ) -> None:
        self._client = client
        self._fetch_from_peer = fetch_from_peer
        self._with_organisations = with_organisations
        self._watch_s = watch_s
        self._max_read_delay_s = max_read_delay_s
        self._random = random or Random()
        self._current_manifest = CurrentManifest()
        self._current_manifest.subscribe(on_change)
        self._object_cache = FetchedObjectCache()
        self._hint_added = Condition()
        self._hints = VersionHints()
        self._stopping = Event()
        targets = [self._follow_peers]
        if watches_platform:
            targets.append(self._follow_platform)
        self._threads = tuple(
            Thread(target=target, name="manifest", daemon=True) for target in targets
        )

    @property
    def current(self) -> CompiledManifest | None:
        """The manifest in force in this process, None before the first one."""
        return self._current_manifest.current

    @property
    def version(self) -> int:
        """The version in force, 0 before the first one; sent in messages."""
        return self._current_manifest.version

    @property
    def digest(self) -> str:
        """The digest of the index, empty before the first one; sent in messages."""
        current = self._current_manifest.current
        return "" if current is None else current.digest

    def start(self) -> None:
        """Start the threads that follow the platform and the peers."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop the threads; a pending watch is left to time out."""
        self._stopping.set()
        with self._hint_added:
            self._hint_added.notify_all()

    def subscribe(self, listener: ChangeListener) -> None:
        """Call ``listener`` with each manifest adopted from now on.

        Calls are serialized, in the order of versions, on the synchronizer's threads.
        """
        self._current_manifest.subscribe(listener)

    def wait_for_version(self, version: int, timeout_s: float) -> bool:
        """Wait for ``version`` or a later one; return False if it times out."""
        return self._current_manifest.wait_for_version(version, timeout_s)

    def get_object(self, key: str) -> ManifestObject:
        """Return the reply to a peer that requests this object; never blocks."""
        return self._current_manifest.get_object(key)

    def record_peer_version(self, version: int, digest: str, address: str) -> None:
        """Record the version that the process at ``address`` reports; never blocks.

        ``digest`` is empty if that process has no manifest to copy (an agent): objects
        are then read from the platform instead.
        """
        current = self._current_manifest.current
        if current is not None and version <= current.version:
            _log_version_mismatch(current, version, digest, address)
            return
        if version > 0:
            with self._hint_added:
                peer = address if digest else None
                self._hints.record(version, peer=peer, now=monotonic())
                self._hint_added.notify_all()

    def _follow_platform(self) -> None:
        backoff = Backoff(
            min_s=_MIN_WATCH_BACKOFF_S,
            max_s=_MAX_WATCH_BACKOFF_S,
            random=self._random,
        )
        while not self._stopping.is_set():
            if self._watch_once():
                backoff.reset()
            else:
                self._stopping.wait(backoff.next_delay_s())

    def _watch_once(self) -> bool:
        """Run one watch; return whether to repeat it without a delay."""
        started_at = monotonic()
        found = self._client.watch(
            INDEX_KEY, after=self.version, timeout_s=self._watch_s
        )
        if found.is_error():
            logger.warning(
                "Manifest watch failed: %s.", describe_platform_error(found.error)
            )
            return False
        if found.ok is None:
            return monotonic() - started_at >= _MIN_WATCH_S
        return self._adopt_from_watch(found.ok)

    def _adopt_from_watch(self, found: VersionedValue) -> bool:
        if found.version <= self.version:
            logger.warning("Platform returned old version %d.", found.version)
            return False
        if self.version > 0:
            self._stopping.wait(self._random.uniform(0.0, self._max_read_delay_s))
        return self._adopt(found.version, found.value, self._read_from_platform)

    def _follow_peers(self) -> None:
        while not self._stopping.is_set():
            match self._wait_for_hint():
                case PeerHint(address, _):
                    self._adopt_from_peer(address)
                case PlatformHint():
                    self._adopt_from_platform_read()

    def _wait_for_hint(self) -> VersionHint | None:
        """Return the next hint; if there is none, wait for one and return None."""
        with self._hint_added:
            hint = self._hints.pop_next(self.version, now=monotonic())
            if hint is None and not self._stopping.is_set():
                self._hint_added.wait(
                    _HINT_POLL_INTERVAL_S if self._hints.is_behind else None
                )
            return hint

    def _adopt_from_peer(self, address: str) -> None:
        found = self._fetch_from_peer(address, INDEX_KEY)
        if found.is_error():
            logger.warning("Peer %s did not respond: %s.", address, found.error)
            return
        index = found.ok
        if index is None or index.value is None or index.version <= self.version:
            return

        def from_peer(key: str) -> Result[bytes, FetchError]:
            return self._read_from_peer(address, key)

        self._adopt(index.version, index.value, from_peer)

    def _adopt_from_platform_read(self) -> None:
        found = self._client.read(INDEX_KEY)
        if found.is_ok() and found.ok is not None and found.ok.version > self.version:
            self._adopt(found.ok.version, found.ok.value, self._read_from_platform)

    def _adopt(self, version: int, index_value: bytes, source: ObjectSource) -> bool:
        current = self._current_manifest.current
        assembly = assemble_manifest(
            index_value,
            self._object_cache.wrap(source, index_value),
            previous=None if current is None else current.assembly,
            with_organisations=self._with_organisations,
        )
        if assembly.is_error():
            logger.warning("Could not adopt version %d: %s.", version, assembly.error)
            if isinstance(assembly.error, InvalidObject):
                self._object_cache.clear()
            return False
        self._object_cache.clear()
        self._current_manifest.adopt(version, assembly.ok)
        return True

    def _read_from_platform(self, key: str) -> Result[bytes, FetchError]:
        return read_object(self._client, key)

    def _read_from_peer(self, address: str, key: str) -> Result[bytes, FetchError]:
        found = self._fetch_from_peer(address, key)
        if found.is_ok() and found.ok is not None and found.ok.value is not None:
            return Ok(found.ok.value)
        return self._read_from_platform(key)


def _log_version_mismatch(
    current: CompiledManifest, version: int, digest: str, address: str
) -> None:
    """Log an error if the peer has other content under the same version."""
    if version == current.version and digest not in ("", current.digest):
        logger.error("Peer %s has other content in version %d.", address, version)
