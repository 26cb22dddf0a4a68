"""Knows agents that this entry does not otherwise use, for as long as it asks them."""

from __future__ import annotations

from time import monotonic
from typing import TYPE_CHECKING

from kingcupwheel.platform.client import Instance


if TYPE_CHECKING:
    from kingcupwheel.claims.records import ClaimRecord
    from kingcupwheel.entry.server_table import ServerTable


class AgentReference:
    """Keeps the agent that a claim names known until ``end``, once.

    An answer read from an agent that is not known would wait for ever if that agent
    died: nobody looks for its silence.
    """

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

        servers.add_reference(self._instance, monotonic())

    def release(self) -> None:
        """Let the agent be forgotten, unless it is used otherwise."""
        self._servers.remove_reference(self._instance.address)
