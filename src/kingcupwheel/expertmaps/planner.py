"""Plans a new expert map of few moves from the experts' decayed load.

Load: expert popularity drifts with the season or jumps with a fleet-wide inspection,
and all ranks advance in lock-step. Harm: one overloaded rank slows every step of the
group; but each expert moved loads weights from a rate-limited store, and moving back
and forth with noise costs that for nothing. So a change is made only where its gain
outweighs its cost for the group's own weighting.
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

# How many periods a move is expected to pay off for. Longer moves more for the same
# skew, shorter waits longer while a rank is slow.
_PAYBACK_PERIODS = 4.0
# A plan has to gain this many times its cost. Below 1 noise in the loads makes the plan
# of one period undo that of the one before.
_HYSTERESIS = 2.0
# Changes looked at for one layer in one plan. It bounds the planner's time; what is
# left over is planned a period later.
_MAX_CHANGES_PER_LAYER = 8
# Layers changed in one plan, the most uneven first. A plan of all 60 layers of a large
# model would take its agent more processor time than control may have.
_MAX_LAYERS_PER_PLAN = 16
# Ranks that may take load from the hottest one. The coolest few hold a good partner
# nearly always, and looking at all of 32 takes four times as long.
_MAX_COOL_RANKS = 4
# Hottest ranks that are tried in turn until one can be relieved.
_MAX_HOT_RANKS = 2


class PlanWeights(NamedTuple):
    """How a group weighs skew against moves.

    ``move_cost`` is what moving every place of the map once would cost; ``skew_weight``
    what one period at a skew of 2 instead of 1 costs.
    """

    skew_weight: float
    move_cost: float
    payback_periods: float = _PAYBACK_PERIODS
    hysteresis: float = _HYSTERESIS


class MapPlan(NamedTuple):
    """A map to propose, the moves it takes and the skew predicted without and with."""

    map: ExpertMap
    move_count: int
    skew_before: float
    skew_after: float


def plan_map(
    current_map: ExpertMap, estimate: LoadEstimate, weights: PlanWeights
) -> MapPlan | None:
    """Return a better map than ``current`` for the load expected, or None to stay."""
    load = estimate.load
    if load is None:
        return None
    places = sum(len(held) for layer in current_map.layers for held in layer)
    cost = weights.move_cost * weights.hysteresis / places
    even = sum(sum(layer) for layer in load) / current_map.rank_count
    gain = weights.skew_weight * weights.payback_periods / even
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
    wanted = ExpertMap(
        current_map.expert_count, current_map.slots_per_rank, tuple(layers)
    )
    moves = current_map.count_moves_to(wanted)
    if not moves:
        return None
    return MapPlan(wanted, moves, map_skew(current_map, load), map_skew(wanted, load))


def _plan_layer(editor: LayerEditor, *, gain: float, cost: float) -> LayerPlacement:
    """Return the layer after the run of changes that is worth most.

    ``gain`` is the worth of one unit less load on the slowest rank, ``cost`` that of
    one move. A single change often only shifts which rank is slowest, so a whole run is
    tried and cut where its worth was highest.
    """
    before = editor.max_load_bound
    best = editor.placement
    most = 0.0
    moves = 0
    for _ in range(_MAX_CHANGES_PER_LAYER):
        change = _best_change(editor)
        if change is None:
            break
        editor.apply(change)
        moves += change.move_count
        worth = gain * (before - editor.max_load_bound) - cost * moves
        if worth > most:
            best = editor.placement
            most = worth
    return best


def _best_change(editor: LayerEditor) -> LayerChange | None:
    """Return the change that takes most off the slowest rank's load for each move."""
    order = editor.ranks_by_load()
    slowest = editor.max_load_bound
    cool_ranks = order[-_MAX_COOL_RANKS:]
    for hot in order[:_MAX_HOT_RANKS]:
        best: LayerChange | None = None
        most = 0.0
        for cool in cool_ranks:
            for change in editor.candidate_changes(hot, cool) if cool != hot else ():
                relief = (
                    slowest - editor.max_load_bound_after(change)
                ) / change.move_count
                if relief > most:
                    best = change
                    most = relief
        if best is not None:
            return best
    return None
