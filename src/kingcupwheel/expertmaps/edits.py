"""One layer of a map being changed, edit by edit."""

from __future__ import annotations

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


class LayerEditor:
    """Keeps a layer's rank loads while replicas move; capacity is never broken."""

    def __init__(self, layer: LayerPlacement, load: LayerLoad, *, slots: int) -> None:
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

    @property
    def placement(self) -> LayerPlacement:
        """The layer as it stands."""
        return tuple(tuple(sorted(experts)) for experts in self._held)

    @property
    def slowest(self) -> float:
        """The highest rank load."""
        return max(self._loads)

    def order(self) -> list[int]:
        """Return the ranks, most loaded first."""
        return sorted(range(len(self._loads)), key=lambda rank: -self._loads[rank])

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
        return max(
            self._loads[rank] + delta for rank, delta in self._deltas(change).items()
        )

    def make(self, change: Change) -> None:
        """Carry ``change`` out."""
        for rank, delta in self._deltas(change).items():
            self._loads[rank] += delta
        for edit in change.edits:
            if edit.lost is not None:
                self._held[edit.rank].discard(edit.lost)
                self._ranks_by_expert[edit.lost].discard(edit.rank)
            if edit.gained is not None:
                self._held[edit.rank].add(edit.gained)
                self._ranks_by_expert[edit.gained].add(edit.rank)

    def _share(self, expert: int) -> float:
        return self._load[expert] / len(self._ranks_by_expert[expert])

    def _places(self, rank: int) -> Iterator[int | None]:
        """Yield what could make way on ``rank``: nothing, or a spare replica."""
        if len(self._held[rank]) < self._slots:
            yield None
            return
        for expert in sorted(self._held[rank]):
            if len(self._ranks_by_expert[expert]) > 1:
                yield expert

    def _deltas(self, change: Change) -> dict[int, float]:
        after_by_expert: dict[int, set[int]] = {}
        for edit in change.edits:
            if edit.lost is not None:
                self._after(after_by_expert, edit.lost).discard(edit.rank)
            if edit.gained is not None:
                self._after(after_by_expert, edit.gained).add(edit.rank)
        deltas: dict[int, float] = defaultdict(float)
        for expert, after in after_by_expert.items():
            share = self._share(expert)
            for rank in self._ranks_by_expert[expert]:
                deltas[rank] -= share
            share = self._load[expert] / len(after)
            for rank in after:
                deltas[rank] += share
        return deltas

    def _after(self, after_by_expert: dict[int, set[int]], expert: int) -> set[int]:
        if expert not in after_by_expert:
            after_by_expert[expert] = set(self._ranks_by_expert[expert])
        return after_by_expert[expert]
