"""Compares policies on when to change a group's expert map.

``python -m tools.measure_balancing`` simulates one group of 16 ranks, the size in
production, at three loads on ``tools.group_model``, with the same seeds for each
variant.
"""

from __future__ import annotations

from typing import NamedTuple

import click

from kingcupwheel.forwarding.configuration import EngineShape
from tools.group_model import Demand
from tools.group_model import GroupModel
from tools.group_model import GroupOutcome
from tools.tables import Table


RANK_COUNT = 16
# Copying an expert takes 0.111 s, and a stream may pause for up to 0.12 s.
ENGINE_SHAPE = EngineShape(4, 64, 5, 2, 0.111, max_event_gap_s=0.12)
LOADS_PER_S = (25.0, 50.0, 75.0)
DURATION_S = 20.0
SEEDS = (1, 2, 3)


class Variant(NamedTuple):
    """A policy: its name, the engine shape that it assumes, and whether maps change."""

    name: str
    shape: EngineShape
    is_balancing: bool = True


VARIANTS = (
    Variant("never move", ENGINE_SHAPE, is_balancing=False),
    # Without a limit on pauses no pass counts as short, so every small gain triggers a
    # change.
    Variant("every small gain", ENGINE_SHAPE._replace(max_event_gap_s=0.0)),
    Variant("kingcupwheel", ENGINE_SHAPE),
)


def simulate(variant: Variant, streams_per_s: float) -> list[GroupOutcome]:
    """Return the outcome of ``variant`` for each seed."""
    demand = Demand(
        streams_per_s, popularity_change_interval_s=4.2, popularity_deviation=1.1
    )
    return [
        GroupModel(variant.shape, RANK_COUNT, demand, seed=seed).simulate(
            DURATION_S, is_balanced=variant.is_balancing
        )
        for seed in SEEDS
    ]


def _format_row(name: str, outcomes: list[GroupOutcome]) -> list[str]:
    def mean(values: list[float]) -> float:
        return sum(values) / len(values)

    return [
        name,
        f"{mean([outcome.on_time_fraction for outcome in outcomes]):.1%}",
        f"{mean([outcome.mean_pass_ms for outcome in outcomes]):.0f}",
        f"{mean([outcome.mean_skew for outcome in outcomes]):.2f}",
        f"{mean([float(outcome.map_change_count) for outcome in outcomes]):.0f}",
        f"{mean([float(outcome.expert_copy_count) for outcome in outcomes]):.0f}",
    ]


@click.command()
def main() -> None:
    """Print a table for each load."""
    for per_s in LOADS_PER_S:
        rows = [
            _format_row(variant.name, simulate(variant, per_s)) for variant in VARIANTS
        ]
        title = f"{per_s:.0f} streams a second, a jump each 4.2 s"
        columns = ("", "on time", "pass ms", "skew", "changes", "copies")
        click.echo(Table(title, columns, rows).to_markdown())


if __name__ == "__main__":
    main()
