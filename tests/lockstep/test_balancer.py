"""A group of 16 ranks whose demand tilts; passes long or short."""

from __future__ import annotations

import msgspec
import pytest

from kingcupwheel.forwarding.configuration import EngineShape
from kingcupwheel.lockstep.balancer import Balancer
from kingcupwheel.lockstep.group_state import GroupState
from kingcupwheel.lockstep.placement_planner import PlacementPlan
from kingcupwheel.lockstep.placement_planner import round_robin_placement
from kingcupwheel.messages.lockstep import RankStateReply
from tests.lockstep.builders import make_rank_state


RANK_COUNT = 16
EXPERT_COUNT = 64
LAYER_COUNT = 4
# A copy of 0.11 s and pauses of 0.12 s, as users run it.
SHAPE = EngineShape(LAYER_COUNT, EXPERT_COUNT, 5, 2, 0.111, max_event_gap_s=0.12)
INITIAL_MAP = round_robin_placement(RANK_COUNT, LAYER_COUNT, EXPERT_COUNT)


def make_replies(hot: int) -> list[RankStateReply]:
    """Return counts with ``hot`` for each expert of rank 0, and 5 for the others."""
    layer = bytes(
        hot if expert % RANK_COUNT == 0 else 5 for expert in range(EXPERT_COUNT)
    )
    return [
        RankStateReply(0, make_rank_state(rank), layer * LAYER_COUNT, scale=50)
        for rank in range(RANK_COUNT)
    ]


def make_group_state(step: int) -> GroupState:
    states = {
        rank: msgspec.structs.replace(make_rank_state(rank), step=step)
        for rank in range(RANK_COUNT)
    }
    return GroupState(1, RANK_COUNT, states)


def plan_after_ten_passes(hot: int, pass_s: float) -> PlacementPlan | None:
    """Return what is planned after ten passes of ``pass_s`` each."""
    balancer = Balancer(SHAPE)
    balancer.plan_change(make_group_state(1), INITIAL_MAP, [], 0.0)
    return balancer.plan_change(
        make_group_state(11), INITIAL_MAP, make_replies(hot), 10 * pass_s
    )


@pytest.mark.parametrize("pass_s", [0.04, 0.1])
def test_an_overloaded_rank_gets_a_plan(pass_s: float) -> None:
    assert plan_after_ten_passes(15, pass_s) is not None


def test_a_plan_copies_less_when_passes_become_short() -> None:
    """A jump from even to three times, with passes of 40 ms and of 160 ms at it.

    The first group's streams are on time with a rank a fifth over the mean.
    """
    short, long = plan_after_ten_passes(15, 0.04), plan_after_ten_passes(15, 0.16)

    assert short is not None
    assert long is not None
    assert short.copies < long.copies
    assert long.skew_after <= short.skew_after < 1.35


def test_balanced_ranks_get_no_plan() -> None:
    assert plan_after_ten_passes(5, 0.1) is None


def test_a_small_gain_is_planned_only_when_passes_are_long() -> None:
    """Steady load with a skew of 1.2; a copy has its price and slows passes.

    At 40 ms a pass every stream is within its pauses of 120 ms, so nobody would be
    served better; at 100 ms a tenth less keeps streams on time.
    """
    taken = plan_after_ten_passes(6, 0.1)

    assert plan_after_ten_passes(6, 0.04) is None
    assert taken is not None
    assert 0.05 < taken.skew_before - taken.skew_after < 0.2


def test_a_stale_armed_report_does_not_block_planning() -> None:
    """Its last word is that the rank is armed for version 4, now long in force."""
    balancer = Balancer(SHAPE)
    balancer.plan_change(make_group_state(1), INITIAL_MAP, [], 0.0)
    states = {
        rank: msgspec.structs.replace(state, version=4)
        for rank, state in make_group_state(11).states_by_rank.items()
    }
    states[5] = msgspec.structs.replace(states[5], version=3, armed=4)
    assert (
        balancer.plan_change(
            GroupState(1, RANK_COUNT, states), INITIAL_MAP, make_replies(15), 1.0
        )
        is not None
    )

    states[5] = msgspec.structs.replace(states[5], armed=5)
    assert (
        balancer.plan_change(
            GroupState(1, RANK_COUNT, states), INITIAL_MAP, make_replies(5), 2.0
        )
        is None
    )
    assert (
        balancer.plan_change(
            GroupState(1, RANK_COUNT, states), INITIAL_MAP, make_replies(25), 3.0
        )
        is None
    )
