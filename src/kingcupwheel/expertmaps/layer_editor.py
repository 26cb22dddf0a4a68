"""One layer of a map being changed, edit by edit."""

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
    """One rank loses and gains a replica; ``gained`` has its weights loaded."""

    rank: int
    removed: int | None
    added: int | None


class LayerChange(NamedTuple):
    """Edits made together, and what they cost in weights loaded."""

    edits: tuple[RankEdit, ...]

    @property
    def move_count(self) -> int:
        """The number of expert weights to load."""
        return sum(edit.added is not None for edit in self.edits)


# Without scatter the smooth maximum is within log(ranks) over this of the true one, in
# even rank loads.
_MAX_SHARPNESS = 100.0


# A difference below this share of its minuend is taken as lost to rounding.
_MIN_REMAINDER_RATIO = 1e-6
# No place can be made on a rank.
_NO_SLOT = -1


class RankLoadDelta(NamedTuple):
    """What a change adds to a rank: load, and squares of its experts' loads."""

    load: float = 0.0
    squares: float = 0.0


class LayerEditor:
    """Keeps a layer's rank loads while replicas move; capacity is never broken.

    Which rank is the slowest changes from step to step with the scatter of the experts'
    loads, so every rank counts, not only the one with the highest mean: the expected
    maximum of normal loads with means m and deviations d is at most
    log(sum(exp(b * m + (b * d) ** 2 / 2))) / b for any b > 0. Replicas lower d: halves
    of a hot expert on two ranks seldom peak together with the rest there. ``scatter``
    is the relative deviation of one expert's load.
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
        """The layer as it stands."""
        return tuple(tuple(sorted(experts)) for experts in self._experts_by_rank)

    @property
    def rank_loads(self) -> tuple[float, ...]:
        """The mean load of each rank."""
        return tuple(self._rank_loads)

    @property
    def max_load_bound(self) -> float:
        """Bound of the expected highest rank load."""
        return self._compute_bound(self._total)

    def ranks_by_load(self) -> list[int]:
        """Return the ranks, most loaded first."""
        return sorted(
            range(len(self._terms)), key=self._terms.__getitem__, reverse=True
        )

    def candidate_changes(self, hot: int, cool: int) -> Iterator[LayerChange]:
        """Yield the changes that could take load from ``hot`` to ``cool``."""
        yield from self._shift_changes(hot, cool)
        yield from self._swap_changes(hot, cool)

    def _shift_changes(self, hot: int, cool: int) -> Iterator[LayerChange]:
        """Yield replicas of an expert of ``hot`` added on ``cool``, or moved there."""
        places = list(self._freeable_slots(cool))
        for expert in sorted(self._experts_by_rank[hot] - self._experts_by_rank[cool]):
            for freed in places:
                gained = RankEdit(cool, freed, expert)
                yield LayerChange((gained,))
                yield LayerChange((RankEdit(hot, expert, None), gained))

    def _swap_changes(self, hot: int, cool: int) -> Iterator[LayerChange]:
        """Yield experts exchanged for lesser ones.

        Where ``hot`` has a place to spare it may also keep a replica of what it gives:
        so a hot expert alone on its rank is split between two ranks that are full.
        """
        spare = next(self._freeable_slots(hot), _NO_SLOT)
        for expert in sorted(self._experts_by_rank[hot] - self._experts_by_rank[cool]):
            for other in sorted(
                self._experts_by_rank[cool] - self._experts_by_rank[hot]
            ):
                if self._expert_loads[other] >= self._expert_loads[expert]:
                    continue
                given = RankEdit(cool, other, expert)
                yield LayerChange((RankEdit(hot, expert, other), given))
                if spare != _NO_SLOT and spare != expert:
                    yield LayerChange((RankEdit(hot, spare, other), given))

    def max_load_bound_after(self, change: LayerChange) -> float:
        """Return what ``slowest`` would be after ``change``."""
        deltas = self._compute_deltas(change)
        before = sum(self._terms[rank] for rank in deltas)
        after = sum(self._term_after(rank, delta) for rank, delta in deltas.items())
        others = self._total - before
        if others < self._total * _MIN_REMAINDER_RATIO:
            # The touched ranks were all but everything: the difference is rounding.
            terms = enumerate(self._terms)
            others = sum(term for rank, term in terms if rank not in deltas)
        return self._compute_bound(others + after)

    def apply(self, change: LayerChange) -> None:
        """Carry ``change`` out."""
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
        """Return the b that makes the bound tight for ranks that are even."""
        ranks = len(self._rank_loads)
        spread = self._relative_std * math.sqrt(sum(self._rank_squares) / ranks)
        sharpest = _MAX_SHARPNESS / self._mean_load
        if spread * sharpest <= math.sqrt(2 * math.log(ranks)):
            return sharpest
        return math.sqrt(2 * math.log(ranks)) / spread

    def _term(self, load: float, squares: float) -> float:
        deviation = self._sharpness * self._relative_std
        above = self._sharpness * (load - self._mean_load)
        # A single rank of many times the even load would overflow; any cap that is far
        # above the other terms keeps it the first to be relieved.
        return math.exp(min(above + deviation * deviation * squares / 2, 600.0))

    def _term_after(self, rank: int, delta: RankLoadDelta) -> float:
        squares = max(0.0, self._rank_squares[rank] + delta.squares)
        return self._term(self._rank_loads[rank] + delta.load, squares)

    def _compute_bound(self, total: float) -> float:
        return self._mean_load + math.log(total) / self._sharpness

    def _freeable_slots(self, rank: int) -> Iterator[int | None]:
        """Yield what could make way on ``rank``: nothing, or a spare replica."""
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
            share = self._replica_load(expert)
            for rank in self._ranks_by_expert[expert]:
                load[rank] -= share
                squares[rank] -= share * share
            share = self._expert_loads[expert] / len(after)
            for rank in after:
                load[rank] += share
                squares[rank] += share * share
        return {rank: RankLoadDelta(load[rank], squares[rank]) for rank in load}

    def _ranks_after(
        self, after_by_expert: dict[int, set[int]], expert: int
    ) -> set[int]:
        if expert not in after_by_expert:
            after_by_expert[expert] = set(self._ranks_by_expert[expert])
        return after_by_expert[expert]
