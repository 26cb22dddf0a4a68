"""References to agents outside this entry's subset, held while they are queried."""

from __future__ import annotations

from time import monotonic
from typing import TYPE_CHECKING

from kingcupwheel.platform.client import Instance


if TYPE_CHECKING:
    from kingcupwheel.claims.claim_records import ClaimRecord
    from kingcupwheel.entry.server_table import ServerTable


class AgentReference:
    """Keeps a claim's agent in the server table until ``release``; call it once.

    The liveness of agents outside the table is not checked: a reader of an answer would
    wait forever if such an agent died.
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
        """Remove the reference; the agent may be removed from the table."""
        self._servers.remove_reference(self._instance.address)
