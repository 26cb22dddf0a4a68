"""Seeded expert popularity over time, for measuring planners."""

from __future__ import annotations

import math
import random
from enum import StrEnum
from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Iterator

    from kingcupwheel.expertmaps.load_estimate import MapLoad

# Spread of the experts' log popularity at the start.
_LOG_POPULARITY_SPREAD = 0.8
# Step of the log popularity in a period of a season's drift.
_DRIFT_PER_PERIOD = 0.04
# Scatter of one period's counts around the popularity, from the requests at hand.
_COUNT_NOISE = 0.15
# An inspection makes one expert in twelve this many times as popular.
_INSPECTED_SHARE = 1 / 12
_INSPECTED_FACTOR = 5.0


class Scenario(StrEnum):
    """How popularity changes."""

    SEASON = "season drift"
    INSPECTION = "inspection"
    NOISE = "noise only"


class GroupShape(NamedTuple):
    """Size of the group and length of a run, in periods."""

    ranks: int
    experts: int
    layers: int
    slots: int
    periods: int


def generate_loads(
    scenario: Scenario, shape: GroupShape, *, seed: int
) -> Iterator[MapLoad]:
    """Yield the load counted in each period; the same seed gives the same loads."""
    generator = random.Random(seed)
    layers = [
        [generator.gauss(0, _LOG_POPULARITY_SPREAD) for _ in range(shape.experts)]
        for _ in range(shape.layers)
    ]
    inspected = [
        {e for e in range(shape.experts) if generator.random() < _INSPECTED_SHARE}
        for _ in range(shape.layers)
    ]
    for period in range(shape.periods):
        during = shape.periods // 3 <= period < 2 * shape.periods // 3
        raised = scenario is Scenario.INSPECTION and during
        if scenario is Scenario.SEASON:
            _drift(layers, generator)
        yield tuple(
            tuple(
                math.exp(log + generator.gauss(0, _COUNT_NOISE))
                * (_INSPECTED_FACTOR if raised and expert in hot else 1)
                for expert, log in enumerate(layer)
            )
            for layer, hot in zip(layers, inspected, strict=True)
        )


def _drift(layers: list[list[float]], generator: random.Random) -> None:
    # A pull back to the middle keeps the spread what it was at the start.
    keep = math.sqrt(1 - (_DRIFT_PER_PERIOD / _LOG_POPULARITY_SPREAD) ** 2)
    for layer in layers:
        for expert, log in enumerate(layer):
            layer[expert] = keep * log + generator.gauss(0, _DRIFT_PER_PERIOD)
