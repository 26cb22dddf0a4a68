"""Steps that send requests as callers and check the replies."""

from __future__ import annotations

import json
from typing import Any

import urllib3
from behave import given
from behave import then
from behave import when
from features.world import API_KEY
from features.world import COMPLETIONS_PATH
from features.world import RESERVATIONS_PATH
from features.world import BackgroundLoad
from tests.standins.engine_answers import build_streamed_answer
from tools.processes import wait_until


CONDITION_TIMEOUT_S = 20.0


@when('"{name}" reserves part "{part}" at {entry} with key "{key}"')
def start_reservation(context: Any, name: str, part: str, entry: str, key: str) -> None:
    """Start a request that may not be repeated."""
    body = {"part": part}
    context.world.start_call(name, entry, RESERVATIONS_PATH, body, idempotency_key=key)


@when(
    '"{name}" reserves part "{part}" at {entry} with key "{key}" within {seconds:d} s'
)
def start_reservation_with_deadline(
    context: Any, name: str, part: str, entry: str, key: str, seconds: int
) -> None:
    """Start a request that may not be repeated, with a deadline set by the caller."""
    context.world.start_call(
        name,
        entry,
        RESERVATIONS_PATH,
        {"part": part},
        idempotency_key=key,
        headers={"Kingcupwheel-Deadline": str(seconds)},
    )


@when('"{name}" streams {tokens:d} tokens from {entry}')
def start_stream(context: Any, name: str, tokens: int, entry: str) -> None:
    """Start a streamed completion."""
    body = {"prompt": name, "max_tokens": tokens, "stream": True}
    context.world.start_call(name, entry, COMPLETIONS_PATH, body)


@when('"{name}" completes "{prompt}" at {entry} with key "{key}"')
def start_completion(
    context: Any, name: str, prompt: str, entry: str, key: str
) -> None:
    """Start a completion without streaming, under an idempotency key."""
    body = {"prompt": prompt, "max_tokens": 5}
    context.world.start_call(name, entry, COMPLETIONS_PATH, body, idempotency_key=key)


@when('{count:d} streams "{prefix}" of {tokens:d} tokens are spread over the entries')
def start_streams(context: Any, count: int, prefix: str, tokens: int) -> None:
    """Start streams at all entries in turn."""
    entries = list(context.world.fleet.entries)
    for number in range(count):
        entry = entries[number % len(entries)]
        start_stream(context, f"{prefix}-{number}", tokens, entry)


@given("{streams:d} callers stream {tokens:d} tokens each without pause")
def start_load(context: Any, streams: int, tokens: int) -> None:
    """Start a background load that runs until it is stopped."""
    world = context.world
    world.background_load = BackgroundLoad(
        world, list(world.fleet.entries), streams, tokens
    )


@when("the callers use {names} only")
def use_entries(context: Any, names: str) -> None:
    """Send the background load to other entries."""
    context.world.background_load.set_entries(names.split(" and "))


@when("the callers stop")
def stop_load(context: Any) -> None:
    """Stop the background load and wait for its calls in progress."""
    context.world.background_load.stop()


@when('the run of key "{key}" has begun')
def wait_for_run(context: Any, key: str) -> None:
    """Wait until a backend server has counted the run."""
    world = context.world
    try:
        wait_until(
            lambda: world.count_runs_by_idempotency_key().get(key, 0) > 0,
            f"a run of {key}",
            CONDITION_TIMEOUT_S,
        )
    except TimeoutError as error:
        raise TimeoutError(
            f"{error}; replies so far: {world.get_finished_replies()}"
        ) from error


@when("{name} has {count:d} runs")
def wait_for_runs(context: Any, name: str, count: int) -> None:
    """Wait until the agent's backend server has started ``count`` runs."""
    fleet = context.world.fleet
    wait_until(
        lambda: sum(fleet.get_run_counts(name)["by_request_id"].values()) >= count,
        f"{count} runs at {name}",
        CONDITION_TIMEOUT_S,
    )


