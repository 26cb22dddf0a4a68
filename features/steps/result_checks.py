"""Steps that check a scenario's results against run counters and traces."""

from __future__ import annotations

from typing import Any

from behave import then
from features.result_checks import check_counters
from tools.caller import Reply


@then('key "{key}" ran {count:d} times')
def check_runs_of_key(context: Any, key: str, count: int) -> None:
    """Check the key's run count in the backend servers' counters."""
    runs = context.world.count_runs_by_idempotency_key().get(key, 0)
    assert runs == count, runs


@then("no key ran twice and every not-run is true")
def check_counters_now(context: Any) -> None:
    """Check the servers' counters now; every scenario also ends with this check."""
    context.world.wait_for_replies()
    check_counters(context.world)


@then("every load answer is whole or a true not-run")
def check_load(context: Any) -> None:
    """Check that each load call was answered completely or truly not run."""
    world = context.world
    results = world.background_load.results
    by_request = world.count_runs_by_request_id()
    answered = 0
    for reply, expected in results:
        if not isinstance(reply, Reply):
            # Connection refused: the request never reached an entry.
            assert "refused" in reply.detail, reply
            continue
        if reply.status == 503:
            assert reply.outcome == "not-run", reply
            assert by_request.get(reply.request_id, 0) == 0, reply
            continue
        assert (reply.status, reply.is_complete, reply.outcome) == (200, True, "ran"), (
            reply
        )
        assert reply.body == expected, reply
        answered += 1
    assert answered > 0
    print(f"load: {len(results)} calls, {answered} whole answers")


@then("at least {percent:d} in 100 load calls are answered")
def check_answered_percentage(context: Any, percent: int) -> None:
    """Check the percentage of answered load calls."""
    results = context.world.background_load.results
    answered = [r for r, _ in results if isinstance(r, Reply) and r.status == 200]
    assert len(answered) * 100 >= percent * len(results), (len(answered), len(results))


@then('none of {count:d} streams "{prefix}" was placed on {server}')
def check_not_placed(context: Any, count: int, prefix: str, server: str) -> None:
    """Check in each request's trace that it was placed elsewhere."""
    world = context.world
    platform = f"http://{world.fleet.platform_address}"
    for number in range(count):
        request_id = world.require_reply(f"{prefix}-{number}").request_id
        completed = world.fleet.run_command("trace", request_id, "--platform", platform)
        assert "Placed on" in completed.stdout, completed
        assert f"Placed on {server} " not in completed.stdout, completed.stdout
