"""Knows agents that this entry does not otherwise use, for as long as it asks them."""

from __future__ import annotations

from time import monotonic
from typing import TYPE_CHECKING

from kingcupwheel.platform.client import Instance


if TYPE_CHECKING:
    from kingcupwheel.claims.records import ClaimRecord
    from kingcupwheel.entry.servers import ServerTable


class Visit:
    """Keeps the agent that a claim names known, so that its silence is noticed."""

    def __init__(self, servers: ServerTable, record: ClaimRecord) -> None:
        self._servers = servers
        self._instance = Instance(
            name=record.agent,
            role="agent",
            group="",
            data_centre="",
            address=record.address,
            http="",
            leaving=False,
        )

    def __enter__(self) -> None:
        self._servers.visit(self._instance, monotonic())

    def __exit__(self, *_: object) -> None:
        self._servers.end_visit(self._instance.address)
