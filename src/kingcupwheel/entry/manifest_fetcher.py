"""Fetches objects of the manifest from peers."""

from __future__ import annotations

from queue import Empty
from queue import SimpleQueue
from threading import Lock
from time import monotonic
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result

from kingcupwheel.link.links import OutgoingLink
from kingcupwheel.messages.membership import ManifestRequest


if TYPE_CHECKING:
    from kingcupwheel.link.hub import MessageHub
    from kingcupwheel.messages.membership import ManifestObject

# How long one peer is given for one object of at most a megabyte.
_PEER_TIMEOUT_S = 1.5


class ManifestFetcher:
    """Asks a peer for an object of the manifest; one question at a time."""

    def __init__(self, hub: MessageHub) -> None:
        self._hub = hub
        self._objects: SimpleQueue[ManifestObject] = SimpleQueue()
        self._lock = Lock()

    def put_object(self, message: ManifestObject) -> None:
        """Take a peer's answer; called on the hub's thread."""
        self._objects.put(message)

    def fetch(self, address: str, key: str) -> Result[ManifestObject | None, str]:
        """Return the peer's answer, or why there is none."""
        with self._lock:
            self._hub.send(OutgoingLink(address, 0), ManifestRequest(key))
            return self._wait_for_object(address, key)

    def _wait_for_object(
        self, address: str, key: str
    ) -> Result[ManifestObject | None, str]:
        until = monotonic() + _PEER_TIMEOUT_S
        while True:
            try:
                answer = self._objects.get(timeout=max(0.0, until - monotonic()))
            except Empty:
                return Error(f"{address} did not answer in {_PEER_TIMEOUT_S} s")
            if answer.key == key:
                return Ok(answer)
