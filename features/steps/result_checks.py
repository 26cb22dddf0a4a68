"""Steps that judge a whole scenario by the run counters and the traces."""

from __future__ import annotations

from typing import Any

from behave import then
from features.result_checks import check_counters
from tools.caller import Reply


@then('key "{key}" ran {count:d} times')
def check_runs_of_key(context: Any, key: str, count: int) -> None:
    """Compare the backend servers' own counters."""
    runs = context.world.count_runs_by_idempotency_key().get(key, 0)
    assert runs == count, runs


@then("no key ran twice and every not-run is true")
def check_counters_now(context: Any) -> None:
    """Check the servers' own counters now; each scenario ends with the same check."""
    context.world.wait_for_replies()
    check_counters(context.world)


@then("every load answer is whole or a true not-run")
def check_load(context: Any) -> None:
    """Check each answer of the load: nothing cut, nothing lost, nothing false."""
    world = context.world
    results = world.background_load.results
    by_request = world.count_runs_by_request_id()
    answered = 0
    for reply, expected in results:
        if not isinstance(reply, Reply):
            # Nobody listened: the request never reached an entry.
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
    """Check that refusals stay the exception."""
    results = context.world.background_load.results
    answered = [r for r, _ in results if isinstance(r, Reply) and r.status == 200]
    assert len(answered) * 100 >= percent * len(results), (len(answered), len(results))


@then('none of {count:d} streams "{prefix}" was placed on {server}')
def check_not_placed(context: Any, count: int, prefix: str, server: str) -> None:
    """Look in the entry's own records where each request was placed."""
    world = context.world
    platform = f"http://{world.fleet.platform_address}"
    for number in range(count):
        request_id = world.require_reply(f"{prefix}-{number}").request_id
        told = world.fleet.run_command("trace", request_id, "--platform", platform)
        assert "Placed on" in told.stdout, told
        assert f"Placed on {server} " not in told.stdout, told.stdout
