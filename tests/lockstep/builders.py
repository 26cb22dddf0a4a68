"""Builders of what agents of a group say and send."""

from __future__ import annotations

from typing import TYPE_CHECKING

from kingcupwheel.lockstep.state import RankState


if TYPE_CHECKING:
    from kingcupwheel.link.links import Link
    from kingcupwheel.messages.base import Message


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
