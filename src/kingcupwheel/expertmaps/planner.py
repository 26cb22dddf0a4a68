"""Planner of expert maps that lower the skew of a group with few moves.

The popularity of experts drifts or jumps, and all ranks advance in lock-step, so one
overloaded rank slows every step of the group. But each move of an expert loads weights
from a rate-limited store, and moves that only follow noise are wasted. So a change is
planned only where its gain exceeds its cost by the group's own weights.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.expertmaps.layer_editor import LayerChange
from kingcupwheel.expertmaps.layer_editor import LayerEditor
from kingcupwheel.expertmaps.maps import ExpertMap
from kingcupwheel.expertmaps.maps import map_skew


if TYPE_CHECKING:
    from kingcupwheel.expertmaps.load_estimate import LoadEstimate
    from kingcupwheel.expertmaps.maps import LayerPlacement

# Number of periods over which a move has to pay off. More periods cause more moves for
# the same skew, fewer leave a rank slow for longer.
_PAYBACK_PERIODS = 4.0
# Minimum ratio of gain to cost. Below 1, noise in the loads makes the plan of one
# period undo that of the previous one.
_HYSTERESIS = 2.0
# Bounds the changes of one layer in one plan, and so the planner's time. Further
# changes are planned in the next period.
_MAX_CHANGES_PER_LAYER = 8
# Bounds the layers changed in one plan, the most skewed first. A plan of all 60 layers
# of a large model would take too much of the agent's processor time.
_MAX_LAYERS_PER_PLAN = 16
# Bounds the least loaded ranks considered as targets of load. A good target is nearly
# always among them; considering all of 32 ranks takes four times as long.
_MAX_COOL_RANKS = 4
# Bounds the most loaded ranks tried in turn until the load of one can be lowered.
_MAX_HOT_RANKS = 2


class PlanWeights(NamedTuple):
    """Weights of skew and moves for a group.

    ``move_cost`` is the cost of replacing the experts in all slots of the map once,
    ``skew_weight`` the cost of one period at a skew of 2 instead of 1.
    """

    skew_weight: float
    move_cost: float
    payback_periods: float = _PAYBACK_PERIODS
    hysteresis: float = _HYSTERESIS


class MapPlan(NamedTuple):
    """Proposed map, its number of moves, and the skew predicted without and with it."""

    map: ExpertMap
    move_count: int
    skew_before: float
    skew_after: float


def plan_map(
    current_map: ExpertMap, estimate: LoadEstimate, weights: PlanWeights
) -> MapPlan | None:
    """Return a plan that improves on ``current_map``, or None to keep that map."""
    load = estimate.load
    if load is None:
        return None
    slot_count = sum(len(held) for layer in current_map.layers for held in layer)
    cost = weights.move_cost * weights.hysteresis / slot_count
    mean_load = sum(sum(layer) for layer in load) / current_map.rank_count
    gain = weights.skew_weight * weights.payback_periods / mean_load
    editors = [
        LayerEditor(
            layer,
            layer_load,
            slots=current_map.slots_per_rank,
            relative_std=estimate.relative_std,
        )
        for layer, layer_load in zip(current_map.layers, load, strict=True)
    ]
    layers = list(current_map.layers)
    uneven = sorted(
        range(len(editors)), key=lambda number: -editors[number].max_load_bound
    )
    for number in uneven[:_MAX_LAYERS_PER_PLAN]:
        layers[number] = _plan_layer(editors[number], gain=gain, cost=cost)
    target_map = ExpertMap(
        current_map.expert_count, current_map.slots_per_rank, tuple(layers)
    )
    moves = current_map.count_moves_to(target_map)
    if not moves:
        return None
    return MapPlan(
        target_map, moves, map_skew(current_map, load), map_skew(target_map, load)
    )


def _plan_layer(editor: LayerEditor, *, gain: float, cost: float) -> LayerPlacement:
    """Return the layer after the sequence of changes with the highest net gain.

    ``gain`` is the value of one unit less load on the slowest rank, ``cost`` that of
    one move. A single change often only makes another rank the slowest, so a whole
    sequence is tried and cut where its net gain was highest.
    """
    before = editor.max_load_bound
    best = editor.placement
    best_gain = 0.0
    moves = 0
    for _ in range(_MAX_CHANGES_PER_LAYER):
        change = _find_best_change(editor)
        if change is None:
            break
        editor.apply(change)
        moves += change.move_count
        net_gain = gain * (before - editor.max_load_bound) - cost * moves
        if net_gain > best_gain:
            best = editor.placement
            best_gain = net_gain
    return best


def _find_best_change(editor: LayerEditor) -> LayerChange | None:
    """Return the change that lowers the maximum load most for each move, if any."""
    order = editor.ranks_by_load()
    bound = editor.max_load_bound
    cool_ranks = order[-_MAX_COOL_RANKS:]
    for hot in order[:_MAX_HOT_RANKS]:
        best: LayerChange | None = None
        best_gain = 0.0
        for cool in cool_ranks:
            for change in editor.candidate_changes(hot, cool) if cool != hot else ():
                gain_per_move = (
                    bound - editor.max_load_bound_after(change)
                ) / change.move_count
                if gain_per_move > best_gain:
                    best = change
                    best_gain = gain_per_move
        if best is not None:
            return best
    return None
