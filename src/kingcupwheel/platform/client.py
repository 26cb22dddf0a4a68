"""The platform's object API as the rest of the system sees it.

The real protocol lives in one plug-in module (``platform.http``); everything else
speaks to this interface. Every call counts against the platform's rates, a waiting
watch as one.
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
    """An object's value at a version; versions of a key only rise."""

    key: str
    version: int
    value: bytes


class Instance(NamedTuple):
    """An instance from the platform's list, which lags.

    ``role`` is ``entry`` or ``agent``. ``address`` is ``IP:port`` of the process's own
    socket for the system; ``http`` is ``IP:port`` for callers, empty for agents.
    """

    name: str
    role: str
    group: str
    data_centre: str
    address: str
    http: str
    leaving: bool


class PlatformClient(Protocol):
    """Calls block for at most the client's timeout; they are safe from any thread."""

    def read(self, key: str) -> Result[VersionedValue | None, PlatformError]:
        """Return the object, or None if it does not exist."""

    def create(self, key: str, value: bytes) -> Result[int, PlatformError]:
        """Create the object if absent; return its version, else ``Conflict``."""

    def update(
        self, key: str, value: bytes, *, version: int
    ) -> Result[int, PlatformError]:
        """Replace the object if it is at ``version``; return the new version."""

    def delete(self, key: str, *, version: int) -> Result[None, PlatformError]:
        """Remove the object if it is at ``version``."""

    def keys(self, prefix: str) -> Result[tuple[str, ...], PlatformError]:
        """Return the keys that start with ``prefix``, sorted."""

    def watch(
        self, key: str, *, after: int, timeout_s: float
    ) -> Result[VersionedValue | None, PlatformError]:
        """Wait for the object to pass version ``after``; None when time runs out."""

    def instances(self) -> Result[tuple[Instance, ...], PlatformError]:
        """Return the platform's lagging list of live and leaving instances."""
