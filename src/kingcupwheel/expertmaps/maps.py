"""Expert maps: which rank holds which expert, layer by layer.

A map lists for each layer and rank the experts in that rank's slots. An expert with
several replicas has its load split evenly over them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec

from kingcupwheel.expertmaps.exceptions import InvalidMapError


if TYPE_CHECKING:
    from kingcupwheel.manifest.schema import ExpertLayout

# Experts in the slots of each rank of one layer.
LayerPlacement = tuple[tuple[int, ...], ...]
# Load of each expert of one layer, in any unit of work.
LayerLoad = tuple[float, ...]


class MapVersion(NamedTuple):
    """Names one change of a group's map; never used again.

    ``fence`` is the coordinator's lease version, ``counter`` rises within it.
    """

    fence: int
    counter: int

    def next(self) -> MapVersion:
        """Return the following version of the same coordinator."""
        return MapVersion(self.fence, self.counter + 1)

    def __str__(self) -> str:
        return f"{self.fence}.{self.counter}"


NO_VERSION = MapVersion(0, 0)


class RankPlacement(NamedTuple):
    """The experts that one rank holds of one layer."""

    layer: int
    rank: int
    experts: tuple[int, ...]


class ExpertMap(msgspec.Struct, frozen=True, array_like=True):
    """Placement of ``experts`` experts a layer on ranks of ``slots`` slots."""

    expert_count: int = msgspec.field(name="experts")
    slots_per_rank: int = msgspec.field(name="slots")
    layers: tuple[LayerPlacement, ...]

    @property
    def rank_count(self) -> int:
        """The number of ranks."""
        return len(self.layers[0])

    def validate(self) -> None:
        """Raise InvalidMapError if a rank is overfull or an expert has no place."""
        for number, layer in enumerate(self.layers):
            for rank, held in enumerate(layer):
                if len(held) > self.slots_per_rank or len(set(held)) != len(held):
                    message = f"layer {number}: rank {rank} holds {held}"
                    raise InvalidMapError(message)
            placed = {expert for held in layer for expert in held}
            if placed != set(range(self.expert_count)):
                message = f"layer {number}: experts missing or unknown"
                raise InvalidMapError(message)

    def diff_placements(self, target_map: ExpertMap) -> tuple[RankPlacement, ...]:
        """Return what differs in ``target``."""
        return tuple(
            RankPlacement(layer, rank, after)
            for layer, (old, new) in enumerate(
                zip(self.layers, target_map.layers, strict=True)
            )
            for rank, (before, after) in enumerate(zip(old, new, strict=True))
            if before != after
        )

    def with_placements(self, placements: tuple[RankPlacement, ...]) -> ExpertMap:
        """Return this map with ``cells`` replaced."""
        layers = [list(layer) for layer in self.layers]
        for layer, rank, held in placements:
            layers[layer][rank] = held
        return ExpertMap(
            self.expert_count, self.slots_per_rank, tuple(map(tuple, layers))
        )

    def count_moves_to(self, target_map: ExpertMap) -> int:
        """Return how many expert weights ranks must load to change to ``target``."""
        return sum(
            len(set(after) - set(before))
            for old, new in zip(self.layers, target_map.layers, strict=True)
            for before, after in zip(old, new, strict=True)
        )


def get_slots_per_rank(layout: ExpertLayout) -> int:
    """Return the slots of a rank: as set, or just enough for one replica of each."""
    return layout.slots or -(-layout.experts // layout.ranks)


def build_even_map(layout: ExpertLayout) -> ExpertMap:
    """Return the map of a group that has not run yet: experts dealt out in turn."""
    layer = tuple(
        tuple(range(rank, layout.experts, layout.ranks)) for rank in range(layout.ranks)
    )
    result = ExpertMap(
        layout.experts, get_slots_per_rank(layout), (layer,) * layout.layers
    )
    result.validate()
    return result


def count_replicas(layer: LayerPlacement, experts: int) -> list[int]:
    """Return the number of replicas of each expert of a layer."""
    counts = [0] * experts
    for held in layer:
        for expert in held:
            counts[expert] += 1
    return counts


def rank_loads(layer: LayerPlacement, load: LayerLoad) -> list[float]:
    """Return each rank's load, replicas sharing their expert's load evenly."""
    counts = count_replicas(layer, len(load))
    return [sum(load[expert] / counts[expert] for expert in held) for held in layer]


def layer_skew(layer: LayerPlacement, load: LayerLoad) -> float:
    """Return the step-time skew of a layer: max over mean rank load, at least 1."""
    loads = rank_loads(layer, load)
    mean = sum(loads) / len(loads)
    return max(loads) / mean if mean > 0 else 1.0


def map_skew(expert_map: ExpertMap, load: tuple[LayerLoad, ...]) -> float:
    """Return the skew of a whole step.

    Layers run one after another and each waits for its slowest rank, so a step takes
    the sum of the layers' maxima; the mean is what it would take on even ranks.
    """
    slowest = 0.0
    even = 0.0
    for layer, layer_load in zip(expert_map.layers, load, strict=True):
        loads = rank_loads(layer, layer_load)
        slowest += max(loads)
        even += sum(loads) / len(loads)
    return slowest / even if even > 0 else 1.0
