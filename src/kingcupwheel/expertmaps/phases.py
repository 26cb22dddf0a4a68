"""What a coordinator is doing: its phases, the events it takes, the orders it gives.

Ranks are numbered from 0; tuples of answers are indexed by rank.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.expertmaps.protocol import AbortOrder
from kingcupwheel.expertmaps.protocol import CommitOrder
from kingcupwheel.expertmaps.protocol import PrepareOrder
from kingcupwheel.expertmaps.protocol import StageOrder
from kingcupwheel.expertmaps.protocol import StateRequest
from kingcupwheel.expertmaps.protocol import SupersedeOrder


if TYPE_CHECKING:
    from kingcupwheel.expertmaps.maps import ExpertMap
    from kingcupwheel.expertmaps.maps import MapVersion
    from kingcupwheel.expertmaps.protocol import MapSchedule
    from kingcupwheel.expertmaps.protocol import RankOrder
    from kingcupwheel.expertmaps.protocol import RankReply
    from kingcupwheel.expertmaps.protocol import StateReply
    from kingcupwheel.expertmaps.protocol import SupersedeReply


class LeaseTaken(NamedTuple):
    """The process now holds the group's lease with ``fence``."""

    fence: int
    now: float


class LeaseLost(NamedTuple):
    """The lease is gone or may be."""


class MapProposed(NamedTuple):
    """The planner wants ``map`` in force."""

    map: ExpertMap
    now: float


class ReplyReceived(NamedTuple):
    """The agent of ``rank`` passed on its answer."""

    rank: int
    reply: RankReply
    now: float


class Tick(NamedTuple):
    """Time has passed; ``now`` is monotonic, in seconds."""

    now: float


Event = LeaseTaken | LeaseLost | MapProposed | ReplyReceived | Tick


class OutgoingOrder(NamedTuple):
    """Send ``order`` to the agent of ``rank``."""

    rank: int
    order: RankOrder


@dataclass(frozen=True)
class Standby:
    """Another process holds the lease."""


@dataclass(frozen=True)
class Surveying:
    """Just took the lease: reads every rank before it holds any of them."""

    round: int
    answers: tuple[StateReply | None, ...]


@dataclass(frozen=True)
class Holding:
    """Supersedes what a predecessor, or a change cut short, left open."""

    version: MapVersion
    answers: tuple[SupersedeReply | None, ...]


@dataclass(frozen=True)
class Ready:
    """All ranks have committed the same; they are read now and then."""

    round: int
    answers: tuple[StateReply | None, ...]


@dataclass(frozen=True)
class Staging:
    """Ranks load the weights of the new map, each from its turn on.

    ``order`` is for all of them, ``due`` is when each rank's turn comes (monotonic),
    ``step`` the highest heard of.
    """

    version: MapVersion
    map: ExpertMap
    order: StageOrder
    start_times: tuple[float, ...]
    acked: frozenset[int]
    step: int


@dataclass(frozen=True)
class Preparing:
    """Waits for every rank to promise that it stops before ``step``."""

    version: MapVersion
    map: ExpertMap
    step: int
    acked: frozenset[int]


@dataclass(frozen=True)
class Committing:
    """The outcome is decided; ``schedule`` is what each rank will have committed.

    ``lives`` are the ranks' lives that answered a hold before this, which have to be
    given the schedule; None if it follows no hold.
    """

    version: MapVersion
    schedule: MapSchedule
    incarnations: tuple[str, ...] | None
    acked: frozenset[int]


@dataclass(frozen=True)
class Aborting:
    """Releases the ranks that may have prepared ``version``."""

    version: MapVersion
    acked: frozenset[int]


Phase = (
    Standby | Surveying | Holding | Ready | Staging | Preparing | Committing | Aborting
)


def phase_key(phase: Phase) -> tuple[str, object]:
    """Return what stays the same while ``phase`` only collects answers."""
    name = type(phase).__name__
    match phase:
        case Standby():
            return name, None
        case Surveying(number, _) | Ready(number, _):
            return name, number
        case _:
            return name, phase.version


def has_answered(phase: Phase, rank: int) -> bool:
    """Tell whether ``rank`` has answered what ``phase`` asks of it."""
    match phase:
        case Standby():
            return True
        case Surveying(_, answers) | Holding(_, answers) | Ready(_, answers):
            return answers[rank] is not None
        case _:
            return rank in phase.acked


def pending_order(phase: Phase, rank: int, now: float) -> RankOrder | None:
    """Return what ``rank`` still has to be told in ``phase``, if anything."""
    if has_answered(phase, rank):
        return None
    match phase:
        case Surveying(number, _):
            return StateRequest(number, include_schedule=True)
        case Ready(number, _):
            return StateRequest(number)
        case Holding(version, _):
            return SupersedeOrder(version)
        case Staging(order=order, start_times=due):
            return order if now >= due[rank] else None
        case Preparing(version, _, step):
            return PrepareOrder(version, step)
        case Committing():
            return _build_commit_order(phase, rank)
        case Aborting(version):
            return AbortOrder(version)
        case Standby():
            return None


def _build_commit_order(phase: Committing, rank: int) -> CommitOrder:
    if phase.incarnations is None:
        return CommitOrder(phase.version, None)
    return CommitOrder(phase.version, phase.schedule, phase.incarnations[rank])
