"""Compares when to change a group's map: ``python -m tools.measure_balancing``.

One group of 16 ranks as the users run it, three loads, on the emulator of
``tools.group_model``; the same seeds for each way.
"""

from __future__ import annotations

from typing import NamedTuple

import click

from kingcupwheel.forwarding.configuration import EngineShape
from tools.group_model import Demand
from tools.group_model import GroupModel
from tools.group_model import GroupOutcome
from tools.tables import Table


RANKS = 16
# A copy takes 0.11 s and streams' pauses may be 0.12 s.
SHAPE = EngineShape(4, 64, 5, 2, 0.111, max_event_gap_s=0.12)
LOADS_PER_S = (25.0, 50.0, 75.0)
DURATION_S = 20.0
SEEDS = (1, 2, 3)


class Variant(NamedTuple):
    """A way to compare: its name, the shape it is told, whether maps change at all."""

    name: str
    shape: EngineShape
    is_balancing: bool = True


VARIANTS = (
    Variant("never move", SHAPE, is_balancing=False),
    # Without a known pause no pass counts as short, so each small gain is taken.
    Variant("every small gain", SHAPE._replace(max_event_gap_s=0.0)),
    Variant("kingcupwheel", SHAPE),
)


def simulate(way: Variant, per_s: float) -> list[GroupOutcome]:
    """Return an outcome for each seed."""
    demand = Demand(per_s, popularity_change_interval_s=4.2, popularity_deviation=1.1)
    return [
        GroupModel(way.shape, RANKS, demand, seed=seed).simulate(
            DURATION_S, is_balanced=way.is_balancing
        )
        for seed in SEEDS
    ]


def _row(name: str, outcomes: list[GroupOutcome]) -> list[str]:
    def mean(values: list[float]) -> float:
        return sum(values) / len(values)

    return [
        name,
        f"{mean([one.on_time_fraction for one in outcomes]):.1%}",
        f"{mean([one.mean_pass_ms for one in outcomes]):.0f}",
        f"{mean([one.mean_skew for one in outcomes]):.2f}",
        f"{mean([float(one.map_change_count) for one in outcomes]):.0f}",
        f"{mean([float(one.expert_copy_count) for one in outcomes]):.0f}",
    ]


@click.command()
def main() -> None:
    """Print a table for each load."""
    for per_s in LOADS_PER_S:
        rows = [_row(way.name, simulate(way, per_s)) for way in VARIANTS]
        title = f"{per_s:.0f} streams a second, a jump each 4.2 s"
        columns = ("", "on time", "pass ms", "skew", "changes", "copies")
        click.echo(Table(title, columns, rows).to_markdown())


if __name__ == "__main__":
    main()
