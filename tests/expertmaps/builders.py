from __future__ import annotations

from kingcupwheel.expertmaps.maps import ExpertMap
from kingcupwheel.expertmaps.maps import MapVersion
from kingcupwheel.expertmaps.maps import even_map
from kingcupwheel.expertmaps.protocol import NamedMap
from kingcupwheel.expertmaps.protocol import Schedule
from kingcupwheel.manifest.schema import ExpertLayout


def layout(*, ranks: int = 2, experts: int = 4, slots: int = 0) -> ExpertLayout:
    return ExpertLayout(ranks=ranks, experts=experts, slots=slots)


def first_map(ranks: int = 2) -> ExpertMap:
    return even_map(layout(ranks=ranks, experts=2 * ranks))


def rotated(expert_map: ExpertMap) -> ExpertMap:
    layers = tuple((*layer[1:], layer[0]) for layer in expert_map.layers)
    return ExpertMap(expert_map.experts, expert_map.slots, layers)


def schedule(version: MapVersion, expert_map: ExpertMap) -> Schedule:
    named = NamedMap(version, expert_map)
    return Schedule(version, named, named, 0)