@when('the claim of key "{key}" exists')
def wait_for_claim(context: Any, key: str) -> None:
    """Wait until the platform stores a claim."""
    fleet = context.world.fleet
    wait_until(
        lambda: any(name.startswith("claims/") for name in fleet.list_object_keys()),
        f"a claim of {key}",
        CONDITION_TIMEOUT_S,
    )


@when("a caller leaves a stream of {tokens:d} tokens at {entry} after its first bytes")
def disconnect_from_stream(context: Any, tokens: int, entry: str) -> None:
    """Read the first bytes of a stream and close the connection."""
    body = {"prompt": "left", "max_tokens": tokens, "stream": True}
    response = urllib3.PoolManager(retries=False, timeout=20.0).request(
        "POST",
        f"http://{context.world.get_caller_address(entry)}{COMPLETIONS_PATH}",
        body=json.dumps(body),
        headers={"Authorization": f"Bearer {API_KEY}"},
        preload_content=False,
    )
    assert response.read1()
    response.close()


@then("nothing is under way at {entry} and {server}")
def check_idle(context: Any, entry: str, server: str) -> None:
    """Wait until neither the entry nor the engine has work in progress."""
    fleet = context.world.fleet
    operator_address = fleet.entries[entry].operator_address

    def is_idle() -> bool:
        status = fleet.get_json(operator_address, "/status")
        busy = [row for row in status["servers"] if row["in_flight"]]
        state = fleet.get_json(fleet.agents[server].server_address, "/engine/state")
        return not busy and not status["in_progress"] and not state["running"]

    wait_until(
        is_idle, f"nothing under way at {entry} and {server}", CONDITION_TIMEOUT_S / 2
    )


@then('"{name}" gets the whole answer')
def check_complete(context: Any, name: str) -> None:
    """Check for a complete answer of a backend server with outcome ``ran``."""
    reply = context.world.require_reply(name)
    assert reply.is_complete, reply
    assert reply.status == 200, reply
    assert reply.outcome == "ran", reply


@then('"{name}" and "{other}" get the same answer')
def check_same(context: Any, name: str, other: str) -> None:
    """Check that a retry got the first request's answer."""
    check_complete(context, name)
    check_complete(context, other)
    assert (
        context.world.require_reply(name).body
        == context.world.require_reply(other).body
    )


@then('"{name}" gets its {tokens:d} tokens')
def check_tokens(context: Any, name: str, tokens: int) -> None:
    """Check the whole stream byte by byte."""
    check_complete(context, name)
    expected = build_streamed_answer(name, tokens)
    assert context.world.require_reply(name).body == expected, (
        context.world.wait_for_reply(name)
    )


@then('all {count:d} streams "{prefix}" get their {tokens:d} tokens')
def check_streams(context: Any, count: int, prefix: str, tokens: int) -> None:
    """Check every stream byte by byte."""
    for number in range(count):
        check_tokens(context, f"{prefix}-{number}", tokens)


@then('"{name}" is told {status:d} with outcome {outcome}')
def check_refusal(context: Any, name: str, status: int, outcome: str) -> None:
    """Check the status and outcome of a refusal."""
    reply = context.world.require_reply(name)
    assert (reply.status, reply.outcome) == (status, outcome), reply


@then('"{name}" is told outcome {outcome}')
def check_outcome(context: Any, name: str, outcome: str) -> None:
    """Check the outcome, with any status."""
    reply = context.world.require_reply(name)
    assert reply.outcome == outcome, reply


@then('"{name}" is told by "{limit}"')
def check_refusal_reason(context: Any, name: str, limit: str) -> None:
    """Check the reason of a refusal."""
    reply = context.world.require_reply(name)
    assert reply.json["error"]["reason"] == limit, reply


@then('"{name}" is cut off and told outcome {outcome}')
def check_truncated(context: Any, name: str, outcome: str) -> None:
    """Check that a truncated answer can't be mistaken for a complete one.

    The last event carries the outcome, and the connection ends without the marker of
    a complete answer, for callers that check only one of them.
    """
    reply = context.world.require_reply(name)
    assert not reply.is_complete, reply
    assert reply.outcome == outcome, reply
