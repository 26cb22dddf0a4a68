"""Fetches manifest objects from peers."""

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

# Timeout for one object of at most a megabyte.
_PEER_TIMEOUT_S = 1.5


class ManifestFetcher:
    """Requests manifest objects from peers, one at a time."""

    def __init__(self, hub: MessageHub) -> None:
        self._hub = hub
        self._objects: SimpleQueue[ManifestObject] = SimpleQueue()
        self._lock = Lock()

    def put_object(self, message: ManifestObject) -> None:
        """Add a peer's reply; called on the hub's thread."""
        self._objects.put(message)

    def fetch(self, address: str, key: str) -> Result[ManifestObject | None, str]:
        """Return the peer's reply, or an error after a timeout."""
        with self._lock:
            self._hub.send(OutgoingLink(address, 0), ManifestRequest(key))
            return self._wait_for_object(address, key)

    def _wait_for_object(
        self, address: str, key: str
    ) -> Result[ManifestObject | None, str]:
        deadline = monotonic() + _PEER_TIMEOUT_S
        while True:
            try:
                reply = self._objects.get(timeout=max(0.0, deadline - monotonic()))
            except Empty:
                return Error(f"peer {address} did not reply within {_PEER_TIMEOUT_S} s")
            if reply.key == key:
                return Ok(reply)
