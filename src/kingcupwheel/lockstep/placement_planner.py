"""Plans the next expert map of a group with few copies, slowest ranks first.

All ranks run each pass together, and in each layer the most loaded rank determines the
duration. With a round-robin placement the slowest rank has three to four times the mean
load, passes take as much longer, and requests wait in the engines' queues. Copying
takes time on the receiving rank, so a round is limited by the copies of its busiest
rank, and the next round follows as soon as the map is active.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence


# Time that a rank may spend on copies in a round, over all layers. If a copy takes
# 0.11 s, three rounds of three copies take as long as one of nine, and the first is
# active after a third of that. If it takes 0.016 s, the other steps of a round take
# longer than its copies.
ROUND_COPY_BUDGET_S = 0.34

# A layer whose slowest rank is within this ratio over the mean is not changed. The
# balancer uses a higher tolerance where passes are short.
SKEW_TOLERANCE = 0.04

# A change must reduce the load of a layer's slowest rank by this part of the mean.
MIN_CHANGE_GAIN = 0.01

# Least loaded ranks that are tried as the target of a change.
_MAX_TARGET_RANKS = 6
# Limit of the changes of a layer in a round: the larger of a fixed number and one per
# rank. It bounds the planning time. For 72 ranks and a skew of 2.8 a round reaches 1.35
# with 16 changes and 1.26 with 36.
_MIN_LAYER_CHANGE_LIMIT = 16
_LAYER_CHANGES_PER_RANK = 0.5

Placement = tuple[tuple[int, ...], ...]


class PlanLimits(NamedTuple):
    """Limits of a plan: slots per rank and layer, new experts per rank and layer.

    ``copies_per_rank`` limits the copies of a rank over all layers in one round.
    """

    slots_per_rank: int
    new_experts_per_layer: int
    copies_per_rank: int


def plan_limits(
    slots_per_rank: int, new_experts_per_layer: int, copy_s: float
) -> PlanLimits:
    """Return the limits of a round; ``copy_s`` is the duration of one copy."""
    return PlanLimits(
        slots_per_rank,
        new_experts_per_layer,
        max(1, int(ROUND_COPY_BUDGET_S / copy_s) if copy_s else new_experts_per_layer),
    )


class PlacementPlan(NamedTuple):
    """A new map, its copies, and the skew before and after it.

    The skew is the load of the slowest ranks over the mean, summed over all layers.
    """

    layers: tuple[Placement, ...]
    copies: int
    skew_before: float
    skew_after: float


class _PlacementChange(NamedTuple):
    max_load: float
    expert: int
    target_rank: int
    evicted_expert: int | None
    is_move: bool


def plan_placement(
    layers: Sequence[Placement],
    shares: Sequence[Sequence[float]],
    limits: PlanLimits,
    paces: Sequence[float] = (),
    *,
    skew_tolerance: Callable[[float], float] = lambda _: SKEW_TOLERANCE,
) -> PlacementPlan | None:
    """Return the next map towards balanced ranks, or None if no change is sufficient.

    ``paces`` are the ranks' pass times relative to the usual time; experts move away
    from a slow rank until its part of a pass takes as long as that of the others.
    ``skew_tolerance`` returns, for the present skew, the ratio over the mean up to
    which a layer is not changed.
    """
    ranks = len(layers[0])
    copies_left = [limits.copies_per_rank] * ranks
    editors = [
        _LayerEditor(placement, load, limits, copies_left, paces or (1.0,) * ranks)
        for placement, load in zip(layers, shares, strict=True)
    ]
    max_load_before = sum(editor.max_load for editor in editors)
    mean_load = sum(editor.mean_load for editor in editors)
    open_editors = list(editors)
    tolerance = skew_tolerance(max_load_before / mean_load)
    while open_editors:
        worst = max(open_editors, key=lambda editor: editor.max_load - editor.mean_load)
        if not worst.improve(tolerance):
            open_editors.remove(worst)
    copies = sum(editor.copies for editor in editors)
    if not copies:
        return None
    max_load_after = sum(editor.max_load for editor in editors)
    placements = tuple(editor.placement for editor in editors)
    return PlacementPlan(
        placements, copies, max_load_before / mean_load, max_load_after / mean_load
    )


class _LayerEditor:
    """Edits the placement of one layer; loads are times, including the paces."""

    def __init__(
        self,
        placement: Placement,
        load: Sequence[float],
        limits: PlanLimits,
        copies_left: list[int],
        paces: Sequence[float],
    ) -> None:
        self._pace_by_rank = paces
        self._load_by_expert = load
        self._slots_per_rank = limits.slots_per_rank
        self._experts_by_rank = [set(experts) for experts in placement]
        self._initial_experts_by_rank = [frozenset(experts) for experts in placement]
        self._new_left_by_rank = [limits.new_experts_per_layer] * len(placement)
        self._copies_left_by_rank = copies_left
        self._ranks_by_expert: list[set[int]] = [set() for _ in load]
        for rank, experts in enumerate(placement):
            for expert in experts:
                self._ranks_by_expert[expert].add(rank)
        self._load_by_rank = [
            self._compute_rank_load(rank) for rank in range(len(placement))
        ]
        self.mean_load = sum(load) / len(self._load_by_rank) or 1.0
        self.copies = 0
        self._changes_left = max(
            _MIN_LAYER_CHANGE_LIMIT, int(_LAYER_CHANGES_PER_RANK * len(placement))
        )

    @property
    def max_load(self) -> float:
        """The load of the most loaded rank."""
        return max(self._load_by_rank)

    @property
    def placement(self) -> Placement:
        """The placement with all changes so far."""
        return tuple(tuple(sorted(held)) for held in self._experts_by_rank)

    def improve(self, skew_tolerance: float) -> bool:
        """Apply the best change for the slowest rank; return whether one exists."""
        order = sorted(
            range(len(self._load_by_rank)), key=self._load_by_rank.__getitem__
        )
        source = order[-1]
        is_balanced = self._load_by_rank[source] <= self.mean_load * (
            1 + skew_tolerance
        )
        if is_balanced or not self._changes_left:
            return False
        limit = self._load_by_rank[source] - MIN_CHANGE_GAIN * self.mean_load
        best: _PlacementChange | None = None
        for target in order[:_MAX_TARGET_RANKS]:
            for change in self._candidate_changes(source, target, limit):
                if change.max_load < limit:
                    best = change
                    limit = change.max_load
        if best is None:
            return False
        self._apply(source, best)
        return True

    def _candidate_changes(
        self, source: int, target: int, limit: float
    ) -> list[_PlacementChange]:
        """Return the changes that give ``target`` an expert of ``source``.

        Skips changes that leave one of these two ranks above ``limit``: they are nine
        in ten, and evaluating them would take most of the planning time.
        """
        found: list[_PlacementChange] = []
        held = self._experts_by_rank[target]
        has_free_slot = len(held) < self._slots_per_rank
        load_reduction = (self._load_by_rank[source] - limit) / self._pace_by_rank[
            source
        ]
        for expert in self._experts_by_rank[source]:
            share = self._load_by_expert[expert] / len(self._ranks_by_expert[expert])
            if (
                share <= load_reduction
                or expert in held
                or not self._can_copy(target, expert)
            ):
                continue
            if has_free_slot:
                found.append(self._evaluate_replica(source, target, expert, None))
                found.append(self._evaluate_move(source, target, expert))
            for other in held:
                if len(self._ranks_by_expert[other]) > 1:
                    found.append(self._evaluate_replica(source, target, expert, other))
                elif other not in self._experts_by_rank[source] and self._can_copy(
                    source, other
                ):
                    found.append(self._evaluate_swap(source, target, expert, other))
        return found

    def _can_copy(self, rank: int, expert: int) -> bool:
        # The rank still has the weights of its initial experts.
        if expert in self._initial_experts_by_rank[rank]:
            return True
        return self._new_left_by_rank[rank] > 0 and self._copies_left_by_rank[rank] > 0

    def _evaluate_replica(
        self, source: int, target: int, expert: int, evicted: int | None
    ) -> _PlacementChange:
        """Evaluate another replica of ``expert`` on ``target``."""
        count = len(self._ranks_by_expert[expert])
        share = self._load_by_expert[expert] / count
        new_share = self._load_by_expert[expert] / (count + 1)
        source_load = (
            self._load_by_rank[source]
            - (share - new_share) * self._pace_by_rank[source]
        )
        target_load = (
            self._load_by_rank[target] + new_share * self._pace_by_rank[target]
        )
        max_load = source_load
        if evicted is not None:
            count = len(self._ranks_by_expert[evicted])
            target_load -= (
                self._load_by_expert[evicted] / count * self._pace_by_rank[target]
            )
            added_load = self._load_by_expert[evicted] * (1 / (count - 1) - 1 / count)
            for rank in self._ranks_by_expert[evicted]:
                if rank == source:
                    max_load = max(
                        max_load, source_load + added_load * self._pace_by_rank[source]
                    )
                elif rank != target:
                    max_load = max(
                        max_load,
                        self._load_by_rank[rank]
                        + added_load * self._pace_by_rank[rank],
                    )
        return _PlacementChange(
            max(max_load, target_load), expert, target, evicted, is_move=False
        )

    def _evaluate_move(self, source: int, target: int, expert: int) -> _PlacementChange:
        """Evaluate a move of ``expert`` to ``target``, which may empty a slow rank."""
        share = self._load_by_expert[expert] / len(self._ranks_by_expert[expert])
        max_load = max(
            self._load_by_rank[source] - share * self._pace_by_rank[source],
            self._load_by_rank[target] + share * self._pace_by_rank[target],
        )
        return _PlacementChange(max_load, expert, target, None, is_move=True)

    def _evaluate_swap(
        self, source: int, target: int, expert: int, other: int
    ) -> _PlacementChange:
        """Evaluate a swap of ``expert`` for ``other``."""
        given_load = self._load_by_expert[expert] / len(self._ranks_by_expert[expert])
        taken_load = self._load_by_expert[other]
        max_load = max(
            self._load_by_rank[source]
            + (taken_load - given_load) * self._pace_by_rank[source],
            self._load_by_rank[target]
            + (given_load - taken_load) * self._pace_by_rank[target],
        )
        return _PlacementChange(max_load, expert, target, other, is_move=True)

    def _apply(self, source: int, change: _PlacementChange) -> None:
        self._changes_left -= 1
        changed_ranks = {source, change.target_rank} | self._ranks_by_expert[
            change.expert
        ]
        if change.evicted_expert is not None:
            changed_ranks |= self._ranks_by_expert[change.evicted_expert]
            self._remove_expert(change.target_rank, change.evicted_expert)
        self._add_expert(change.target_rank, change.expert)
        if change.is_move:
            self._remove_expert(source, change.expert)
            if change.evicted_expert is not None:
                self._add_expert(source, change.evicted_expert)
        for rank in changed_ranks:
            self._load_by_rank[rank] = self._compute_rank_load(rank)

    def _remove_expert(self, rank: int, expert: int) -> None:
        self._experts_by_rank[rank].discard(expert)
        self._ranks_by_expert[expert].discard(rank)
        if expert not in self._initial_experts_by_rank[rank]:
            self._new_left_by_rank[rank] += 1
            self._copies_left_by_rank[rank] += 1
            self.copies -= 1

    def _add_expert(self, rank: int, expert: int) -> None:
        self._experts_by_rank[rank].add(expert)
        self._ranks_by_expert[expert].add(rank)
        if expert not in self._initial_experts_by_rank[rank]:
            self._new_left_by_rank[rank] -= 1
            self._copies_left_by_rank[rank] -= 1
            self.copies += 1

    def _compute_rank_load(self, rank: int) -> float:
        return self._pace_by_rank[rank] * sum(
            self._load_by_expert[expert] / len(self._ranks_by_expert[expert])
            for expert in self._experts_by_rank[rank]
        )


def round_robin_placement(
    ranks: int, layers: int, experts: int
) -> tuple[Placement, ...]:
    """Return the initial map of a group, with experts assigned round robin."""
    layer = tuple(tuple(range(rank, experts, ranks)) for rank in range(ranks))
    return (layer,) * layers
