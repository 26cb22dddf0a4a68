"""Checks the callers' outcomes against run counters and traces."""

from __future__ import annotations

import json
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

from tools.caller import Reply


if TYPE_CHECKING:
    from features.world import World

_EXIT_INCOMPLETE = 7


def check_counters(world: World) -> None:
    """Check that no idempotency key ran twice and no ``not-run`` request ran."""
    by_key = world.count_runs_by_idempotency_key()
    duplicated = {key: count for key, count in by_key.items() if count > 1}
    assert not duplicated, duplicated
    by_request_id = world.count_runs_by_request_id()
    for reply in world.replies:
        if isinstance(reply, Reply) and reply.outcome == "not-run":
            assert by_request_id.get(reply.request_id, 0) == 0, reply


def check_traces(world: World) -> None:
    """Check that each reply's trace has its final outcome or reports a gap."""
    traced = [
        reply
        for reply in world.replies
        if isinstance(reply, Reply) and reply.request_id
    ]
    with ThreadPoolExecutor(8) as pool:
        list(pool.map(lambda reply: _check_reply_trace(world, reply), traced))


def _check_reply_trace(world: World, reply: Reply) -> None:
    platform = f"http://{world.fleet.platform_address}"
    completed = world.fleet.run_command(
        "trace", reply.request_id, "--platform", platform, "--json"
    )
    assert completed.returncode in (0, _EXIT_INCOMPLETE), (
        reply,
        completed.stdout,
        completed.stderr,
    )
    story = json.loads(completed.stdout)
    assert story["state"] != "contradictory", (reply, completed.stdout)
    if completed.returncode:
        assert story["gaps"], (reply, completed.stdout)
    elif reply.outcome:
        assert story["outcome"] == reply.outcome, (reply, completed.stdout)
