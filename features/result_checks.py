"""Judges what callers were told, by the servers' own counters and by the traces."""

from __future__ import annotations

import json
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

from tools.caller import Reply


if TYPE_CHECKING:
    from features.world import World

_EXIT_INCOMPLETE = 7


def check_counters(world: World) -> None:
    """Check that no key ran twice and that every ``not-run`` is true."""
    by_key = world.count_runs_by_idempotency_key()
    doubled = {key: count for key, count in by_key.items() if count > 1}
    assert not doubled, doubled
    by_request = world.count_runs_by_request_id()
    for reply in world.replies:
        if isinstance(reply, Reply) and reply.outcome == "not-run":
            assert by_request.get(reply.request_id, 0) == 0, reply


def check_traces(world: World) -> None:
    """Check that each reply has one final outcome in its trace, or a stated gap."""
    named = [one for one in world.replies if isinstance(one, Reply) and one.request_id]
    with ThreadPoolExecutor(8) as pool:
        list(pool.map(lambda reply: _check_reply_trace(world, reply), named))


def _check_reply_trace(world: World, reply: Reply) -> None:
    platform = f"http://{world.fleet.platform_address}"
    told = world.fleet.run_command(
        "trace", reply.request_id, "--platform", platform, "--json"
    )
    assert told.returncode in (0, _EXIT_INCOMPLETE), (reply, told.stdout, told.stderr)
    story = json.loads(told.stdout)
    assert story["state"] != "contradictory", (reply, told.stdout)
    if told.returncode:
        assert story["gaps"], (reply, told.stdout)
    elif reply.outcome:
        assert story["outcome"] == reply.outcome, (reply, told.stdout)
