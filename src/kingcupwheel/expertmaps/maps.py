"""Expert maps: the placement of experts on ranks, layer by layer.

A map lists the experts in the slots of each rank for each layer. The load of an expert
is split evenly over its replicas.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec

from kingcupwheel.expertmaps.exceptions import InvalidMapError


if TYPE_CHECKING:
    from kingcupwheel.manifest.schema import ExpertLayout

# Experts of one layer, by rank.
LayerPlacement = tuple[tuple[int, ...], ...]
# Load of each expert of one layer, in any unit.
LayerLoad = tuple[float, ...]


class MapVersion(NamedTuple):
    """Unique version of a group's map; never reused.

    ``fence`` is the version of the coordinator's lease, ``counter`` increases within
    it.
    """

    fence: int
    counter: int

    def next(self) -> MapVersion:
        """Return the next version of the same coordinator."""
        return MapVersion(self.fence, self.counter + 1)

    def __str__(self) -> str:
        return f"{self.fence}.{self.counter}"


NO_VERSION = MapVersion(0, 0)


class RankPlacement(NamedTuple):
    """Experts of one layer on one rank."""

    layer: int
    rank: int
    experts: tuple[int, ...]


class ExpertMap(msgspec.Struct, frozen=True, array_like=True):
    """Placement of the experts of all layers on the ranks of a group."""

    expert_count: int = msgspec.field(name="experts")
    slots_per_rank: int = msgspec.field(name="slots")
    layers: tuple[LayerPlacement, ...]

    @property
    def rank_count(self) -> int:
        """The number of ranks."""
        return len(self.layers[0])

    def validate(self) -> None:
        """Raise InvalidMapError if a rank holds too many experts or one is missing."""
        for number, layer in enumerate(self.layers):
            for rank, held in enumerate(layer):
                if len(held) > self.slots_per_rank or len(set(held)) != len(held):
                    message = (
                        f"layer {number}: rank {rank} has duplicate or too many "
                        f"experts: {held}"
                    )
                    raise InvalidMapError(message)
            placed = {expert for held in layer for expert in held}
            if placed != set(range(self.expert_count)):
                message = f"layer {number}: an expert is missing or unknown"
                raise InvalidMapError(message)

    def diff_placements(self, target_map: ExpertMap) -> tuple[RankPlacement, ...]:
        """Return the placements of ``target_map`` that differ from this map's."""
        return tuple(
            RankPlacement(layer, rank, after)
            for layer, (old, new) in enumerate(
                zip(self.layers, target_map.layers, strict=True)
            )
            for rank, (before, after) in enumerate(zip(old, new, strict=True))
            if before != after
        )

    def with_placements(self, placements: tuple[RankPlacement, ...]) -> ExpertMap:
        """Return a copy of this map with ``placements`` replaced."""
        layers = [list(layer) for layer in self.layers]
        for layer, rank, held in placements:
            layers[layer][rank] = held
        return ExpertMap(
            self.expert_count, self.slots_per_rank, tuple(map(tuple, layers))
        )

    def count_moves_to(self, target_map: ExpertMap) -> int:
        """Return how many expert weights a change to ``target_map`` loads."""
        return sum(
            len(set(after) - set(before))
            for old, new in zip(self.layers, target_map.layers, strict=True)
            for before, after in zip(old, new, strict=True)
        )


def get_slots_per_rank(layout: ExpertLayout) -> int:
    """Return the configured slots per rank, or the least that hold each expert once."""
    return layout.slots or -(-layout.experts // layout.ranks)


def build_even_map(layout: ExpertLayout) -> ExpertMap:
    """Return the initial map of a group, with its experts assigned round-robin."""
    layer = tuple(
        tuple(range(rank, layout.experts, layout.ranks)) for rank in range(layout.ranks)
    )
    result = ExpertMap(
        layout.experts, get_slots_per_rank(layout), (layer,) * layout.layers
    )
    result.validate()
    return result


def count_replicas(layer: LayerPlacement, expert_count: int) -> list[int]:
    """Return the number of replicas of each expert of a layer."""
    counts = [0] * expert_count
    for held in layer:
        for expert in held:
            counts[expert] += 1
    return counts


def rank_loads(layer: LayerPlacement, load: LayerLoad) -> list[float]:
    """Return the load of each rank; replicas share their expert's load evenly."""
    counts = count_replicas(layer, len(load))
    return [sum(load[expert] / counts[expert] for expert in held) for held in layer]


def layer_skew(layer: LayerPlacement, load: LayerLoad) -> float:
    """Return the skew of a layer: maximum over mean rank load, at least 1."""
    loads = rank_loads(layer, load)
    mean = sum(loads) / len(loads)
    return max(loads) / mean if mean > 0 else 1.0


def map_skew(expert_map: ExpertMap, load: tuple[LayerLoad, ...]) -> float:
    """Return the skew of a whole step.

    Layers run one after another and each waits for its slowest rank, so a step takes
    the sum of the maximum rank loads. The skew relates it to the sum of the means,
    which a step would take if all ranks had the same load.
    """
    slowest = 0.0
    even = 0.0
    for layer, layer_load in zip(expert_map.layers, load, strict=True):
        loads = rank_loads(layer, layer_load)
        slowest += max(loads)
        even += sum(loads) / len(loads)
    return slowest / even if even > 0 else 1.0
