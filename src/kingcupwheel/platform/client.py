"""Interface of the client for the platform's object API.

The protocol itself is implemented by one plug-in module (``platform.http``). Every call
counts against the platform's rate limits; a waiting watch counts as one call.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol


if TYPE_CHECKING:
    from expression import Result

    from kingcupwheel.platform.errors import PlatformError

MAX_VALUE_BYTES = 1_000_000


class VersionedValue(NamedTuple):
    """An object's value at a version; versions of a key only increase."""

    key: str
    version: int
    value: bytes


class Instance(NamedTuple):
    """An instance from the platform's list, which is eventually consistent.

    ``role`` is ``entry`` or ``agent``. ``address`` is the ``IP:port`` that other
    processes of the system connect to; ``http`` is the ``IP:port`` for callers, empty
    for agents.
    """

    name: str
    role: str
    group: str
    data_centre: str
    address: str
    http: str
    leaving: bool


class PlatformClient(Protocol):
    """Client of the object API; calls block for at most its timeout; thread-safe."""

    def read(self, key: str) -> Result[VersionedValue | None, PlatformError]:
        """Return the object, or None if it does not exist."""

    def create(self, key: str, value: bytes) -> Result[int, PlatformError]:
        """Create the object and return its version; ``Conflict`` if it exists."""

    def update(
        self, key: str, value: bytes, *, version: int
    ) -> Result[int, PlatformError]:
        """Replace the object if it is at ``version``; return the new version."""

    def delete(self, key: str, *, version: int) -> Result[None, PlatformError]:
        """Delete the object if it is at ``version``."""

    def keys(self, prefix: str) -> Result[tuple[str, ...], PlatformError]:
        """Return the keys that start with ``prefix``, sorted."""

    def watch(
        self, key: str, *, after: int, timeout_s: float
    ) -> Result[VersionedValue | None, PlatformError]:
        """Wait for a version later than ``after``; return None on timeout."""

    def instances(self) -> Result[tuple[Instance, ...], PlatformError]:
        """Return live and leaving instances; the platform's list lags behind."""
