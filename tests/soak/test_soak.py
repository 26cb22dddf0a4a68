"""Random faults on real processes under traffic, by seed.

CI runs two seeds, `python -m tests.soak.many` runs 50. The test's folder keeps the logs
of the processes. The checks use only the callers' answers, the requests that servers
ran and the steps of the ranks.
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
# Every entry is ready again within this time after the last fault: a planned stop may
# take its grace period, and a frozen process seven seconds more.
RECOVERY_TIMEOUT_S = 25.0
# Requests sent after the recovery; at most a tenth of them may fail.
FINAL_REQUEST_COUNT = 20


def run_seed(seed: int, folder: Path) -> list[str]:
    """Run one seed; return its violations and, if there are any, its faults."""
    fleet = SoakFleet(folder)
    callers = CallerPool(fleet, seed)
    injector = FaultInjector(fleet, Random(seed))
    try:
        wait_until(fleet.is_ready, RECOVERY_TIMEOUT_S)
        callers.start()
        injector.inject(FAULT_COUNT)
        fleet.end_faults()
        wait_until(fleet.is_ready, RECOVERY_TIMEOUT_S)
        callers.stop()
        violations = find_violations(fleet, callers.calls)
        violations += _check_recovery(fleet, callers, Random(-seed))
    finally:
        callers.stop()
        fleet.stop()
    return [*violations, *injector.event_log] if violations else []


def _check_recovery(fleet: SoakFleet, callers: CallerPool, rng: Random) -> list[str]:
    """Return a sentence for each fault that persists after the injection."""
    violations: list[str] = []
    step = fleet.group.step
    wait_until(lambda: fleet.group.step > step + 20, RECOVERY_TIMEOUT_S)
    last = [
        callers.send(f"last-{number}", rng) for number in range(FINAL_REQUEST_COUNT)
    ]
    failed = [call for call in last if call.answer.status not in (200, 401)]
    if len(failed) > FINAL_REQUEST_COUNT // 10:
        statuses = [call.answer.status for call in failed]
        violations.append(
            f"after the faults {len(failed)} of {FINAL_REQUEST_COUNT} failed: "
            f"{statuses}"
        )
    return violations


@pytest.mark.parametrize("seed", SEEDS)
def test_whatever_happens_promises_hold_and_the_fleet_recovers(
    seed: int, tmp_path: Path
) -> None:
    """Checks the invariants of requests under random faults, and the recovery.

    Each caller gets the complete answer to its own request or a correct refusal.
    Processes are killed alone or together, frozen and stopped; links to the store and
    to servers are closed, frozen and delayed; the store refuses some calls; servers
    answer wrongly, end and disappear; orders are lost; the configuration changes and a
    key is revoked.
    """
    assert run_seed(seed, tmp_path) == []
