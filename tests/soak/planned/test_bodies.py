"""Bodies of every size by seed, while entries are killed and stopped together."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import pytest

from tests.forwarding.fleet import wait_until
from tests.soak.planned.bodies import BodyCallerPool
from tests.soak.planned.bodies import BodyFleet
from tests.soak.planned.bodies import find_violations
from tests.soak.planned.bodies import inject_losses
from tests.soak.planned.endless_work import write_peak_memory
from tests.soak.planned.fleet import DEFAULT_ENTRY_COUNT


if TYPE_CHECKING:
    from pathlib import Path

SEEDS = (1, 2)
LOSS_COUNT = 5
START_TIMEOUT_S = 25.0


def run_seed(
    seed: int, folder: Path, entry_count: int = DEFAULT_ENTRY_COUNT
) -> list[str]:
    """Run one seed; return its violations and, if there are any, its faults."""
    fleet = BodyFleet(folder, entry_count)
    callers = BodyCallerPool(fleet, seed)
    done: list[str] = []
    try:
        wait_until(fleet.is_ready, START_TIMEOUT_S)
        callers.start()
        done = inject_losses(fleet, Random(seed), LOSS_COUNT)
        wait_until(fleet.is_ready, START_TIMEOUT_S)
    finally:
        callers.stop()
        fleet.wait_until_idle()
        fleet.stop()
    runs_by_entry = {one.name: one.runs for one in fleet.entries}
    write_peak_memory(folder, runs_by_entry)
    calls = callers.calls
    violations = find_violations(calls, fleet.list_requests(), runs_by_entry)
    statuses = {call.status for call in calls}
    if not {200, 503} <= statuses:
        violations.append(f"NOTHING SHOWN: only the statuses {sorted(statuses)}")
    return [*violations, *done] if violations else []


@pytest.mark.parametrize("seed", SEEDS)
def test_bodies_of_every_size_cost_no_entry_its_life(seed: int, tmp_path: Path) -> None:
    """Guards against entries that are killed for the memory of allowed bodies.

    Callers use a connection until it ends. Small requests are never refused for the
    memory of others, and no connection ends without an answer while its entry lives.
    """
    assert run_seed(seed, tmp_path) == []
