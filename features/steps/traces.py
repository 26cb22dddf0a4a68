"""Steps that read the trace of a request by the command line."""

from __future__ import annotations

import json
from typing import Any

from behave import then
from behave import when
from tools.processes import wait_until


BATCH_TIMEOUT_S = 20.0
EXIT_COMPLETE = 0
EXIT_INCOMPLETE = 7


@when('every process of "{name}" is {action}')
def end_processes(context: Any, name: str, action: str) -> None:
    """Stop all entries and agents, gracefully or by SIGKILL."""
    fleet = context.world.fleet
    processes = [
        daemon.process for daemon in (*fleet.entries.values(), *fleet.agents.values())
    ]
    for process in processes:
        if action == "killed":
            process.kill()
        else:
            process.terminate()
            assert process.wait() == 0


@when('the entry of "{name}" is killed at once')
def kill_entry(context: Any, name: str) -> None:
    """Kill the entry that accepted the request."""
    entry = context.world.require_reply(name).request_id.rsplit(".", 2)[0]
    context.world.fleet.entries[entry].process.kill()


@when('the batches of "{name}" are on the platform')
def wait_for_batches(context: Any, name: str) -> None:
    """Wait until both parts can be read from the platform, without live processes."""
    wait_until(
        lambda: _fetch_trace(context, name, "--timeout", "0")[0] == EXIT_COMPLETE,
        "the story from batches",
        BATCH_TIMEOUT_S,
    )


@then('the story of "{name}" is whole, from batches, with outcome {outcome}')
def check_complete_trace(context: Any, name: str, outcome: str) -> None:
    """Check the outcome and that both parts came complete from batches."""
    code, story = _fetch_trace(context, name)
    assert code == EXIT_COMPLETE, story
    assert story["outcome"] == outcome, story
    assert [part["source"] for part in story["parts"]] == ["batches"] * 2, story
    assert all(part["events"] for part in story["parts"]), story


@then('the story of "{name}" says that {entry} is missing and the agent\'s attempt ran')
def check_entry_missing(context: Any, name: str, entry: str) -> None:
    """Check that the caller's outcome is missing and the gaps say why."""
    code, story = _fetch_trace(context, name)
    assert code == EXIT_INCOMPLETE, story
    assert (story["state"], story["outcome"]) == ("outcome-missing", ""), story
    gaps = " ".join(story["gaps"])
    assert f"What {entry} told the caller is missing." in gaps, story
    assert "its attempt ended as ran" in gaps, story


@then(
    'the story of "{name}" by address tells outcome {outcome} and names {agent} as '
    "missing"
)
def check_trace_by_address(context: Any, name: str, outcome: str, agent: str) -> None:
    """Check a trace that is read with the entry's address given."""
    entry = context.world.fleet.entries["entry-1"]
    code, story = _fetch_trace(context, name, "--address", f"entry-1={entry.address}")
    assert code == EXIT_INCOMPLETE, story
    assert story["outcome"] == outcome, story
    assert any(f"Part of {agent}'s account" in gap for gap in story["gaps"]), story


@then('the story by key "{key}" is that of "{name}" and one agent tells that it ran')
def check_trace_by_key(context: Any, key: str, name: str) -> None:
    """Check a trace that is found by idempotency key and organisation."""
    code, story = _run_trace_command(
        context, "--idempotency-key", key, "--organisation", "agency"
    )
    assert code == EXIT_INCOMPLETE, story
    assert story["request_id"] == context.world.require_reply(name).request_id, story
    answering = [part["process"] for part in story["parts"] if part["events"]]
    assert len(story["parts"]) == 2, story
    assert len(answering) == 1, story
    assert "its attempt ended as ran" in " ".join(story["gaps"]), story


def _fetch_trace(context: Any, name: str, *options: str) -> tuple[int, Any]:
    return _run_trace_command(
        context, context.world.require_reply(name).request_id, *options
    )


def _run_trace_command(context: Any, *options: str) -> tuple[int, Any]:
    fleet = context.world.fleet
    platform = f"http://{fleet.platform_address}"
    completed = fleet.run_command("trace", "--platform", platform, "--json", *options)
    assert completed.stdout, completed.stderr
    return completed.returncode, json.loads(completed.stdout)
