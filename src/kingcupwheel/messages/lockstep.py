"""Messages about expert maps between the agents of a lock-stepped group."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from kingcupwheel.lockstep.orders import RankOrder
from kingcupwheel.lockstep.rank_reports import RankState
from kingcupwheel.messages.base import Message


class ReplyContent(StrEnum):
    """What a reply contains in addition to the rank's state."""

    STATE = "state"
    COUNTS = "counts"
    PLACES = "places"


class RankStateRequest(Message, frozen=True, tag="RankAsk"):
    """Coordinator to agent: run an order if there is one, then report the state.

    The agent resends the order to its server until the state reflects it, for at most
    ``wait_ms``. The reply repeats ``number``.
    """

    number: int
    content: ReplyContent = msgspec.field(name="tell")
    order: RankOrder | None = None
    wait_ms: int = 0


class RankStateReply(Message, frozen=True, tag="RankTold"):
    """Reply to ``RankStateRequest``; ``state`` is None if the server did not respond.

    ``counts`` has one byte for each expert, layer by layer: how often it was chosen
    since the last reply with counts, divided by ``scale``. ``placement`` lists this
    rank's experts by layer in the map in force.
    """

    number: int
    state: RankState | None
    counts: bytes = b""
    scale: int = 1
    placement: tuple[tuple[int, ...], ...] = msgspec.field(default=(), name="places")


class BranchRequest(Message, frozen=True, tag="BranchAsk"):
    """Coordinator to the head of a branch: send to ``members``, aggregate replies."""

    number: int
    request: RankStateRequest = msgspec.field(name="ask")
    members: tuple[str, ...]


class BranchReply(Message, frozen=True, tag="BranchTold"):
    """Reply to ``BranchRequest``; members that did not reply are left out.

    The members' counts are summed into ``counts`` and ``scale``, encoded as in
    ``RankStateReply``.
    """

    number: int
    reply_by_address: dict[str, RankStateReply] = msgspec.field(name="told")
    counts: bytes = b""
    scale: int = 1
