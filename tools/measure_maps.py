"""Compares the map planner with baselines under changing expert popularity.

``python -m tools.measure_maps --output FILE`` writes Markdown tables. All popularity is
seeded.
"""

from __future__ import annotations

import time
from pathlib import Path
from typing import TYPE_CHECKING
from typing import NamedTuple

import click

from kingcupwheel.expertmaps.load_estimate import LoadEstimate
from kingcupwheel.expertmaps.maps import build_even_map
from kingcupwheel.expertmaps.maps import map_skew
from kingcupwheel.expertmaps.planner import PlanWeights
from kingcupwheel.expertmaps.planner import plan_map
from kingcupwheel.manifest.schema import ExpertLayout
from tools.map_baselines import HysteresisPlanner
from tools.map_baselines import plan_longest_first
from tools.map_confidence_planner import ConfidenceBoundPlanner
from tools.map_popularity import GroupShape
from tools.map_popularity import Scenario
from tools.map_popularity import generate_loads


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from kingcupwheel.expertmaps.maps import ExpertMap

    Planner = Callable[[ExpertMap, LoadEstimate], ExpertMap]

SHAPE = GroupShape(ranks=32, experts=128, layers=4, slots=5, periods=60)
SEEDS = (11, 12)
# Bytes of the weights of one expert in one layer, for the column of loaded bytes.
EXPERT_BYTES = 20_000_000


class Deployment(NamedTuple):
    """A deployment, and how it weighs skew against moves."""

    name: str
    weights: PlanWeights


AGENCY = Deployment("agency", PlanWeights(skew_weight=4.0, move_cost=1.0))
RETAZO = Deployment("Retazo", PlanWeights(skew_weight=1.0, move_cost=4.0))


class PlannerFigures(NamedTuple):
    """Results of one planner; ``skews`` and ``plan_ms`` have one item per period."""

    skews: tuple[float, ...]
    moves: int
    plan_ms: tuple[float, ...]

    @property
    def mean_skew(self) -> float:
        """Mean step-time skew."""
        return sum(self.skews) / len(self.skews)

    def weighted_cost(self, weights: PlanWeights) -> float:
        """Return the mean cost per period: weighted skew plus weighted moves."""
        expert_count = SHAPE.layers * SHAPE.experts
        moved_share = self.moves / len(self.skews) / expert_count
        return (
            weights.skew_weight * (self.mean_skew - 1) + weights.move_cost * moved_share
        )


def keep_map(current: ExpertMap, estimate: LoadEstimate) -> ExpertMap:
    """Return the current map; a planner that never moves an expert."""
    del estimate
    return current


class ProductPlanner:
    """The product's planner with the weights of a deployment."""

    def __init__(self, weights: PlanWeights) -> None:
        self._weights = weights

    def __call__(self, current: ExpertMap, estimate: LoadEstimate) -> ExpertMap:
        """Return the map for the next period."""
        plan = plan_map(current, estimate, self._weights)
        return plan.map if plan else current


def build_planner_factories() -> dict[str, Callable[[], Planner]]:
    """Return a factory for each kind of planner by its name."""
    return {
        "never move": lambda: keep_map,
        "longest first": lambda: plan_longest_first,
        "plain hysteresis": HysteresisPlanner,
        "own, agency": lambda: ProductPlanner(AGENCY.weights),
        "own, Retazo": lambda: ProductPlanner(RETAZO.weights),
        "confident, agency": lambda: ConfidenceBoundPlanner(AGENCY.weights),
        "confident, Retazo": lambda: ConfidenceBoundPlanner(RETAZO.weights),
    }


def run_planner(
    make_planner: Callable[[], Planner], scenario: Scenario
) -> PlannerFigures:
    """Plan after each period for the next one; skews use the next one's own load."""
    skews: list[float] = []
    plan_ms: list[float] = []
    moves = 0
    layout = ExpertLayout(
        ranks=SHAPE.ranks, experts=SHAPE.experts, layers=SHAPE.layers, slots=SHAPE.slots
    )
    for seed in SEEDS:
        current = build_even_map(layout)
        planner = make_planner()
        estimate = LoadEstimate()
        for load in generate_loads(scenario, SHAPE, seed=seed):
            skews.append(map_skew(current, load))
            estimate = estimate.with_counts(load)
            planning_started = time.perf_counter()
            planned = planner(current, estimate)
            plan_ms.append((time.perf_counter() - planning_started) * 1000)
            moves += current.count_moves_to(planned)
            planned.validate()
            current = planned
    return PlannerFigures(tuple(skews), moves, tuple(plan_ms))


def percentile(values: Sequence[float], share: float) -> float:
    """Return the value that a fraction ``share`` of ``values`` do not exceed."""
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]


def build_scenario_table(scenario: Scenario) -> str:
    """Return the table of one scenario, with a row for each planner."""
    lines = [
        f"### {scenario.value.capitalize()}",
        "",
        "| planner | mean skew | 95th skew | moves | GB loaded | plan ms (mean, max) "
        "| agency's cost | Retazo's cost |",
        "|---|---|---|---|---|---|---|---|",
    ]
    for name, make_planner in build_planner_factories().items():
        figures = run_planner(make_planner, scenario)
        mean_ms = sum(figures.plan_ms) / len(figures.plan_ms)
        cells = (
            name,
            f"{figures.mean_skew:.3f}",
            f"{percentile(figures.skews, 0.95):.3f}",
            str(figures.moves),
            f"{figures.moves * EXPERT_BYTES / 1e9:.1f}",
            f"{mean_ms:.1f}, {max(figures.plan_ms):.1f}",
            f"{figures.weighted_cost(AGENCY.weights):.3f}",
            f"{figures.weighted_cost(RETAZO.weights):.3f}",
        )
        lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines)


@click.command()
@click.option("--output", type=click.Path(path_type=Path), required=True)
def main(output: Path) -> None:
    """Write the tables to OUTPUT."""
    intro = (
        f"{SHAPE.ranks} ranks, {SHAPE.experts} experts a layer, {SHAPE.layers} layers, "
        f"{SHAPE.slots} slots a rank, {SHAPE.periods} periods, seeds {SEEDS}. "
        "A user's cost is skew_weight * (mean skew - 1) + move_cost * share of experts "
        "moved a period; agency weighs 4 to 1, Retazo 1 to 4."
    )
    parts = [intro, *(build_scenario_table(scenario) for scenario in Scenario)]
    output.parent.mkdir(parents=True, exist_ok=True)
    output.write_text("\n\n".join(parts) + "\n")


if __name__ == "__main__":
    main()
