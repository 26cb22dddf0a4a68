"""The manifest version in force in a process, replaced only by later versions."""

from __future__ import annotations

import logging
from collections.abc import Callable
from threading import Condition
from threading import Lock
from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.manifest.compiled_manifest import CompiledManifest
from kingcupwheel.manifest.shards import INDEX_KEY
from kingcupwheel.manifest.shards import shard_key
from kingcupwheel.messages.membership import ManifestObject


if TYPE_CHECKING:
    from collections.abc import Mapping

    from kingcupwheel.manifest.assembly import AssembledManifest

ChangeListener = Callable[[CompiledManifest], None]

logger = logging.getLogger("kingcupwheel.manifest")


class _Snapshot(NamedTuple):
    """A version and the values of its objects, replaced together."""

    manifest: CompiledManifest
    values_by_key: Mapping[str, bytes]


class CurrentManifest:
    """Holder of the manifest version in force; thread-safe, with lock-free reads."""

    def __init__(self) -> None:
        self._snapshot: _Snapshot | None = None
        self._swap_lock = Lock()
        self._changed = Condition()
        self._listeners: list[ChangeListener] = []

    @property
    def current(self) -> CompiledManifest | None:
        """The manifest in force, None before the first one."""
        snapshot = self._snapshot
        return None if snapshot is None else snapshot.manifest

    @property
    def version(self) -> int:
        """The version in force, 0 before the first one."""
        snapshot = self._snapshot
        return 0 if snapshot is None else snapshot.manifest.version

    def subscribe(self, listener: ChangeListener) -> None:
        """Call ``listener`` with each manifest adopted from now on, in order."""
        self._listeners.append(listener)

    def adopt(self, version: int, assembly: AssembledManifest) -> bool:
        """Adopt ``assembly`` if its version is later than the current one.

        A platform read may return an older version after a newer one was adopted, or
        two threads may finish out of order; adopting either would revert an accepted
        change in this process. Versions of an object only increase, so comparing them
        under the lock is sufficient.
        """
        if version <= self.version:
            return False
        manifest = CompiledManifest(version, assembly)
        snapshot = _Snapshot(manifest, _values_by_key(assembly))
        with self._swap_lock:
            if version <= self.version:
                return False
            self._snapshot = snapshot
            with self._changed:
                self._changed.notify_all()
            self._notify_listeners(manifest)
        logger.info("Manifest version %d is in force.", version)
        return True

    def wait_for_version(self, version: int, timeout_s: float) -> bool:
        """Wait for ``version`` or a later one; return False if it times out."""
        with self._changed:
            return self._changed.wait_for(lambda: self.version >= version, timeout_s)

    def get_object(self, key: str) -> ManifestObject:
        """Return an object of the current version; ``value`` is None if missing."""
        snapshot = self._snapshot
        if snapshot is None:
            return ManifestObject(key=key, version=0, value=None)
        value = snapshot.values_by_key.get(key)
        return ManifestObject(key=key, version=snapshot.manifest.version, value=value)

    def _notify_listeners(self, manifest: CompiledManifest) -> None:
        for listener in tuple(self._listeners):
            try:
                listener(manifest)
            except Exception:
                logger.exception("Manifest listener failed.")


def _values_by_key(assembly: AssembledManifest) -> dict[str, bytes]:
    values_by_key = {
        INDEX_KEY: assembly.index_value,
        shard_key(assembly.index_object.core_digest): assembly.core_value,
    }
    for digest, bucket in assembly.buckets_by_digest.items():
        values_by_key[shard_key(digest)] = bucket.value
    return values_by_key
