"""Generator of expert popularity over time, to measure planners with."""

from __future__ import annotations

import math
import random
from enum import StrEnum
from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Iterator

    from kingcupwheel.expertmaps.load_estimate import MapLoad

# Standard deviation of the experts' log popularity at the start.
_LOG_POPULARITY_SPREAD = 0.8
# Standard deviation of the change in log popularity per period of seasonal drift.
_DRIFT_PER_PERIOD = 0.04
# Standard deviation of one period's log counts around the log popularity, as a finite
# number of requests causes it.
_COUNT_NOISE = 0.15
# An inspection multiplies the popularity of one expert in twelve by this factor.
_INSPECTED_SHARE = 1 / 12
_INSPECTED_FACTOR = 5.0


class Scenario(StrEnum):
    """Way in which popularity changes over time."""

    SEASON = "season drift"
    INSPECTION = "inspection"
    NOISE = "noise only"


class GroupShape(NamedTuple):
    """Size of the group, and length of a run in periods."""

    ranks: int
    experts: int
    layers: int
    slots: int
    periods: int


def generate_loads(
    scenario: Scenario, shape: GroupShape, *, seed: int
) -> Iterator[MapLoad]:
    """Yield the load counted in each period; a seed always gives the same loads."""
    random_generator = random.Random(seed)
    layers = [
        [
            random_generator.gauss(0, _LOG_POPULARITY_SPREAD)
            for _ in range(shape.experts)
        ]
        for _ in range(shape.layers)
    ]
    inspected = [
        {
            e
            for e in range(shape.experts)
            if random_generator.random() < _INSPECTED_SHARE
        }
        for _ in range(shape.layers)
    ]
    for period in range(shape.periods):
        is_inspection_time = shape.periods // 3 <= period < 2 * shape.periods // 3
        is_inspected = scenario is Scenario.INSPECTION and is_inspection_time
        if scenario is Scenario.SEASON:
            _drift(layers, random_generator)
        yield tuple(
            tuple(
                math.exp(log + random_generator.gauss(0, _COUNT_NOISE))
                * (
                    _INSPECTED_FACTOR
                    if is_inspected and expert in inspected_experts
                    else 1
                )
                for expert, log in enumerate(layer)
            )
            for layer, inspected_experts in zip(layers, inspected, strict=True)
        )


def _drift(layers: list[list[float]], generator: random.Random) -> None:
    # Reversion towards the mean keeps the standard deviation constant.
    reversion = math.sqrt(1 - (_DRIFT_PER_PERIOD / _LOG_POPULARITY_SPREAD) ** 2)
    for layer in layers:
        for expert, log in enumerate(layer):
            layer[expert] = reversion * log + generator.gauss(0, _DRIFT_PER_PERIOD)
