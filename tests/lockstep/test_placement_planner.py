from __future__ import annotations

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from kingcupwheel.lockstep.placement_planner import PlacementPlan
from kingcupwheel.lockstep.placement_planner import PlanLimits
from kingcupwheel.lockstep.placement_planner import plan_placement
from kingcupwheel.lockstep.placement_planner import round_robin_placement


RANK_COUNT = 16
EXPERT_COUNT = 64
LAYER_COUNT = 4
LIMITS = PlanLimits(slots_per_rank=5, new_experts_per_layer=2, copies_per_rank=3)


def make_skewed_shares(seed: int) -> list[list[float]]:
    """Return skewed shares as in production: the slowest rank has over 3 times."""
    draw = random.Random(seed)
    layers = []
    for _ in range(LAYER_COUNT):
        weights = [draw.paretovariate(1.1) for _ in range(EXPERT_COUNT)]
        layers.append([weight / sum(weights) for weight in weights])
    return layers


@given(seed=st.integers(0, 10_000))
@settings(max_examples=25, deadline=None)
def test_a_plan_respects_all_limits(seed: int) -> None:
    """A rank refuses a map with missing, too many or too many new experts."""
    first = round_robin_placement(RANK_COUNT, LAYER_COUNT, EXPERT_COUNT)
    found = plan_placement(first, make_skewed_shares(seed), LIMITS)

    assert isinstance(found, PlacementPlan)
    copied = [0] * RANK_COUNT
    for before, after in zip(first, found.layers, strict=True):
        assert {expert for held in after for expert in held} == set(range(EXPERT_COUNT))
        for rank, (old, new) in enumerate(zip(before, after, strict=True)):
            added = len(set(new) - set(old))
            copied[rank] += added
            assert len(new) <= LIMITS.slots_per_rank
            assert added <= LIMITS.new_experts_per_layer
    assert max(copied) <= LIMITS.copies_per_rank
    assert sum(copied) == found.copies


def test_two_rounds_nearly_balance_skewed_layers() -> None:
    """The demand jumps to other experts; each round is active within 0.4 s."""
    shares = make_skewed_shares(3)
    layers = round_robin_placement(RANK_COUNT, LAYER_COUNT, EXPERT_COUNT)
    skews = []
    for _ in range(2):
        found = plan_placement(layers, shares, LIMITS)
        assert found is not None
        skews += [found.skew_before, found.skew_after]
        layers = found.layers

    assert skews[0] > 3.0
    assert skews[1] < 1.3
    assert skews[3] < 1.25


def test_balanced_ranks_get_no_plan() -> None:
    even = [[1 / EXPERT_COUNT] * EXPERT_COUNT] * LAYER_COUNT

    assert (
        plan_placement(
            round_robin_placement(RANK_COUNT, LAYER_COUNT, EXPERT_COUNT), even, LIMITS
        )
        is None
    )


def test_experts_move_away_from_a_slow_rank() -> None:
    """One rank takes five times as long, and every pass waits for it."""
    even = [[1 / EXPERT_COUNT] * EXPERT_COUNT] * LAYER_COUNT
    paces = [5.0] + [1.0] * (RANK_COUNT - 1)
    layers = round_robin_placement(RANK_COUNT, LAYER_COUNT, EXPERT_COUNT)

    found = plan_placement(layers, even, LIMITS, paces)

    assert found is not None
    assert found.skew_after < found.skew_before / 1.3


def test_a_very_slow_rank_is_unloaded_within_three_rounds() -> None:
    """Every pass waits for it; its experts move to free slots of other ranks."""
    even = [[1 / EXPERT_COUNT] * EXPERT_COUNT] * LAYER_COUNT
    paces = [12.0] + [1.0] * (RANK_COUNT - 1)
    layers = round_robin_placement(RANK_COUNT, LAYER_COUNT, EXPERT_COUNT)
    skew = 0.0
    for _ in range(3):
        found = plan_placement(layers, even, LIMITS, paces)
        if found is not None:
            layers, skew = found.layers, found.skew_after

    assert 1.0 <= skew < 1.5
