"""Between the agents of a lock-stepped group, about expert maps."""

from __future__ import annotations

from enum import StrEnum

from kingcupwheel.lockstep.orders import RankOrder
from kingcupwheel.lockstep.state import RankState
from kingcupwheel.messages.base import Message


class ReplyContent(StrEnum):
    """What an answer is to hold beside the rank's state."""

    STATE = "state"
    COUNTS = "counts"
    PLACES = "places"


class RankStateRequest(Message, frozen=True, tag="RankAsk"):
    """Coordinator to agent: carry out an order, then tell the state.

    With an order the agent gives it again until the state shows it, for ``wait_ms`` at
    most. Answers carry the question's ``number``.
    """

    number: int
    content: ReplyContent
    order: RankOrder | None = None
    wait_ms: int = 0


class RankStateReply(Message, frozen=True, tag="RankTold"):
    """Answers ``RankAsk``; ``state`` is None if the server did not answer.

    ``counts`` is one byte for each expert, layer by layer: choices since the last
    answer with counts, divided by ``scale``. ``places`` are this rank's experts by
    layer of the map in force.
    """

    number: int
    state: RankState | None
    counts: bytes = b""
    scale: int = 1
    placement: tuple[tuple[int, ...], ...] = ()


class BranchRequest(Message, frozen=True, tag="BranchAsk"):
    """Coordinator to the head of a branch: ask ``members`` this, and gather."""

    number: int
    request: RankStateRequest
    members: tuple[str, ...]


class BranchReply(Message, frozen=True, tag="BranchTold"):
    """Answers ``BranchAsk``: what members told by address; silent ones are left out.

    Their counts are summed into ``counts`` and ``scale``, as in ``RankTold``.
    """

    number: int
    reply_by_address: dict[str, RankStateReply]
    counts: bytes = b""
    scale: int = 1
