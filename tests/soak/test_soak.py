"""Random faults on real processes under traffic, by seed.

CI plays a few seeds; `python -m tests.soak.many` plays fifty. The faults of a seed and
the processes' logs stay in the test's folder; what is judged is only what callers got,
what servers ran and what ranks did.
"""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import pytest

from tests.forwarding.fleet import wait_until
from tests.soak.callers import CallerPool
from tests.soak.faults import FaultInjector
from tests.soak.fleet import SoakFleet
from tests.soak.invariants import find_violations


if TYPE_CHECKING:
    from pathlib import Path

SEEDS = (1, 2)
FAULT_COUNT = 20
# After the last fault every process is back and ready within this time, in seconds: a
# planned stop may take its grace, and a frozen process seven seconds more.
RECOVERY_TIMEOUT_S = 25.0
# Sends that must all be answered well once the fleet has recovered.
FINAL_REQUEST_COUNT = 20


def run_seed(seed: int, folder: Path) -> list[str]:
    """Play one seed; return what must not be, and what was brought about."""
    fleet = SoakFleet(folder)
    callers = CallerPool(fleet, seed)
    trouble = FaultInjector(fleet, Random(seed))
    try:
        wait_until(fleet.is_ready, RECOVERY_TIMEOUT_S)
        callers.start()
        trouble.inject(FAULT_COUNT)
        fleet.end_faults()
        wait_until(fleet.is_ready, RECOVERY_TIMEOUT_S)
        callers.stop()
        found = find_violations(fleet, callers.calls)
        found += _check_recovery(fleet, callers, Random(-seed))
    finally:
        callers.stop()
        fleet.stop()
    return [*found, *trouble.event_log] if found else []


def _check_recovery(fleet: SoakFleet, callers: CallerPool, draw: Random) -> list[str]:
    """Return what is still wrong once every fault is over."""
    found: list[str] = []
    step = fleet.group.step
    wait_until(lambda: fleet.group.step > step + 20, RECOVERY_TIMEOUT_S)
    last = [
        callers.send(f"last-{number}", draw) for number in range(FINAL_REQUEST_COUNT)
    ]
    bad = [call for call in last if call.answer.status not in (200, 401)]
    if len(bad) > FINAL_REQUEST_COUNT // 10:
        statuses = [call.answer.status for call in bad]
        found.append(
            f"after the faults {len(bad)} of {FINAL_REQUEST_COUNT} failed: {statuses}"
        )
    return found


@pytest.mark.parametrize("seed", SEEDS)
def test_whatever_happens_promises_hold_and_the_fleet_recovers(
    seed: int, tmp_path: Path
) -> None:
    """Callers see their own whole answers or a truthful refusal, and are served again.

    Processes are killed alone or together, frozen and stopped, ways to the store and
    to servers are cut, silenced and delayed, the store refuses some, servers lie, die
    and vanish, orders get lost, configurations change and a key goes.
    """
    assert run_seed(seed, tmp_path) == []
