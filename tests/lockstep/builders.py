"""Builders of what agents of a group say and send."""

from __future__ import annotations

from typing import TYPE_CHECKING

from kingcupwheel.lockstep.daemon import RankDaemon
from kingcupwheel.lockstep.state import RankState
from kingcupwheel.settings.schema import PlatformSettings
from kingcupwheel.settings.schema import RankSettings
from kingcupwheel.settings.schema import Role
from kingcupwheel.settings.schema import Settings


if TYPE_CHECKING:
    from kingcupwheel.link.links import Link
    from kingcupwheel.messages.base import Message
    from tests.standins.lockstep_group import RankStandIn


class RecordingHub:
    """Keeps what is sent in place of sending it."""

    def __init__(self) -> None:
        self.sent: list[tuple[Link, Message]] = []

    def send(self, link: Link, message: Message) -> None:
        self.sent.append((link, message))

    def replace(self, address: str) -> None:
        """Open nothing: there is no connection."""

    def take(self) -> list[tuple[Link, Message]]:
        sent, self.sent = self.sent, []
        return sent


def rank_state(rank: int) -> RankState:
    return RankState("g", 1, rank, 72, True, 5, 0, 0, 0, None, 1, 0, 1.0)


def started_agent(
    rank: RankStandIn, listen: str, store_url: str, *, metrics: str = ""
) -> RankDaemon:
    """Start an agent in this process beside a rank."""
    agent = RankDaemon(
        Settings(
            name=f"agent-{rank.number}",
            role=Role.AGENT,
            data_centre="dc-1",
            listen=listen,
            platform=PlatformSettings(url=store_url),
            rank=RankSettings(server=rank.address, service="llm", metrics=metrics),
        )
    )
    agent.start()
    return agent
