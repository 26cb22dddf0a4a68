"""Backend servers as listed by the platform."""

from __future__ import annotations

from typing import NamedTuple


class Backend(NamedTuple):
    """One incarnation of a backend server.

    ``instance`` is the server's own name, which it may keep across restarts;
    ``started_at_ms`` (Unix time, 0 if unknown) then tells its incarnations apart.
    ``address`` is ``IP:port``, which a server of another service may get later.
    ``capacity`` is the number of requests that it runs at once, ``warmup_left_s`` the
    time until it has its full speed. ``created_revision`` is the store's revision at
    which the entry was created; it orders entries with the same address.
    """

    instance: str
    service: str
    address: str
    data_centre: str
    capacity: int
    is_leaving: bool
    warmup_left_s: float
    created_revision: int
    started_at_ms: int = 0

    @property
    def incarnation(self) -> str:
        """Unique name of this incarnation."""
        return (
            f"{self.instance}@{self.started_at_ms}"
            if self.started_at_ms
            else self.instance
        )

    def started_before(self, other: Backend) -> bool:
        """Return whether this incarnation started first, as far as is known."""
        if self.started_at_ms and other.started_at_ms:
            return self.started_at_ms < other.started_at_ms
        return self.created_revision < other.created_revision
