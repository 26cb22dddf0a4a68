"""Planned work on real entry processes and servers under traffic, by seed.

CI plays a few seeds; `python -m tests.soak.many --kind planned` plays fifty. The faults
of a seed, every call and arrival, and the processes' logs stay in the test's folder.
"""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import pytest

from tests.forwarding.fleet import wait_until
from tests.soak.planned.callers import KeepAliveCallerPool
from tests.soak.planned.faults import PlannedWorkInjector
from tests.soak.planned.fleet import PlannedFleet
from tests.soak.planned.invariants import ServerEnd
from tests.soak.planned.invariants import find_violations
from tests.soak.planned.records import join_records
from tests.soak.planned.stalls import StallMeter


if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

    from tests.soak.planned.records import RequestRecord

SEEDS = (1, 2)
FAULT_COUNT = 12
# After the last fault every entry is back and ready within this time, in seconds.
RECOVERY_TIMEOUT_S = 15.0
# Requests that must nearly all be served once the fleet has recovered.
FINAL_REQUEST_COUNT = 20


def run_seed(seed: int, folder: Path) -> list[str]:
    """Play one seed; return what must not be, and what was brought about."""
    meter = StallMeter()
    fleet = PlannedFleet(folder)
    callers = KeepAliveCallerPool(fleet, seed)
    planned = PlannedWorkInjector(fleet, Random(seed))
    try:
        wait_until(fleet.is_ready, RECOVERY_TIMEOUT_S)
        callers.start()
        planned.inject(FAULT_COUNT)
        wait_until(fleet.is_ready, RECOVERY_TIMEOUT_S)
        callers.stop()
        fleet.wait_until_idle()
        found = _check_recovery(callers)
    finally:
        callers.stop()
        fleet.stop()
        meter.stop()
    planned.event_log += [
        f"{stall.at - fleet.started_at:8.3f} s  the soak woke {stall.late_s:.3f} s late"
        for stall in meter.stalls
    ]
    arrivals = fleet.list_requests()
    lives_by_entry = {entry.name: entry.runs for entry in fleet.entries}
    planned.event_log += [
        f"{life.ended_at - fleet.started_at:8.3f} s  process of {name} has ended"
        for name, lives in lives_by_entry.items()
        for life in lives
        if life.ended_at is not None
    ]
    sent = join_records(callers.calls, arrivals, lives_by_entry)
    _write_record(folder, fleet, sent, planned.event_log)
    ends = [
        ServerEnd(server.shutdown_at, server.ended_at) for server in fleet.ended_servers
    ]
    found += find_violations(sent, arrivals, lives_by_entry, ends)
    return [*found, *planned.event_log] if found else []


def _check_recovery(callers: KeepAliveCallerPool) -> list[str]:
    """Return what is still wrong once every fault is over."""
    statuses = [callers.send_short_request() for _ in range(FINAL_REQUEST_COUNT)]
    bad = [status for status in statuses if status != 200]
    if len(bad) > FINAL_REQUEST_COUNT // 10:
        return [
            f"UNSERVED: after the faults {len(bad)} of {FINAL_REQUEST_COUNT}: {bad}"
        ]
    return []


def _write_record(
    folder: Path,
    fleet: PlannedFleet,
    sent: Iterable[RequestRecord],
    event_log: list[str],
) -> None:
    lines = [f"{one.call.sent_at - fleet.started_at:8.3f} s  {one}" for one in sent]
    text = "\n".join(sorted([*lines, *event_log])) + "\n"
    (folder / "record.txt").write_text(text, encoding="utf-8")


@pytest.mark.parametrize("seed", SEEDS)
def test_planned_work_loses_nothing_and_servers_get_the_rest_they_ask_for(
    seed: int, tmp_path: Path
) -> None:
    """Planned stops cut no answer; servers that leave or ask for rest are left alone.

    Entries are stopped alone, one after the other and all within one grace, stopped
    twice, killed and told to reload; servers leave, turn requests away, end, slow down
    and come back as new lives at their addresses.
    """
    assert run_seed(seed, tmp_path) == []
