"""Checks of an order's status against the report of its rank."""

from __future__ import annotations

from typing import TYPE_CHECKING

from kingcupwheel.lockstep.orders import Arm
from kingcupwheel.lockstep.orders import Disarm
from kingcupwheel.lockstep.orders import Hold
from kingcupwheel.lockstep.orders import Prepare
from kingcupwheel.lockstep.orders import Release


if TYPE_CHECKING:
    from kingcupwheel.lockstep.orders import RankOrder
    from kingcupwheel.lockstep.rank_reports import RankState


def is_carried_out(order: RankOrder, state: RankState) -> bool:
    """Return whether ``state`` shows that ``order`` was carried out."""
    match order:
        case Prepare(_, version):
            return state.prepared == version
        case Arm(_, version):
            return version in (state.armed, state.version)
        case Disarm(_, version):
            return state.armed != version
        case Hold(_, step):
            return state.held == step
        case Release(_, step):
            return state.held != step


def is_obsolete(order: RankOrder, state: RankState) -> bool:
    """Return whether ``order`` can't take effect any more.

    The group has a new epoch, a higher version supersedes the order, or its pass has
    begun.
    """
    if state.epoch != order.epoch:
        return True
    match order:
        case Prepare(_, version):
            return max(state.prepared, state.version, state.armed) > version
        case Arm(_, version):
            return state.prepared > version
        case Hold(_, step):
            return state.step >= step
        case _:
            return False
