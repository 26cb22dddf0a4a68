"""Follower of the manifest, for the agent's own server group, through its entries.

An agent keeps no watch on the platform: with a thousand agents the open watches alone
would exhaust the platform's limit. Requests come only from entries, each of which
reports its manifest version about every second, so fetching from them is sufficient.
"""

from __future__ import annotations

from queue import Empty
from queue import SimpleQueue
from threading import Lock
from time import monotonic
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result

from kingcupwheel.link.links import IncomingLink
from kingcupwheel.manifest.schema import Retention
from kingcupwheel.manifest.synchronizer import ManifestSynchronizer
from kingcupwheel.messages.membership import ManifestRequest


if TYPE_CHECKING:
    from collections.abc import Callable

    from kingcupwheel.link.links import Link
    from kingcupwheel.manifest.compiled_manifest import CompiledManifest
    from kingcupwheel.manifest.schema import ServerGroup
    from kingcupwheel.messages.base import Message
    from kingcupwheel.messages.membership import ManifestObject
    from kingcupwheel.platform.client import PlatformClient

_ENTRY_TIMEOUT_S = 1.5
_SECONDS_PER_HOUR = 3600.0


class ManifestFollower:
    """Fetches new manifests from entries.

    ``on_group_changed`` is called with each changed definition of the agent's group.
    """

    def __init__(
        self,
        client: PlatformClient,
        *,
        group: str,
        send: Callable[[Link, Message], None],
        on_group_changed: Callable[[ServerGroup], None],
    ) -> None:
        self._group = group
        self._send = send
        self._on_group_changed = on_group_changed
        self._last_group: ServerGroup | None = None
        self._received_objects: SimpleQueue[ManifestObject] = SimpleQueue()
        self._fetch_lock = Lock()
        self._synchronizer = ManifestSynchronizer(
            client,
            fetch_from_peer=self._fetch,
            on_change=self._on_change,
            with_organisations=False,
            watches_platform=False,
        )

    @property
    def version(self) -> int:
        """The current manifest version, 0 before the first one."""
        return self._synchronizer.version

    @property
    def traces_retention_s(self) -> float:
        """The platform's retention time of traces in seconds."""
        manifest = self._synchronizer.current
        retention = Retention() if manifest is None else manifest.retention
        return retention.traces_h * _SECONDS_PER_HOUR

    def start(self) -> None:
        """Start following the manifest versions of the entries."""
        self._synchronizer.start()

    def stop(self) -> None:
        """Stop following the entries."""
        self._synchronizer.stop()

    def record_version(self, link: Link, version: int, digest: str) -> None:
        """Record the manifest version reported on ``link``; never blocks."""
        if isinstance(link, IncomingLink):
            self._synchronizer.record_peer_version(version, digest, link.identity.hex())

    def get_object(self, key: str) -> ManifestObject:
        """Return the reply to an entry's request for a manifest object."""
        return self._synchronizer.get_object(key)

    def receive_object(self, message: ManifestObject) -> None:
        """Receive an object from an entry; called on the hub's thread."""
        self._received_objects.put(message)

    def _fetch(self, address: str, key: str) -> Result[ManifestObject | None, str]:
        link = IncomingLink(bytes.fromhex(address))
        with self._fetch_lock:
            self._send(link, ManifestRequest(key))
            return self._wait_for_object(key)

    def _wait_for_object(self, key: str) -> Result[ManifestObject | None, str]:
        deadline = monotonic() + _ENTRY_TIMEOUT_S
        while True:
            try:
                manifest_object = self._received_objects.get(
                    timeout=max(0.0, deadline - monotonic())
                )
            except Empty:
                return Error(f"no reply from the entry within {_ENTRY_TIMEOUT_S} s")
            if manifest_object.key == key:
                return Ok(manifest_object)

    def _on_change(self, manifest: CompiledManifest) -> None:
        group = manifest.groups_by_name.get(self._group)
        if group is not None and group != self._last_group:
            self._last_group = group
            self._on_group_changed(group)
