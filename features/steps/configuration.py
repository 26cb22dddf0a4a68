"""Steps that change the configuration as operators and check its adoption."""

from __future__ import annotations

import copy
import json
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from behave import given
from behave import then
from behave import when
from features.world import API_KEY
from features.world import World
from features.world import build_manifest
from tools.caller import Caller
from tools.caller import Reply
from tools.processes import wait_until


ADOPTION_TIMEOUT_S = 7.0
SERVED_TIMEOUT_S = 15.0
EXIT_CONFLICT = 4


def _build_manifest_with_path(path: str) -> dict[str, Any]:
    changed = copy.deepcopy(build_manifest())
    changed["routes"].append({"path": path, "group": "parts-model"})
    return changed


def _fetch_manifest_status(world: World) -> dict[str, Any]:
    platform = f"http://{world.fleet.platform_address}"
    completed = world.fleet.run_command(
        "manifest", "status", "--platform", platform, "--json"
    )
    found: dict[str, Any] = json.loads(completed.stdout)
    return found


@when("two operators submit different manifests for the version they both saw")
def submit_concurrently(context: Any) -> None:
    """Submit two manifests concurrently, both for the current version."""
    world = context.world
    seen = str(_fetch_manifest_status(world)["version"])
    with ThreadPoolExecutor(2) as pool:
        context.submissions = list(
            pool.map(
                lambda path: world.fleet.submit_manifest(
                    _build_manifest_with_path(path), "--expect", seen
                ),
                ("/v1/red", "/v1/blue"),
            )
        )


@then("one is accepted and the other is told that it lost the race")
def check_one_accepted(context: Any) -> None:
    """Check the exit codes and the reason given for the rejected submission."""
    codes = sorted(submission.returncode for submission in context.submissions)
    assert codes == [0, EXIT_CONFLICT], context.submissions
    rejected = next(
        submission for submission in context.submissions if submission.returncode
    )
    assert "version" in rejected.stderr, rejected


@when('an operator submits a manifest in which "{path}" leads to the engines')
def submit_manifest_with_path(context: Any, path: str) -> None:
    """Submit the scenarios' manifest with a route added."""
    context.submitted = context.world.fleet.submit_manifest(
        _build_manifest_with_path(path)
    )


@when('an operator submits a manifest for the version seen, with path "{path}"')
def submit_manifest_for_seen_version(context: Any, path: str) -> None:
    """Submit a manifest that is rejected if the seen version is no longer current."""
    world = context.world
    seen = str(_fetch_manifest_status(world)["version"])
    context.submitted = world.fleet.submit_manifest(
        _build_manifest_with_path(path), "--expect", seen
    )


@when("an operator submits a manifest without the organisation")
def submit_manifest_without_organisation(context: Any) -> None:
    """Submit the scenarios' manifest without the callers' organisation."""
    changed = build_manifest()
    del changed["organisations"][0]
    context.submitted = context.world.fleet.submit_manifest(changed)


@then("the submission is accepted")
def check_accepted(context: Any) -> None:
    """Check the exit code."""
    assert context.submitted.returncode == 0, context.submitted


@then("every process is on the accepted version within 7 s")
def check_adopted(context: Any) -> None:
    """Wait until ``manifest status`` reports the version at every process."""
    fleet = context.world.fleet
    arguments = ("manifest", "status", "--platform", f"http://{fleet.platform_address}")
    wait_until(
        lambda: fleet.run_command(*arguments).returncode == 0,
        "every process on the accepted version",
        ADOPTION_TIMEOUT_S,
    )


@then('path "{path}" is served by {entry}')
@when('{entry} already serves path "{path}"')
def check_served(context: Any, path: str, entry: str) -> None:
    """Wait until a request to the path is answered."""
    world = context.world
    wait_until(
        lambda: _fetch_response_status(world, entry, path) == 200,
        f"{path} at {entry}",
        SERVED_TIMEOUT_S,
    )


@then('only path "{path}" is served by {entry}, not "{other}"')
def check_served_only(context: Any, path: str, entry: str, other: str) -> None:
    """Check that the latest manifest replaced the earlier one completely."""
    check_served(context, path, entry)
    assert _fetch_response_status(context.world, entry, other) == 404


def _fetch_response_status(world: World, entry: str, path: str) -> int:
    body = {"prompt": "hello", "max_tokens": 1}
    reply = Caller(API_KEY).call(world.get_caller_address(entry), path, body)
    return reply.status if isinstance(reply, Reply) else 0


@given("an entry that reaches the platform through a relay")
def add_relayed_entry(context: Any) -> None:
    """Start an entry that reaches the platform through a relay."""
    world = context.world
    control, address = world.fleet.add_relay(
        "platform-relay", world.fleet.platform_address
    )
    context.platform_relay = control
    world.fleet.add_entry("entry-relayed", platform=address)
    check_served(context, "/v1/completions", "entry-relayed")


@when("the relay to the platform is set to {mode}")
def set_platform_relay(context: Any, mode: str) -> None:
    """Set the mode of the relay between the entry and the platform."""
    context.world.fleet.set_relay_mode(context.platform_relay, mode)


@when("a fresh entry starts with {first} and {second} as seeds")
def add_fresh_entry(context: Any, first: str, second: str) -> None:
    """Start an entry with two peers as seed addresses."""
    fleet = context.world.fleet
    seeds = (fleet.entries[first].address, fleet.entries[second].address)
    fleet.add_entry("entry-fresh", seeds=seeds)
