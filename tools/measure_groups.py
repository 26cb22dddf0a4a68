"""Measures the cost of coordinating a group, and the stall when its coordinator fails.

``python -m tools.measure_groups --output FILE`` runs real agents, hubs and ranks and
the fake platform of the tests, all in one process with the default timings.
"""

from __future__ import annotations

import time
from pathlib import Path
from typing import TYPE_CHECKING

import click
from tests.expertmaps.fleet import Fleet
from tests.standins.ranks import RankSwitch

from kingcupwheel.expertmaps.phases import Preparing
from kingcupwheel.expertmaps.service import DEFAULT_SERVICE_TIMINGS
from kingcupwheel.manifest.schema import ExpertLayout


if TYPE_CHECKING:
    from tests.expertmaps.fleet import Agent

GROUP_SIZES = (8, 16, 32)
LAYER_COUNT = 32
WINDOW_S = 20.0
# With steps of 20 ms the cost of 32 stand-in ranks in this process does not distort the
# measurement.
STEP_S = 0.02
RUNS_PER_KIND = 4


def build_layout(ranks: int, *, layers: int, every_s: float) -> ExpertLayout:
    """Return the layout of a group with 4 experts and 5 slots per rank and layer."""
    return ExpertLayout(
        ranks=ranks,
        experts=4 * ranks,
        layers=layers,
        slots=5,
        skew_weight=4.0,
        rebalance_every_s=every_s,
    )


def wait_for_coordinator(fleet: Fleet) -> Agent:
    """Wait until a coordinator has been elected and its group runs steps."""
    fleet.wait_until(lambda: fleet.coordinating_agent is not None)
    fleet.wait_for_steps()
    assert fleet.coordinating_agent is not None
    return fleet.coordinating_agent


def measure_idle_traffic_row(ranks: int) -> str:
    """Return the table row of an idle group's control traffic.

    Its columns are the bytes per second of the coordinator and of another agent, and
    the platform calls per second.
    """
    fleet = Fleet(
        layout=build_layout(ranks, layers=LAYER_COUNT, every_s=10.0),
        timings=DEFAULT_SERVICE_TIMINGS,
        step_s=STEP_S,
    )
    fleet.start()
    try:
        coordinator = wait_for_coordinator(fleet)
        other_agent = next(agent for agent in fleet.agents if agent is not coordinator)
        time.sleep(WINDOW_S / 2)
        traffic_before = coordinator.hub.traffic, other_agent.hub.traffic
        platform_calls = fleet.platform.calls
        time.sleep(WINDOW_S)
        traffic_after = coordinator.hub.traffic, other_agent.hub.traffic
        platform_calls = fleet.platform.calls - platform_calls
    finally:
        fleet.stop()
    rates = [
        (new.bytes_in + new.bytes_out - old.bytes_in - old.bytes_out) / WINDOW_S
        for old, new in zip(traffic_before, traffic_after, strict=True)
    ]
    return (
        f"| {ranks} | {rates[0]:.0f} | {rates[1]:.0f} "
        f"| {platform_calls / WINDOW_S:.2f} |"
    )


def measure_stall(failure: str) -> float:
    """Return the longest stall when a coordinator fails between prepare and commit.

    ``failure`` is "kill" or "freeze".
    """
    fleet = Fleet(
        layout=build_layout(4, layers=2, every_s=1.0), timings=DEFAULT_SERVICE_TIMINGS
    )
    fleet.start()
    try:
        coordinator = wait_for_coordinator(fleet)
        coordinator.freeze_condition = lambda phase: (
            isinstance(phase, Preparing) and bool(phase.acked)
        )
        with fleet.group.lock:
            switch = RankSwitch(hot=(0, 4), factor=8.0)
            fleet.group.apply_switch(fleet.group.ranks[0], switch)
        fleet.wait_until(lambda: not coordinator.running.is_set())
        coordinator.freeze_condition = lambda _: False
        if failure == "kill":
            coordinator.kill()
        others = [agent for agent in fleet.agents if agent is not coordinator]
        fleet.wait_until(lambda: any(agent.service.is_coordinating for agent in others))
        if failure == "kill":
            fleet.replace(coordinator)
        coordinator.resume()
        fleet.wait_for_steps(200)
        report = fleet.group.build_step_report()
        assert report.mixed == []
        return report.longest_stall_s
    finally:
        fleet.stop()


@click.command()
@click.option("--output", type=click.Path(path_type=Path), required=True)
def main(output: Path) -> None:
    """Write the tables to OUTPUT."""
    lines = [
        f"Idle control traffic, {LAYER_COUNT} layers, 5 slots a rank, "
        f"loads every 10 s:",
        "",
        "| ranks | leader bytes/s | other agent bytes/s | platform calls/s |",
        "|---|---|---|---|",
        *(measure_idle_traffic_row(ranks) for ranks in GROUP_SIZES),
        "",
        "Longest stall when the coordinator is lost between prepare and commit:",
        "",
        "| how | stalls, s |",
        "|---|---|",
        *(
            f"| {kind} | "
            f"{', '.join(f'{measure_stall(kind):.2f}' for _ in range(RUNS_PER_KIND))}"
            f" |"
            for kind in ("kill", "freeze")
        ),
    ]
    output.write_text("\n".join(lines) + "\n")


if __name__ == "__main__":
    main()
