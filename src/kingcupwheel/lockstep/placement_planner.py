"""Plans the next expert map of a group: few copies, the slowest ranks first.

Load: all ranks run each pass together, and layer by layer the most loaded rank sets
its length. Harm prevented: with experts dealt out in turn the slowest rank has three to
four times the mean, passes take as much longer, and callers wait in the engines'
queues. Copies take time on the rank that copies, so a round is bounded by its busiest
copier, and the next round follows as soon as it is in force.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence


# How long a rank may copy in a round, in seconds, over all layers. Where a copy takes
# 0.11 s, three rounds of three are in force as soon as one of nine, the first after a
# third. Where it takes 0.016 s a round's other steps take longer than its copies.
ROUND_COPY_BUDGET_S = 0.34

# A layer whose slowest rank is within this part over the mean is left alone, and that
# much more where passes are short anyhow (see ``balancing``).
SKEW_TOLERANCE = 0.04

# A change must take this part of the mean off a layer's slowest rank.
MIN_CHANGE_GAIN = 0.01

# Coolest ranks that are tried as the other side of a change.
_COOL_RANKS = 6
# Changes of one layer in one round, at least and for each rank; it bounds the time of a
# plan. With 16 for 72 ranks a round from a skew of 2.8 ended at 1.35, with 36 at 1.26.
_LAYER_CHANGES = 16
_LAYER_CHANGES_A_RANK = 0.5

Placement = tuple[tuple[int, ...], ...]


class PlanLimits(NamedTuple):
    """What a map and a change may have: places a rank, new experts a rank and layer."""

    slots_per_rank: int
    new_experts_per_layer: int
    copies_per_rank: int


def plan_limits(places: int, spare: int, copy_s: float) -> PlanLimits:
    """Return the bounds of a round; ``copy_s`` is how long one copy takes."""
    return PlanLimits(
        places, spare, max(1, int(ROUND_COPY_BUDGET_S / copy_s) if copy_s else spare)
    )


class PlacementPlan(NamedTuple):
    """A map to change to; skews are of the slowest ranks over the mean, all layers."""

    layers: tuple[Placement, ...]
    copies: int
    skew_before: float
    skew_after: float


class _Change(NamedTuple):
    slowest: float
    expert: int
    to: int
    evicted: int | None
    moves: bool


def plan_placement(
    layers: Sequence[Placement],
    shares: Sequence[Sequence[float]],
    bounds: PlanLimits,
    paces: Sequence[float] = (),
    *,
    enough: Callable[[float], float] = lambda _: SKEW_TOLERANCE,
) -> PlacementPlan | None:
    """Return the next map towards even ranks, or None if no change is worth it.

    ``paces`` are how many times its usual time each rank takes; a slow one is relieved
    until its part of a pass takes as long as the others'. ``enough`` returns, for the
    skew as it is, the part over the mean at which a layer is left alone.
    """
    ranks = len(layers[0])
    copies_left = [bounds.copies_per_rank] * ranks
    editors = [
        _Layer(placement, load, bounds, copies_left, paces or (1.0,) * ranks)
        for placement, load in zip(layers, shares, strict=True)
    ]
    before = sum(editor.slowest for editor in editors)
    mean = sum(editor.mean for editor in editors)
    open_editors = list(editors)
    good_enough = enough(before / mean)
    while open_editors:
        worst = max(open_editors, key=lambda editor: editor.slowest - editor.mean)
        if not worst.improve(good_enough):
            open_editors.remove(worst)
    copies = sum(editor.copies for editor in editors)
    if not copies:
        return None
    after = sum(editor.slowest for editor in editors)
    found = tuple(editor.placement for editor in editors)
    return PlacementPlan(found, copies, before / mean, after / mean)


class _Layer:
    """One layer's placement while it is changed; loads are times, paces included."""

    def __init__(
        self,
        placement: Placement,
        load: Sequence[float],
        bounds: PlanLimits,
        copies_left: list[int],
        paces: Sequence[float],
    ) -> None:
        self._paces = paces
        self._load = load
        self._places = bounds.slots_per_rank
        self._held = [set(experts) for experts in placement]
        self._first = [frozenset(experts) for experts in placement]
        self._spare = [bounds.new_experts_per_layer] * len(placement)
        self._copies_left = copies_left
        self._holders: list[set[int]] = [set() for _ in load]
        for rank, experts in enumerate(placement):
            for expert in experts:
                self._holders[expert].add(rank)
        self._loads = [self._time(rank) for rank in range(len(placement))]
        self.mean = sum(load) / len(self._loads) or 1.0
        self.copies = 0
        self._changes_left = max(
            _LAYER_CHANGES, int(_LAYER_CHANGES_A_RANK * len(placement))
        )

    @property
    def slowest(self) -> float:
        """The load of the most loaded rank."""
        return max(self._loads)

    @property
    def placement(self) -> Placement:
        """The layer as it stands."""
        return tuple(tuple(sorted(held)) for held in self._held)

    def improve(self, good_enough: float) -> bool:
        """Make the change that relieves the slowest rank most; tell if there is one."""
        order = sorted(range(len(self._loads)), key=self._loads.__getitem__)
        hot = order[-1]
        enough = self._loads[hot] <= self.mean * (1 + good_enough)
        if enough or not self._changes_left:
            return False
        limit = self._loads[hot] - MIN_CHANGE_GAIN * self.mean
        best: _Change | None = None
        for cool in order[:_COOL_RANKS]:
            for change in self._options(hot, cool, limit):
                if change.slowest < limit:
                    best = change
                    limit = change.slowest
        if best is None:
            return False
        self._make(hot, best)
        return True

    def _options(self, hot: int, cool: int, limit: float) -> list[_Change]:
        """Return the changes that give ``cool`` an expert of ``hot``.

        Those whose two ranks alone show that they leave one above ``limit`` are left
        out: they are nine in ten, and weighing them took most of a plan's time.
        """
        found: list[_Change] = []
        held = self._held[cool]
        has_place = len(held) < self._places
        most_off = (self._loads[hot] - limit) / self._paces[hot]
        for expert in self._held[hot]:
            share = self._load[expert] / len(self._holders[expert])
            if share <= most_off or expert in held or not self._may_copy(cool, expert):
                continue
            if has_place:
                found.append(self._weigh(hot, cool, expert, None))
                found.append(self._weigh_move(hot, cool, expert))
            for other in held:
                if len(self._holders[other]) > 1:
                    found.append(self._weigh(hot, cool, expert, other))
                elif other not in self._held[hot] and self._may_copy(hot, other):
                    found.append(self._weigh_swap(hot, cool, expert, other))
        return found

    def _may_copy(self, rank: int, expert: int) -> bool:
        # Weights that the rank has now are there already.
        if expert in self._first[rank]:
            return True
        return self._spare[rank] > 0 and self._copies_left[rank] > 0

    def _weigh(self, hot: int, cool: int, expert: int, evicted: int | None) -> _Change:
        """Weigh one more replica of ``expert`` on ``cool``."""
        count = len(self._holders[expert])
        share = self._load[expert] / count
        smaller = self._load[expert] / (count + 1)
        hot_after = self._loads[hot] - (share - smaller) * self._paces[hot]
        cool_after = self._loads[cool] + smaller * self._paces[cool]
        most = hot_after
        if evicted is not None:
            count = len(self._holders[evicted])
            cool_after -= self._load[evicted] / count * self._paces[cool]
            more = self._load[evicted] * (1 / (count - 1) - 1 / count)
            for rank in self._holders[evicted]:
                if rank == hot:
                    most = max(most, hot_after + more * self._paces[hot])
                elif rank != cool:
                    most = max(most, self._loads[rank] + more * self._paces[rank])
        return _Change(max(most, cool_after), expert, cool, evicted, moves=False)

    def _weigh_move(self, hot: int, cool: int, expert: int) -> _Change:
        """Weigh that ``cool`` takes ``expert`` over; a slow rank may hold none."""
        share = self._load[expert] / len(self._holders[expert])
        slowest = max(
            self._loads[hot] - share * self._paces[hot],
            self._loads[cool] + share * self._paces[cool],
        )
        return _Change(slowest, expert, cool, None, moves=True)

    def _weigh_swap(self, hot: int, cool: int, expert: int, other: int) -> _Change:
        """Weigh an exchange of ``expert`` for ``other``."""
        given = self._load[expert] / len(self._holders[expert])
        taken = self._load[other]
        slowest = max(
            self._loads[hot] + (taken - given) * self._paces[hot],
            self._loads[cool] + (given - taken) * self._paces[cool],
        )
        return _Change(slowest, expert, cool, other, moves=True)

    def _make(self, hot: int, change: _Change) -> None:
        self._changes_left -= 1
        touched = {hot, change.to} | self._holders[change.expert]
        if change.evicted is not None:
            touched |= self._holders[change.evicted]
            self._drop(change.to, change.evicted)
        self._gain(change.to, change.expert)
        if change.moves:
            self._drop(hot, change.expert)
            if change.evicted is not None:
                self._gain(hot, change.evicted)
        for rank in touched:
            self._loads[rank] = self._time(rank)

    def _drop(self, rank: int, expert: int) -> None:
        self._held[rank].discard(expert)
        self._holders[expert].discard(rank)
        if expert not in self._first[rank]:
            self._spare[rank] += 1
            self._copies_left[rank] += 1
            self.copies -= 1

    def _gain(self, rank: int, expert: int) -> None:
        self._held[rank].add(expert)
        self._holders[expert].add(rank)
        if expert not in self._first[rank]:
            self._spare[rank] -= 1
            self._copies_left[rank] -= 1
            self.copies += 1

    def _time(self, rank: int) -> float:
        return self._paces[rank] * sum(
            self._load[expert] / len(self._holders[expert])
            for expert in self._held[rank]
        )


def round_robin_placement(
    ranks: int, layers: int, experts: int
) -> tuple[Placement, ...]:
    """Return the map that a group forms with: experts dealt out in turn."""
    layer = tuple(tuple(range(rank, experts, ranks)) for rank in range(ranks))
    return (layer,) * layers
