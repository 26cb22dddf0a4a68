"""Holds one version of the manifest and replaces it by later ones only."""

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
    """A version with its objects' values, swapped as one."""

    manifest: CompiledManifest
    values_by_key: Mapping[str, bytes]


class CurrentManifest:
    """Safe from any thread; readers take no lock."""

    def __init__(self) -> None:
        self._snapshot: _Snapshot | None = None
        self._swap_lock = Lock()
        self._changed = Condition()
        self._listeners: list[ChangeListener] = []

    @property
    def current(self) -> CompiledManifest | None:
        """The version held, None before the first one."""
        held = self._snapshot
        return None if held is None else held.manifest

    @property
    def version(self) -> int:
        """Its number, 0 before the first one."""
        held = self._snapshot
        return 0 if held is None else held.manifest.version

    def subscribe(self, listener: ChangeListener) -> None:
        """Call ``listener`` with each version held from now on, in order."""
        self._listeners.append(listener)

    def adopt(self, version: int, assembly: AssembledManifest) -> bool:
        """Hold ``assembly`` if it is later than what is held.

        Failure: a read of the platform answers an older version after a newer one was
        adopted here, or two threads finish in the other order. Symptom: an accepted
        change is undone on one process. Versions of a key only rise, so comparing them
        under the lock that swaps is enough.
        """
        if version <= self.version:
            return False
        in_force = CompiledManifest(version, assembly)
        held = _Snapshot(in_force, _values_by_key(assembly))
        with self._swap_lock:
            if version <= self.version:
                return False
            self._snapshot = held
            with self._changed:
                self._changed.notify_all()
            self._notify_listeners(in_force)
        logger.info("Version %d is in force.", version)
        return True

    def wait_for_version(self, version: int, timeout_s: float) -> bool:
        """Return whether ``version`` or a later one is held within the time."""
        with self._changed:
            return self._changed.wait_for(lambda: self.version >= version, timeout_s)

    def get_object(self, key: str) -> ManifestObject:
        """Return an object of the version held; ``value`` is None if it has none."""
        held = self._snapshot
        if held is None:
            return ManifestObject(key=key, version=0, value=None)
        value = held.values_by_key.get(key)
        return ManifestObject(key=key, version=held.manifest.version, value=value)

    def _notify_listeners(self, manifest: CompiledManifest) -> None:
        for listener in tuple(self._listeners):
            try:
                listener(manifest)
            except Exception:
                logger.exception("A listener failed.")


def _values_by_key(assembly: AssembledManifest) -> dict[str, bytes]:
    values_by_key = {
        INDEX_KEY: assembly.index_value,
        shard_key(assembly.index_object.core_digest): assembly.core_value,
    }
    for digest, bucket in assembly.buckets_by_digest.items():
        values_by_key[shard_key(digest)] = bucket.value
    return values_by_key
