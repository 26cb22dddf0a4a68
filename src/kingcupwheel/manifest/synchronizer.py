"""Keeps the manifest in force in a process up to date, and never takes it back."""

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

# Asks the peer at an address for an object; the error says why there was no answer.
PeerObjectFetcher = Callable[[str, str], Result[ManifestObject | None, str]]

logger = logging.getLogger("kingcupwheel.manifest")

# Processes that saw the same change spread their reads of shards over this time: 370
# entries and 1,000 agents at once would use up the platform's 2,000 reads a second.
# It leaves most of the 7 seconds in which a change has to be in force everywhere.
DEFAULT_MAX_READ_DELAY_S = 2.0
# Pauses after a failed watch. The longest bounds how long after an outage a change is
# noticed; 1,370 processes at 2 to 4 s make about 460 calls a second meanwhile.
_MIN_WATCH_BACKOFF_S = 0.2
_MAX_WATCH_BACKOFF_S = 4.0
# A watch that ends without news sooner than this has not waited; the next one does.
_MIN_WATCH_S = 0.2
# How often a process that is behind looks whether there is a new hint.
_HINT_POLL_INTERVAL_S = 0.5


class ManifestSynchronizer:
    """Holds the manifest in force; adopts later versions only.

    Two ways lead to a new version: a watch on the platform, and ``heard``, which is
    told the version that each message of another process names. Either is enough, so
    that a process cut off from the platform, or whose watch went silent, follows its
    peers.

    ``fetch_from_peer(address, key)`` may block; it is called on the keeper's threads.
    ``on_change`` is called as by ``subscribe``. ``with_organisations=False`` keeps
    groups and routes only, which is all an agent needs; ``watches_platform=False``
    leaves ``heard`` as the only way. ``watch_s`` is how long one watch waits,
    ``spread_s`` the longest random delay before shards are read.
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
        """The manifest in force here, None until the first one is adopted."""
        return self._current_manifest.current

    @property
    def version(self) -> int:
        """Its version, 0 before the first one; what messages name."""
        return self._current_manifest.version

    @property
    def digest(self) -> str:
        """Its digest, empty before the first one; what messages name."""
        current = self._current_manifest.current
        return "" if current is None else current.digest

    def start(self) -> None:
        """Start to follow the platform and the peers."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop following; a watch that is under way is left to run out."""
        self._stopping.set()
        with self._hint_added:
            self._hint_added.notify_all()

    def subscribe(self, listener: ChangeListener) -> None:
        """Call ``listener`` with each manifest adopted from now on.

        Calls come one at a time, in the order of versions, on a keeper's thread.
        """
        self._current_manifest.subscribe(listener)

    def wait_for_version(self, version: int, timeout_s: float) -> bool:
        """Return whether ``version`` or a later one is in force within the time."""
        return self._current_manifest.wait_for_version(version, timeout_s)

    def get_object(self, key: str) -> ManifestObject:
        """Return the answer to a peer that wants this object; never blocks."""
        return self._current_manifest.get_object(key)

    def record_peer_version(self, version: int, digest: str, address: str) -> None:
        """Note that the process at ``address`` names this version; never blocks.

        ``digest`` is empty if that process holds no manifest itself (an agent): it is
        not asked for objects, and its word leads to the platform.
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
        """Return whether to watch again at once."""
        begun = monotonic()
        found = self._client.watch(
            INDEX_KEY, after=self.version, timeout_s=self._watch_s
        )
        if found.is_error():
            logger.warning("Watch failed: %s.", describe_platform_error(found.error))
            return False
        if found.ok is None:
            return monotonic() - begun >= _MIN_WATCH_S
        return self._adopt_from_watch(found.ok)

    def _adopt_from_watch(self, found: VersionedValue) -> bool:
        if found.version <= self.version:
            logger.warning("The platform answered old version %d.", found.version)
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
        """Wait for a hint for a while; None if there is none or when stopping."""
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
            logger.warning("Peer %s did not answer: %s.", address, found.error)
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
            logger.warning("Version %d not adopted: %s.", version, assembly.error)
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
    """Log a peer that holds the same version with other content."""
    if version == current.version and digest not in ("", current.digest):
        logger.error("Peer %s has another version %d.", address, version)
