"""Between the agents of a lock-stepped group, about expert maps."""

from __future__ import annotations

from enum import StrEnum

from kingcupwheel.lockstep.orders import RankOrder
from kingcupwheel.lockstep.rank_reports import RankState
from kingcupwheel.messages.base import Message


class Tell(StrEnum):
    """What an answer is to hold beside the rank's state."""

    STATE = "state"
    COUNTS = "counts"
    PLACES = "places"


class RankAsk(Message, frozen=True):
    """Coordinator to agent: carry out an order, then tell the state.

    With an order the agent gives it again until the state shows it, for ``wait_ms`` at
    most. Answers carry the question's ``number``.
    """

    number: int
    tell: Tell
    order: RankOrder | None = None
    wait_ms: int = 0


class RankTold(Message, frozen=True):
    """Answers ``RankAsk``; ``state`` is None if the server did not answer.

    ``counts`` is one byte for each expert, layer by layer: choices since the last
    answer with counts, divided by ``scale``. ``places`` are this rank's experts by
    layer of the map in force.
    """

    number: int
    state: RankState | None
    counts: bytes = b""
    scale: int = 1
    places: tuple[tuple[int, ...], ...] = ()


class BranchAsk(Message, frozen=True):
    """Coordinator to the head of a branch: ask ``members`` this, and gather."""

    number: int
    ask: RankAsk
    members: tuple[str, ...]


class BranchTold(Message, frozen=True):
    """Answers ``BranchAsk``: what members told by address; silent ones are left out.

    Their counts are summed into ``counts`` and ``scale``, as in ``RankTold``.
    """

    number: int
    told: dict[str, RankTold]
    counts: bytes = b""
    scale: int = 1
