"""Identifiers of links between processes."""

from __future__ import annotations

from typing import NamedTuple


class OutgoingLink(NamedTuple):
    """A link that this process opened to ``address`` (``IP:port``).

    ``generation`` increases each time the link is reconnected.
    """

    address: str
    generation: int


class IncomingLink(NamedTuple):
    """A link that another process opened to this one."""

    identity: bytes


Link = OutgoingLink | IncomingLink


class TrafficCounts(NamedTuple):
    """Messages and payload bytes received and sent by a hub since it started."""

    messages_in: int
    messages_out: int
    bytes_in: int
    bytes_out: int
