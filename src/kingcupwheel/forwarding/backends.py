"""Backend servers as the platform lists them."""

from __future__ import annotations

from typing import NamedTuple


class Backend(NamedTuple):
    """One life of a backend server.

    ``instance`` names the server to itself; it may keep the name when it starts anew,
    and then ``born_ms`` (Unix milliseconds of the start, 0 if it is not told) tells its
    lives apart. ``address`` is ``IP:port``, which a server of another service may have
    later. ``places`` is how many requests it runs at once, ``cold_s`` how much longer
    it is slow after its start. ``created`` is the store's revision at which the entry
    was made; it orders entries at one address.
    """

    instance: str
    service: str
    address: str
    data_centre: str
    places: int
    leaving: bool
    warmup_left_s: float
    created_revision: int
    started_at_ms: int = 0

    @property
    def incarnation(self) -> str:
        """The name of this life: no other one has it."""
        return (
            f"{self.instance}@{self.started_at_ms}"
            if self.started_at_ms
            else self.instance
        )

    def started_before(self, other: Backend) -> bool:
        """Return whether this life began before the other one, as far as is told."""
        if self.started_at_ms and other.started_at_ms:
            return self.started_at_ms < other.started_at_ms
        return self.created_revision < other.created_revision
