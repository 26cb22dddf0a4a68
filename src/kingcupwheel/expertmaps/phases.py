"""Phases and events of the coordinator's state machine, and the orders it sends.

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
    """The process acquired the group's lease under ``fence``."""

    fence: int
    now: float


class LeaseLost(NamedTuple):
    """The lease was lost or may have expired."""


class MapProposed(NamedTuple):
    """The planner proposed ``map``."""

    map: ExpertMap
    now: float


class ReplyReceived(NamedTuple):
    """The agent of ``rank`` forwarded the rank's reply."""

    rank: int
    reply: RankReply
    now: float


class Tick(NamedTuple):
    """Periodic event; ``now`` is monotonic, in seconds."""

    now: float


Event = LeaseTaken | LeaseLost | MapProposed | ReplyReceived | Tick


class OutgoingOrder(NamedTuple):
    """Order to send to the agent of ``rank``."""

    rank: int
    order: RankOrder


@dataclass(frozen=True)
class Standby:
    """Another process holds the lease."""


@dataclass(frozen=True)
class Surveying:
    """Reads the state of every rank after a takeover, before it holds any of them."""

    round: int
    answers: tuple[StateReply | None, ...]


@dataclass(frozen=True)
class Holding:
    """Supersedes versions left open by a predecessor or an interrupted change."""

    version: MapVersion
    answers: tuple[SupersedeReply | None, ...]


@dataclass(frozen=True)
class Ready:
    """All ranks have committed the same version; polls their state."""

    round: int
    answers: tuple[StateReply | None, ...]


@dataclass(frozen=True)
class Staging:
    """Waits until all ranks have loaded the weights of the new map.

    ``order`` is the same for all ranks, ``start_times`` is when each rank may start to
    load (monotonic seconds), ``step`` the highest step reported.
    """

    version: MapVersion
    map: ExpertMap
    order: StageOrder
    start_times: tuple[float, ...]
    acked: frozenset[int]
    step: int


@dataclass(frozen=True)
class Preparing:
    """Waits until every rank has confirmed that it stops before ``step``."""

    version: MapVersion
    map: ExpertMap
    step: int
    acked: frozenset[int]


@dataclass(frozen=True)
class Committing:
    """Waits until every rank has committed ``schedule``; the outcome is decided.

    ``incarnations`` are those of the ranks in the preceding ``Holding`` phase, which
    need the schedule; None if another phase preceded.
    """

    version: MapVersion
    schedule: MapSchedule
    incarnations: tuple[str, ...] | None
    acked: frozenset[int]


@dataclass(frozen=True)
class Aborting:
    """Waits until every rank has aborted ``version``."""

    version: MapVersion
    acked: frozenset[int]


Phase = (
    Standby | Surveying | Holding | Ready | Staging | Preparing | Committing | Aborting
)


def phase_key(phase: Phase) -> tuple[str, object]:
    """Return a key that stays the same while ``phase`` only collects answers."""
    name = type(phase).__name__
    match phase:
        case Standby():
            return name, None
        case Surveying(number, _) | Ready(number, _):
            return name, number
        case _:
            return name, phase.version


def has_answered(phase: Phase, rank: int) -> bool:
    """Return whether ``rank`` has answered its order in ``phase``."""
    match phase:
        case Standby():
            return True
        case Surveying(_, answers) | Holding(_, answers) | Ready(_, answers):
            return answers[rank] is not None
        case _:
            return rank in phase.acked


def pending_order(phase: Phase, rank: int, now: float) -> RankOrder | None:
    """Return the order of ``phase`` that ``rank`` has not answered, if any."""
    if has_answered(phase, rank):
        return None
    match phase:
        case Surveying(number, _):
            return StateRequest(number, include_schedule=True)
        case Ready(number, _):
            return StateRequest(number)
        case Holding(version, _):
            return SupersedeOrder(version)
        case Staging(order=order, start_times=start_times):
            return order if now >= start_times[rank] else None
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
