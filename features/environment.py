"""Behave hooks: check each passed scenario's counters and traces, stop its fleet."""

from __future__ import annotations

from typing import Any

from features.result_checks import check_counters
from features.result_checks import check_traces


def after_scenario(context: Any, scenario: Any) -> None:
    """Check the counters and traces of every passed scenario, then stop the fleet.

    A failed check fails the scenario. The logs of a failed scenario are printed.
    """
    world = getattr(context, "world", None)
    if world is None:
        return
    try:
        if scenario.status.name == "passed":
            _check_promises(world)
    except BaseException:
        world.print_logs()
        raise
    finally:
        if scenario.status.name != "passed":
            world.print_logs()
        world.close()


def _check_promises(world: Any) -> None:
    world.wait_for_replies()
    world.fleet.set_platform_faults(
        outage="off", slow_answer_s=0, lose_answers=0, stale=0
    )
    check_counters(world)
    check_traces(world)
