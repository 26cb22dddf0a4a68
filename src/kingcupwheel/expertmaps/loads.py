"""Decayed load of a group's experts, from what its ranks counted."""

from __future__ import annotations

from typing import NamedTuple

from kingcupwheel.expertmaps.maps import LayerLoad


# Share of the estimate that a new reading takes. Readings of one period scatter with
# the requests that were about; a quarter halves that scatter and still follows a change
# within a few periods.
NEW_SHARE = 0.25

# Load of each layer's experts.
MapLoad = tuple[LayerLoad, ...]


class DecayedLoad(NamedTuple):
    """An estimate of each expert's share of its layer's load; None before a reading."""

    load: MapLoad | None = None

    def after(self, counted: MapLoad, *, new_share: float = NEW_SHARE) -> DecayedLoad:
        """Return the estimate after one more period's counts, in any unit.

        Layers are scaled to a sum of 1 first, so that a busy period weighs no more than
        a quiet one; a layer without any load keeps its estimate.
        """
        if self.load is None:
            return DecayedLoad(tuple(_shares(layer) for layer in counted))
        layers = (
            _mixed(old, layer, new_share)
            for old, layer in zip(self.load, counted, strict=True)
        )
        return DecayedLoad(tuple(layers))


def _shares(layer: LayerLoad) -> LayerLoad:
    total = sum(layer)
    if total <= 0:
        return tuple(1 / len(layer) for _ in layer)
    return tuple(load / total for load in layer)


def _mixed(old: LayerLoad, counted: LayerLoad, new_share: float) -> LayerLoad:
    if sum(counted) <= 0:
        return old
    return tuple(
        before + new_share * (now - before)
        for before, now in zip(old, _shares(counted), strict=True)
    )
