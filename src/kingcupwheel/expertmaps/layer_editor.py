"""Editor that changes the placement of one layer of an expert map."""

from __future__ import annotations

import math
from collections import defaultdict
from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Iterator

    from kingcupwheel.expertmaps.maps import LayerLoad
    from kingcupwheel.expertmaps.maps import LayerPlacement


class RankEdit(NamedTuple):
    """Replicas removed from and added to one rank; ``added`` loads its weights."""

    rank: int
    removed: int | None
    added: int | None


class LayerChange(NamedTuple):
    """Edits that are applied together."""

    edits: tuple[RankEdit, ...]

    @property
    def move_count(self) -> int:
        """Number of expert weights to load."""
        return sum(edit.added is not None for edit in self.edits)


# Upper bound of the sharpness times the mean rank load. Without deviation, the smooth
# maximum exceeds the true one by at most log(ranks) / 100 of the mean rank load.
_MAX_SHARPNESS = 100.0


# A difference below this ratio to its minuend counts as a rounding error.
_MIN_REMAINDER_RATIO = 1e-6
# Marks a rank on which no slot can be removed.
_NO_SLOT = -1


class RankLoadDelta(NamedTuple):
    """Change of a rank's load and of the sum of squares of its replicas' loads."""

    load: float = 0.0
    squares: float = 0.0


