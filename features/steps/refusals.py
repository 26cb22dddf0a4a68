"""Steps for refusals and for the visibility of requests."""

from __future__ import annotations

import copy
import json
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import urllib3
from behave import then
from behave import when
from features.world import API_KEY
from features.world import COMPLETIONS_PATH
from features.world import OTHER_API_KEY
from features.world import build_manifest
from tools.caller import Caller
from tools.caller import Reply
from tools.processes import wait_until


BODY_BY_NAME = {f"{size} MB": b"x" * size * 1_000_000 for size in (3, 5)}
HEADER_BY_NAME = {"20 KB": "x" * 20_000}
API_KEY_BY_NAME = {"own": API_KEY, "wrong": "no such key"}
ADOPTION_TIMEOUT_S = 7.0


@then("these requests to {entry} are refused as not-run")
def check_refusals(context: Any, entry: str) -> None:
    """Send each row's request and check its status, reason and outcome."""
    http = urllib3.PoolManager(retries=False, timeout=20.0)
    before = context.world.count_runs_by_request_id()
    for row in context.table:
        headers = {}
        if row["key"]:
            headers["Authorization"] = f"Bearer {API_KEY_BY_NAME[row['key']]}"
        if row["header"]:
            name, _, value = row["header"].partition(": ")
            headers[name] = HEADER_BY_NAME.get(value, value)
        body = BODY_BY_NAME.get(row["body"], row["body"].encode())
        url = f"http://{context.world.get_caller_address(entry)}{row['path']}"
        reply = http.request(row["method"], url, body=body or None, headers=headers)
        error = json.loads(reply.data)["error"]
        seen = (reply.status, error["reason"], error["outcome"])
        assert seen == (int(row["status"]), row["reason"], "not-run"), (row, seen)
    assert context.world.count_runs_by_request_id() == before


def _fetch_request_page(context: Any, entry: str, name: str, api_key: str) -> Reply:
    request_id = context.world.require_reply(name).request_id
    path = f"/kingcupwheel/v1/requests/{request_id}"
    reply = Caller(api_key).call(
        context.world.get_caller_address(entry), path, method="GET"
    )
    assert isinstance(reply, Reply), reply
    return reply


@then('its organisation reads what became of "{name}" at {entry}')
def check_own_request_found(context: Any, name: str, entry: str) -> None:
    """Check the request's page with the key that sent the request."""
    reply = _fetch_request_page(context, entry, name, API_KEY)
    assert reply.status == 200, reply
    assert reply.json["outcome"] == "ran", reply
    assert reply.json["story"], reply


@then('another organisation does not find "{name}" at {entry}')
def check_foreign_request_hidden(context: Any, name: str, entry: str) -> None:
    """Check that another organisation's key gets 404 for the request's page."""
    assert _fetch_request_page(context, entry, name, OTHER_API_KEY).status == 404


@then('operators find "{name}" at {entry} and see it healthy')
def check_operator_pages(context: Any, name: str, entry: str) -> None:
    """Check the operator pages, which need no key and have their own address."""
    fleet = context.world.fleet
    operator_address = fleet.entries[entry].operator_address
    request_id = context.world.require_reply(name).request_id
    assert fleet.get_json(operator_address, f"/trace/{request_id}")
    assert fleet.get_json(operator_address, "/health") == {"healthy": True, "why": ""}
    assert fleet.get_json(operator_address, "/status")["servers"]


@when(
    "the first organisation sends {count:d} requests at once with an allowance of "
    "{allowance:d}"
)
def start_burst(context: Any, count: int, allowance: int) -> None:
    """Limit the first organisation's concurrency, then exceed it."""
    world = context.world
    changed = copy.deepcopy(build_manifest())
    changed["organisations"][0]["allowance"] = {"concurrency": allowance}
    assert world.fleet.submit_manifest(changed).returncode == 0
    arguments = (
        "manifest",
        "status",
        "--platform",
        f"http://{world.fleet.platform_address}",
    )
    wait_until(
        lambda: world.fleet.run_command(*arguments).returncode == 0,
        "in force",
        ADOPTION_TIMEOUT_S,
    )
    context.pool = ThreadPoolExecutor(count)
    context.flood = [
        context.pool.submit(_send_completion, world, API_KEY) for _ in range(count)
    ]


def _send_completion(world: Any, api_key: str) -> Reply:
    body = {"prompt": "hello", "max_tokens": 50}
    reply = Caller(api_key).call(
        world.get_caller_address("entry-1"), COMPLETIONS_PATH, body
    )
    assert isinstance(reply, Reply), reply
    return reply


@when("the other organisation sends {count:d} requests meanwhile")
def send_other_requests(context: Any, count: int) -> None:
    """Send the other organisation's requests one after the other."""
    context.others = [
        _send_completion(context.world, OTHER_API_KEY) for _ in range(count)
    ]
    context.flooded = [future.result() for future in context.flood]
    context.pool.shutdown()


@then("the flood has answers and refusals, each refusal with a time to come back")
def check_burst_replies(context: Any) -> None:
    """Check that some requests were answered and the rest refused."""
    refused = [reply for reply in context.flooded if reply.status == 429]
    answered = [reply for reply in context.flooded if reply.status == 200]
    assert answered, context.flooded
    assert refused, context.flooded
    assert len(answered) + len(refused) == len(context.flooded), context.flooded
    assert all("retry-after" in reply.headers for reply in refused), refused


@then("all requests of the other organisation are answered")
def check_other_requests_answered(context: Any) -> None:
    """Check that the burst did not affect the other organisation."""
    assert {reply.status for reply in context.others} == {200}, context.others
