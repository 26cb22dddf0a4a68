"""Measures decisions: outcomes for callers, costs, and coverage of subsets.

``python -m tools.measure_decisions [FILE]`` prints Markdown tables and also writes them
to FILE. All loads are seeded; only the costs depend on the machine. If matplotlib is
installed, a plot is written to ``out/``.
"""

from __future__ import annotations

import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from statistics import mean
from typing import TYPE_CHECKING

from tools.decision_costs import build_cost_tables
from tools.entry_model import DecisionOptions
from tools.load_scenarios import SCENARIOS
from tools.load_scenarios import ScenarioOutcome
from tools.load_scenarios import evaluate_scenario
from tools.subset_coverage import build_coverage_table
from tools.tables import Table


if TYPE_CHECKING:
    from tools.load_scenarios import Scenario


SEEDS = (1, 2)
OPTIONS_BY_NAME = {
    "kingcupwheel": DecisionOptions(),
    "least in flight": DecisionOptions(policy="least-in-flight"),
    "round robin": DecisionOptions(policy="round-robin"),
    "random": DecisionOptions(policy="random"),
    "equal split": DecisionOptions(has_allowance_lending=False),
    "no admission": DecisionOptions(has_admission=False, has_fair_queue=False),
}
COLUMN_BY_FIELD = {
    "on_time_fraction": "calls met",
    "others_on_time_fraction": "others met",
    "goodput_tokens_per_s": "goodput tok/s",
    "fairness_index": "fairness",
    "first_token_p95_s": "first token p95 s",
    "token_gap_p95_ms": "gap p95 ms",
    "refused_fraction": "refused",
    "late_fraction": "told late",
    "retry_count": "retries",
}
PLOT_FOLDER = Path("out")
WORKER_COUNT = 4
_SCENARIO_INDEXES = range(len(SCENARIOS))


def main() -> None:
    """Print all tables, and write them to the file named on the command line."""
    with ProcessPoolExecutor(WORKER_COUNT) as pool:
        outcomes = dict(
            zip(SCENARIOS, pool.map(measure_scenario, _SCENARIO_INDEXES), strict=True)
        )
    tables = [
        build_outcome_table(scenario, rows) for scenario, rows in outcomes.items()
    ]
    tables += [build_coverage_table(), *build_cost_tables()]
    text = "\n".join(table.to_markdown() for table in tables)
    print(text)
    if len(sys.argv) > 1:
        Path(sys.argv[1]).write_text(text)
    draw_plot(outcomes)


def measure_scenario(index: int) -> dict[str, ScenarioOutcome]:
    """Return the mean outcome of one scenario over all seeds, by options."""
    scenario = SCENARIOS[index]
    return {
        name: _mean_outcome(
            [evaluate_scenario(scenario, options, seed) for seed in SEEDS]
        )
        for name, options in OPTIONS_BY_NAME.items()
    }


def build_outcome_table(
    scenario: Scenario, outcome_by_name: dict[str, ScenarioOutcome]
) -> Table:
    """Return the table of one scenario, with a row for each option set."""
    rows = [
        (
            name,
            *(
                _format_value(field, getattr(outcome, field))
                for field in COLUMN_BY_FIELD
            ),
        )
        for name, outcome in outcome_by_name.items()
    ]
    return Table(f"Load: {scenario.name}", ("", *COLUMN_BY_FIELD.values()), rows)


def draw_plot(outcomes: dict[Scenario, dict[str, ScenarioOutcome]]) -> None:
    """Plot the share of calls with a timely first token, if matplotlib is installed."""
    try:
        from matplotlib import pyplot
    except ImportError:
        print("No plot: matplotlib is not installed.")
        return
    figure, axes = pyplot.subplots(figsize=(11, 6))
    height = 0.8 / len(OPTIONS_BY_NAME)
    for index, name in enumerate(OPTIONS_BY_NAME):
        positions = [row + index * height for row in range(len(outcomes))]
        values = [
            100 * outcome_by_name[name].on_time_fraction
            for outcome_by_name in outcomes.values()
        ]
        axes.barh(positions, values, height, label=name)
    middle = 0.4 - height / 2
    axes.set_yticks([row + middle for row in range(len(outcomes))])
    axes.set_yticklabels([scenario.name for scenario in outcomes])
    axes.invert_yaxis()
    axes.set_xlabel("calls answered with the first token in time, %")
    axes.legend(loc="lower left", fontsize=8)
    figure.tight_layout()
    PLOT_FOLDER.mkdir(exist_ok=True)
    figure.savefig(PLOT_FOLDER / "decisions.png", dpi=110)


def _mean_outcome(outcomes: list[ScenarioOutcome]) -> ScenarioOutcome:
    return ScenarioOutcome(*(mean(values) for values in zip(*outcomes, strict=True)))


def _format_value(field: str, value: float) -> str:
    if field in ("goodput_tokens_per_s", "retry_count"):
        return f"{value:,.0f}"
    if field in (
        "on_time_fraction",
        "others_on_time_fraction",
        "refused_fraction",
        "late_fraction",
    ):
        return f"{100 * value:.1f}%"
    return f"{value:.3f}" if field == "fairness_index" else f"{value:.2f}"


if __name__ == "__main__":
    main()
