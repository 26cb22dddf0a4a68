"""Names of links between processes."""

from __future__ import annotations

from typing import NamedTuple


class OutgoingLink(NamedTuple):
    """A link this process opened to ``address`` (``IP:port``).

    ``generation`` rises each time the link is replaced by a new connection.
    """

    address: str
    generation: int


class IncomingLink(NamedTuple):
    """A link another process opened to this one."""

    identity: bytes


Link = OutgoingLink | IncomingLink


class TrafficCounts(NamedTuple):
    """Messages and payload bytes that passed a hub since it started."""

    messages_in: int
    messages_out: int
    bytes_in: int
    bytes_out: int
