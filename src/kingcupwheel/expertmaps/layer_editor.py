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
_SHARPEST = 100.0


# A difference below this share of its minuend is taken as lost to rounding.
_LEAST_REMAINDER = 1e-6
# No place can be made on a rank.
_FULL = -1


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
        self, layer: LayerPlacement, load: LayerLoad, *, slots: int, scatter: float
    ) -> None:
        self._slots = slots
        self._load = load
        self._held = [set(experts) for experts in layer]
        self._ranks_by_expert: list[set[int]] = [set() for _ in load]
        for rank, experts in enumerate(layer):
            for expert in experts:
                self._ranks_by_expert[expert].add(rank)
        self._loads = [
            sum(self._share(expert) for expert in experts) for experts in layer
        ]
        self._squares = [
            sum(self._share(expert) ** 2 for expert in experts) for experts in layer
        ]
        self._scatter = scatter
        self._even = sum(load) / len(layer) or 1.0
        self._sharpness = self._best_sharpness()
        self._terms = [
            self._term(*sums) for sums in zip(self._loads, self._squares, strict=True)
        ]
        self._total = sum(self._terms)

    @property
    def placement(self) -> LayerPlacement:
        """The layer as it stands."""
        return tuple(tuple(sorted(experts)) for experts in self._held)

    @property
    def rank_loads(self) -> tuple[float, ...]:
        """The mean load of each rank."""
        return tuple(self._loads)

    @property
    def max_load_bound(self) -> float:
        """Bound of the expected highest rank load."""
        return self._bound(self._total)

    def ranks_by_load(self) -> list[int]:
        """Return the ranks, most loaded first."""
        return sorted(
            range(len(self._terms)), key=self._terms.__getitem__, reverse=True
        )

    def candidate_changes(self, hot: int, cool: int) -> Iterator[LayerChange]:
        """Yield the changes that could take load from ``hot`` to ``cool``."""
        yield from self._shifts(hot, cool)
        yield from self._swaps(hot, cool)

    def _shifts(self, hot: int, cool: int) -> Iterator[LayerChange]:
        """Yield replicas of an expert of ``hot`` added on ``cool``, or moved there."""
        places = list(self._places(cool))
        for expert in sorted(self._held[hot] - self._held[cool]):
            for freed in places:
                gained = RankEdit(cool, freed, expert)
                yield LayerChange((gained,))
                yield LayerChange((RankEdit(hot, expert, None), gained))

    def _swaps(self, hot: int, cool: int) -> Iterator[LayerChange]:
        """Yield experts exchanged for lesser ones.

        Where ``hot`` has a place to spare it may also keep a replica of what it gives:
        so a hot expert alone on its rank is split between two ranks that are full.
        """
        spare = next(self._places(hot), _FULL)
        for expert in sorted(self._held[hot] - self._held[cool]):
            for other in sorted(self._held[cool] - self._held[hot]):
                if self._load[other] >= self._load[expert]:
                    continue
                given = RankEdit(cool, other, expert)
                yield LayerChange((RankEdit(hot, expert, other), given))
                if spare != _FULL and spare != expert:
                    yield LayerChange((RankEdit(hot, spare, other), given))

    def max_load_bound_after(self, change: LayerChange) -> float:
        """Return what ``slowest`` would be after ``change``."""
        deltas = self._deltas(change)
        before = sum(self._terms[rank] for rank in deltas)
        after = sum(self._term_after(rank, delta) for rank, delta in deltas.items())
        others = self._total - before
        if others < self._total * _LEAST_REMAINDER:
            # The touched ranks were all but everything: the difference is rounding.
            terms = enumerate(self._terms)
            others = sum(term for rank, term in terms if rank not in deltas)
        return self._bound(others + after)

    def apply(self, change: LayerChange) -> None:
        """Carry ``change`` out."""
        for rank, delta in self._deltas(change).items():
            self._terms[rank] = self._term_after(rank, delta)
            self._loads[rank] += delta.load
            self._squares[rank] += delta.squares
        self._total = sum(self._terms)
        for edit in change.edits:
            if edit.removed is not None:
                self._held[edit.rank].discard(edit.removed)
                self._ranks_by_expert[edit.removed].discard(edit.rank)
            if edit.added is not None:
                self._held[edit.rank].add(edit.added)
                self._ranks_by_expert[edit.added].add(edit.rank)

    def _share(self, expert: int) -> float:
        return self._load[expert] / len(self._ranks_by_expert[expert])

    def _best_sharpness(self) -> float:
        """Return the b that makes the bound tight for ranks that are even."""
        ranks = len(self._loads)
        spread = self._scatter * math.sqrt(sum(self._squares) / ranks)
        sharpest = _SHARPEST / self._even
        if spread * sharpest <= math.sqrt(2 * math.log(ranks)):
            return sharpest
        return math.sqrt(2 * math.log(ranks)) / spread

    def _term(self, load: float, squares: float) -> float:
        deviation = self._sharpness * self._scatter
        above = self._sharpness * (load - self._even)
        # A single rank of many times the even load would overflow; any cap that is far
        # above the other terms keeps it the first to be relieved.
        return math.exp(min(above + deviation * deviation * squares / 2, 600.0))

    def _term_after(self, rank: int, delta: RankLoadDelta) -> float:
        squares = max(0.0, self._squares[rank] + delta.squares)
        return self._term(self._loads[rank] + delta.load, squares)

    def _bound(self, total: float) -> float:
        return self._even + math.log(total) / self._sharpness

    def _places(self, rank: int) -> Iterator[int | None]:
        """Yield what could make way on ``rank``: nothing, or a spare replica."""
        if len(self._held[rank]) < self._slots:
            yield None
            return
        for expert in sorted(self._held[rank]):
            if len(self._ranks_by_expert[expert]) > 1:
                yield expert

    def _deltas(self, change: LayerChange) -> dict[int, RankLoadDelta]:
        after_by_expert: dict[int, set[int]] = {}
        for edit in change.edits:
            if edit.removed is not None:
                self._after(after_by_expert, edit.removed).discard(edit.rank)
            if edit.added is not None:
                self._after(after_by_expert, edit.added).add(edit.rank)
        load: dict[int, float] = defaultdict(float)
        squares: dict[int, float] = defaultdict(float)
        for expert, after in after_by_expert.items():
            share = self._share(expert)
            for rank in self._ranks_by_expert[expert]:
                load[rank] -= share
                squares[rank] -= share * share
            share = self._load[expert] / len(after)
            for rank in after:
                load[rank] += share
                squares[rank] += share * share
        return {rank: RankLoadDelta(load[rank], squares[rank]) for rank in load}

    def _after(self, after_by_expert: dict[int, set[int]], expert: int) -> set[int]:
        if expert not in after_by_expert:
            after_by_expert[expert] = set(self._ranks_by_expert[expert])
        return after_by_expert[expert]
