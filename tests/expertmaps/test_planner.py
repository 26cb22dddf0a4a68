from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kingcupwheel.expertmaps.exceptions import InvalidMapError
from kingcupwheel.expertmaps.layer_editor import LayerEditor
from kingcupwheel.expertmaps.load_estimate import LoadEstimate
from kingcupwheel.expertmaps.maps import ExpertMap
from kingcupwheel.expertmaps.maps import build_even_map
from kingcupwheel.expertmaps.maps import map_skew
from kingcupwheel.expertmaps.maps import rank_loads
from kingcupwheel.expertmaps.planner import PlanWeights
from kingcupwheel.expertmaps.planner import plan_map
from kingcupwheel.manifest.schema import ExpertLayout


SKEW_FIRST = PlanWeights(skew_weight=4.0, move_cost=1.0)
COST_FIRST = PlanWeights(skew_weight=1.0, move_cost=4.0)
LAYOUT = ExpertLayout(ranks=4, experts=12, layers=2, slots=4)
LAYER_LOADS = st.lists(
    st.floats(min_value=0, max_value=100), min_size=12, max_size=12
).map(tuple)
LOADS = st.tuples(LAYER_LOADS, LAYER_LOADS)


def build_layer_load(hot: tuple[int, ...], factor: float = 6.0) -> tuple[float, ...]:
    return tuple(factor if expert in hot else 1.0 for expert in range(12))


@given(counted=st.lists(LOADS, min_size=1, max_size=6), cost=st.floats(0, 5))
def test_a_plan_never_exceeds_the_slots_of_a_rank_or_drops_an_expert(
    counted: list[tuple[tuple[float, ...], ...]], cost: float
) -> None:
    current = build_even_map(LAYOUT)
    estimate = LoadEstimate()
    for load in counted:
        estimate = estimate.with_counts(load)
        plan = plan_map(current, estimate, PlanWeights(1.0, cost))
        if plan is not None:
            plan.map.validate()
            assert plan.move_count == current.count_moves_to(plan.map) > 0
            placements = current.diff_placements(plan.map)
            assert current.with_placements(placements) == plan.map
            current = plan.map


@given(load=LAYER_LOADS, picks=st.lists(st.integers(0, 1000), max_size=12))
def test_rank_loads_tracked_through_changes_match_the_placement(
    load: tuple[float, ...], picks: list[int]
) -> None:
    editor = LayerEditor(
        build_even_map(LAYOUT).layers[0], load, slots=4, relative_std=0.0
    )
    for pick in picks:
        order = editor.ranks_by_load()
        changes = list(editor.candidate_changes(order[0], order[-1]))
        if changes:
            editor.apply(changes[pick % len(changes)])
    ExpertMap(12, 4, (editor.placement,)).validate()
    kept = rank_loads(editor.placement, load)
    assert editor.rank_loads == pytest.approx(kept, abs=1e-9)
    assert editor.max_load_bound >= max(kept) * (1 - 1e-9)


def test_skew_after_a_popularity_jump_is_removed_within_a_few_periods() -> None:
    """Guards against a rank that stays slow after its experts became popular."""
    current = build_even_map(LAYOUT)
    estimate = LoadEstimate().with_counts((build_layer_load(()),) * 2)
    hot = build_layer_load((0, 4, 8))
    before = map_skew(current, (hot, hot))

    for _ in range(6):
        estimate = estimate.with_counts((hot, hot))
        plan = plan_map(current, estimate, SKEW_FIRST)
        current = plan.map if plan else current

    assert before > 2
    assert map_skew(current, (hot, hot)) < 1.2


def test_cost_first_moves_less_than_skew_first_and_neither_moves_without_load() -> None:
    estimate = LoadEstimate().with_counts(
        (build_layer_load((0, 4), 3.0), build_layer_load((1, 2), 3.0))
    )
    current = build_even_map(LAYOUT)

    eager = plan_map(current, estimate, SKEW_FIRST)
    frugal = plan_map(current, estimate, COST_FIRST)

    assert eager is not None
    assert (frugal.move_count if frugal else 0) < eager.move_count
    assert eager.skew_after < eager.skew_before
    assert plan_map(current, LoadEstimate(), SKEW_FIRST) is None
    idle = LoadEstimate().with_counts(((0.0,) * 12,) * 2)
    assert plan_map(current, idle, SKEW_FIRST) is None


def test_a_map_with_an_overfull_rank_or_a_missing_expert_is_invalid() -> None:
    with pytest.raises(InvalidMapError, match="rank 0"):
        ExpertMap(3, 2, (((0, 1, 2), ()),)).validate()
    with pytest.raises(InvalidMapError, match="missing"):
        ExpertMap(3, 2, (((0, 1), ()),)).validate()
