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


class Edit(NamedTuple):
    """One rank loses and gains a replica; ``gained`` has its weights loaded."""

    rank: int
    lost: int | None
    gained: int | None


class Change(NamedTuple):
    """Edits made together, and what they cost in weights loaded."""

    edits: tuple[Edit, ...]

    @property
    def moves(self) -> int:
        """The number of expert weights to load."""
        return sum(edit.gained is not None for edit in self.edits)


# Standard deviations by which the slowest of some tens of ranks lies above its mean.
_SLOWEST_DEVIATIONS = 2.0


class Deltas(NamedTuple):
    """What a change adds to a rank: load, and squares of its experts' loads."""

    load: float = 0.0
    squares: float = 0.0


_NOTHING = Deltas()


class LayerEditor:
    """Keeps a layer's rank loads while replicas move; capacity is never broken.

    A rank's load counts with a margin for its scatter, which is less the more replicas
    carry the load: two halves of a hot expert on two ranks seldom peak together with
    the rest there. ``scatter`` is the relative deviation of one expert's load.
    """

    def __init__(
        self, layer: LayerPlacement, load: LayerLoad, *, slots: int, scatter: float
    ) -> None:
        self._slots = slots
        self._margin = _SLOWEST_DEVIATIONS * scatter
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

    @property
    def placement(self) -> LayerPlacement:
        """The layer as it stands."""
        return tuple(tuple(sorted(experts)) for experts in self._held)

    @property
    def slowest(self) -> float:
        """The highest rank load with its margin."""
        return max(self._peak(rank) for rank in range(len(self._loads)))

    def order(self) -> list[int]:
        """Return the ranks, most loaded first."""
        return sorted(range(len(self._loads)), key=self._peak, reverse=True)

    def changes(self, hot: int, cool: int) -> Iterator[Change]:
        """Yield the changes that could take load from ``hot`` to ``cool``."""
        places = list(self._places(cool))
        for expert in sorted(self._held[hot] - self._held[cool]):
            for freed in places:
                gained = Edit(cool, freed, expert)
                yield Change((gained,))
                yield Change((Edit(hot, expert, None), gained))
            for other in sorted(self._held[cool] - self._held[hot]):
                if self._load[other] < self._load[expert]:
                    edits = (Edit(hot, expert, other), Edit(cool, other, expert))
                    yield Change(edits)

    def slowest_after(self, change: Change) -> float:
        """Return the highest load among the ranks that ``change`` touches."""
        deltas = self._deltas(change).items()
        return max(self._peak(rank, delta) for rank, delta in deltas)

    def make(self, change: Change) -> None:
        """Carry ``change`` out."""
        for rank, delta in self._deltas(change).items():
            self._loads[rank] += delta.load
            self._squares[rank] += delta.squares
        for edit in change.edits:
            if edit.lost is not None:
                self._held[edit.rank].discard(edit.lost)
                self._ranks_by_expert[edit.lost].discard(edit.rank)
            if edit.gained is not None:
                self._held[edit.rank].add(edit.gained)
                self._ranks_by_expert[edit.gained].add(edit.rank)

    def _share(self, expert: int) -> float:
        return self._load[expert] / len(self._ranks_by_expert[expert])

    def _peak(self, rank: int, delta: Deltas = _NOTHING) -> float:
        squares = max(0.0, self._squares[rank] + delta.squares)
        return self._loads[rank] + delta.load + self._margin * math.sqrt(squares)

    def _places(self, rank: int) -> Iterator[int | None]:
        """Yield what could make way on ``rank``: nothing, or a spare replica."""
        if len(self._held[rank]) < self._slots:
            yield None
            return
        for expert in sorted(self._held[rank]):
            if len(self._ranks_by_expert[expert]) > 1:
                yield expert

    def _deltas(self, change: Change) -> dict[int, Deltas]:
        after_by_expert: dict[int, set[int]] = {}
        for edit in change.edits:
            if edit.lost is not None:
                self._after(after_by_expert, edit.lost).discard(edit.rank)
            if edit.gained is not None:
                self._after(after_by_expert, edit.gained).add(edit.rank)
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
        return {rank: Deltas(load[rank], squares[rank]) for rank in load}

    def _after(self, after_by_expert: dict[int, set[int]], expert: int) -> set[int]:
        if expert not in after_by_expert:
            after_by_expert[expert] = set(self._ranks_by_expert[expert])
        return after_by_expert[expert]