class LayerEditor:
    """Applies changes to a layer within the slots of each rank; tracks rank loads.

    The slowest rank differs from step to step, because the experts' loads vary. So all
    ranks count, not only the one with the highest mean load: the expected maximum of
    normal loads with means m and deviations d is at most
    log(sum(exp(b * m + (b * d) ** 2 / 2))) / b for any b > 0, where b is the sharpness.
    Replicas lower d, because the halves of a popular expert on two ranks seldom peak
    together with the other experts there. ``relative_std`` is the relative standard
    deviation of one expert's load.
    """

    def __init__(
        self,
        layer: LayerPlacement,
        expert_loads: LayerLoad,
        *,
        slots: int,
        relative_std: float,
    ) -> None:
        self._slots = slots
        self._expert_loads = expert_loads
        self._experts_by_rank = [set(experts) for experts in layer]
        self._ranks_by_expert: list[set[int]] = [set() for _ in expert_loads]
        for rank, experts in enumerate(layer):
            for expert in experts:
                self._ranks_by_expert[expert].add(rank)
        self._rank_loads = [
            sum(self._replica_load(expert) for expert in experts) for experts in layer
        ]
        self._rank_squares = [
            sum(self._replica_load(expert) ** 2 for expert in experts)
            for experts in layer
        ]
        self._relative_std = relative_std
        self._mean_load = sum(expert_loads) / len(layer) or 1.0
        self._sharpness = self._compute_sharpness()
        self._terms = [
            self._term(*sums)
            for sums in zip(self._rank_loads, self._rank_squares, strict=True)
        ]
        self._total = sum(self._terms)

    @property
    def placement(self) -> LayerPlacement:
        """Current placement of the layer."""
        return tuple(tuple(sorted(experts)) for experts in self._experts_by_rank)

    @property
    def rank_loads(self) -> tuple[float, ...]:
        """Mean load of each rank."""
        return tuple(self._rank_loads)

    @property
    def max_load_bound(self) -> float:
        """Upper bound of the expected maximum rank load."""
        return self._compute_bound(self._total)

    def ranks_by_load(self) -> list[int]:
        """Return the ranks, most loaded first."""
        return sorted(
            range(len(self._terms)), key=self._terms.__getitem__, reverse=True
        )

    def candidate_changes(self, hot: int, cool: int) -> Iterator[LayerChange]:
        """Yield changes that may move load from rank ``hot`` to rank ``cool``."""
        yield from self._shift_changes(hot, cool)
        yield from self._swap_changes(hot, cool)

    def _shift_changes(self, hot: int, cool: int) -> Iterator[LayerChange]:
        """Yield changes that add an expert of ``hot`` to ``cool`` or move it there."""
        slots = list(self._freeable_slots(cool))
        for expert in sorted(self._experts_by_rank[hot] - self._experts_by_rank[cool]):
            for removed in slots:
                cool_edit = RankEdit(cool, removed, expert)
                yield LayerChange((cool_edit,))
                yield LayerChange((RankEdit(hot, expert, None), cool_edit))

    def _swap_changes(self, hot: int, cool: int) -> Iterator[LayerChange]:
        """Yield changes that exchange an expert for one of lower load.

        If ``hot`` can free another slot, it may also keep a replica of the expert. This
        splits a popular expert between two full ranks.
        """
        spare_expert = next(self._freeable_slots(hot), _NO_SLOT)
        for expert in sorted(self._experts_by_rank[hot] - self._experts_by_rank[cool]):
            for other in sorted(
                self._experts_by_rank[cool] - self._experts_by_rank[hot]
            ):
                if self._expert_loads[other] >= self._expert_loads[expert]:
                    continue
                cool_edit = RankEdit(cool, other, expert)
                yield LayerChange((RankEdit(hot, expert, other), cool_edit))
                if spare_expert != _NO_SLOT and spare_expert != expert:
                    yield LayerChange((RankEdit(hot, spare_expert, other), cool_edit))

    def max_load_bound_after(self, change: LayerChange) -> float:
        """Return ``max_load_bound`` as it would be after ``change``."""
        deltas = self._compute_deltas(change)
        before = sum(self._terms[rank] for rank in deltas)
        after = sum(self._term_after(rank, delta) for rank, delta in deltas.items())
        others = self._total - before
        if others < self._total * _MIN_REMAINDER_RATIO:
            # The changed ranks are nearly the whole total: avoids rounding errors.
            terms = enumerate(self._terms)
            others = sum(term for rank, term in terms if rank not in deltas)
        return self._compute_bound(others + after)

    def apply(self, change: LayerChange) -> None:
        """Apply ``change`` to the layer."""
        for rank, delta in self._compute_deltas(change).items():
            self._terms[rank] = self._term_after(rank, delta)
            self._rank_loads[rank] += delta.load
            self._rank_squares[rank] += delta.squares
        self._total = sum(self._terms)
        for edit in change.edits:
            if edit.removed is not None:
                self._experts_by_rank[edit.rank].discard(edit.removed)
                self._ranks_by_expert[edit.removed].discard(edit.rank)
            if edit.added is not None:
                self._experts_by_rank[edit.rank].add(edit.added)
                self._ranks_by_expert[edit.added].add(edit.rank)

    def _replica_load(self, expert: int) -> float:
        return self._expert_loads[expert] / len(self._ranks_by_expert[expert])

    def _compute_sharpness(self) -> float:
        """Return the sharpness that makes the bound tight for equally loaded ranks."""
        ranks = len(self._rank_loads)
        deviation = self._relative_std * math.sqrt(sum(self._rank_squares) / ranks)
        max_sharpness = _MAX_SHARPNESS / self._mean_load
        if deviation * max_sharpness <= math.sqrt(2 * math.log(ranks)):
            return max_sharpness
        return math.sqrt(2 * math.log(ranks)) / deviation

    def _term(self, load: float, squares: float) -> float:
        deviation = self._sharpness * self._relative_std
        above = self._sharpness * (load - self._mean_load)
        # The cap prevents an overflow for a rank of many times the mean load. It is far
        # above the other terms, so that rank is still relieved first.
        return math.exp(min(above + deviation * deviation * squares / 2, 600.0))

    def _term_after(self, rank: int, delta: RankLoadDelta) -> float:
        squares = max(0.0, self._rank_squares[rank] + delta.squares)
        return self._term(self._rank_loads[rank] + delta.load, squares)

    def _compute_bound(self, total: float) -> float:
        return self._mean_load + math.log(total) / self._sharpness

    def _freeable_slots(self, rank: int) -> Iterator[int | None]:
        """Yield experts to remove for a slot on ``rank``, None if a slot is free."""
        if len(self._experts_by_rank[rank]) < self._slots:
            yield None
            return
        for expert in sorted(self._experts_by_rank[rank]):
            if len(self._ranks_by_expert[expert]) > 1:
                yield expert

    def _compute_deltas(self, change: LayerChange) -> dict[int, RankLoadDelta]:
        after_by_expert: dict[int, set[int]] = {}
        for edit in change.edits:
            if edit.removed is not None:
                self._ranks_after(after_by_expert, edit.removed).discard(edit.rank)
            if edit.added is not None:
                self._ranks_after(after_by_expert, edit.added).add(edit.rank)
        load: dict[int, float] = defaultdict(float)
        squares: dict[int, float] = defaultdict(float)
        for expert, after in after_by_expert.items():
            replica_load = self._replica_load(expert)
            for rank in self._ranks_by_expert[expert]:
                load[rank] -= replica_load
                squares[rank] -= replica_load * replica_load
            replica_load = self._expert_loads[expert] / len(after)
            for rank in after:
                load[rank] += replica_load
                squares[rank] += replica_load * replica_load
        return {rank: RankLoadDelta(load[rank], squares[rank]) for rank in load}

    def _ranks_after(
        self, after_by_expert: dict[int, set[int]], expert: int
    ) -> set[int]:
        if expert not in after_by_expert:
            after_by_expert[expert] = set(self._ranks_by_expert[expert])
        return after_by_expert[expert]
