"""``make demo``: checks a small fleet of processes, from manifest to burn report.

Exits with 0 only if every check passes. Starts and stops all processes itself.
"""

from __future__ import annotations

import sys
import time
from pathlib import Path
from typing import Any
from typing import NamedTuple

import click
import yaml

from tools.caller import Caller
from tools.caller import Reply
from tools.fleet import Fleet
from tools.fleet import compute_key_digest


_EXAMPLE_MANIFEST = Path(__file__).resolve().parent.parent / "examples" / "agencia.yaml"
_API_KEY = "demo-key-of-the-agency"
_SMALL_API_KEY = "demo-key-of-a-small-shop"
_BURST_REQUESTS = 8
_RANK_COUNT = 2
_EXPERT_COUNT = 8
_MAP_CHANGE_TIMEOUT_S = 40.0


class Check(NamedTuple):
    """An expectation of the demo and whether it was met."""

    description: str
    is_passed: bool


class Demo:
    """Runs the demo's steps and records their checks."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._checks: list[Check] = []
        self._traced_request_ids: list[str] = []
        self._caller = Caller(_API_KEY)
        self._rank_addresses: list[str] = []

    @property
    def failed_checks(self) -> list[str]:
        """Descriptions of the failed checks."""
        return [check.description for check in self._checks if not check.is_passed]

    def run(self) -> None:
        """Run every step."""
        self._start_fleet()
        self._check_completion()
        self._check_reservation()
        self._check_rate_limit()
        self._check_rebalancing()
        self._check_reports()
        self._check_graceful_stop()

    def _start_fleet(self) -> None:
        _print_line(
            "Starting the platform stand-in, three agents with servers, two entries."
        )
        _print_line("Two of the servers are the ranks of one expert-parallel group.")
        fleet = self._fleet
        _, self._rank_addresses = fleet.start_ranks(_RANK_COUNT, _EXPERT_COUNT)
        for rank, address in enumerate(self._rank_addresses):
            server_settings = {"rank": rank, "rank_url": f"http://{address}"}
            fleet.add_agent(
                f"parts-{rank + 1}", "parts-model", server_settings=server_settings
            )
        fleet.add_agent("portal-1", "exchange-portal", kind="service")
        fleet.add_entry("entry-1")
        fleet.add_entry("entry-2")
        submitted = fleet.submit_manifest(build_demo_manifest())
        _print_line(submitted.stdout.strip() or submitted.stderr.strip())
        self._record_check("the manifest is accepted", submitted.returncode == 0)
        fleet.wait_until_serving(
            _API_KEY, "/v1/completions", {"prompt": "ready?", "max_tokens": 1}
        )

    def _check_completion(self) -> None:
        _print_line("A streamed completion:")
        entry = self._fleet.entries["entry-1"].caller_address
        body = {"prompt": "Read tag 8130-3", "max_tokens": 12, "stream": True}
        reply = self._caller.call(entry, "/v1/completions", body)
        _print_reply(reply)
        self._check_reply("the stream is complete and ran", reply, 200, "ran")

    def _check_reservation(self) -> None:
        _print_line(
            "A part reservation, then the same one sent again at the other entry:"
        )
        body = {"part": "PN-4711", "quantity": 1}
        replies = [
            self._caller.call(
                entry.caller_address, "/v1/reservations", body, idempotency_key="demo-1"
            )
            for entry in self._fleet.entries.values()
        ]
        for reply in replies:
            _print_reply(reply)
            self._check_reply("the reservation ran", reply, 200, "ran")
        bodies = {reply.body for reply in replies if isinstance(reply, Reply)}
        self._record_check("both sends get the same answer", len(bodies) == 1)
        runs = self._fleet.get_run_counts("portal-1")
        self._record_check("it ran once", runs["by_idempotency_key"].get("demo-1") == 1)

    def _check_rate_limit(self) -> None:
        _print_line(f"A burst of {_BURST_REQUESTS} over a small allowance:")
        caller = Caller(_SMALL_API_KEY)
        entry = self._fleet.entries["entry-2"].caller_address
        body = {"prompt": "quote", "max_tokens": 4}
        replies = [
            caller.call(entry, "/v1/completions", body) for _ in range(_BURST_REQUESTS)
        ]
        statuses = [r.status for r in replies if isinstance(r, Reply)]
        _print_line(f"statuses {statuses}")
        refused = [r for r in replies if isinstance(r, Reply) and r.status == 429]
        self._record_check("some are answered", 200 in statuses)
        self._record_check("some are refused", bool(refused))
        for reply in refused[:1]:
            _print_reply(reply)
            self._check_reply("the refusal is not-run", reply, 429, "not-run")
            self._record_check("it says when to retry", "retry-after" in reply.headers)

    def _check_rebalancing(self) -> None:
        _print_line("Two experts of one rank become popular while callers stream:")
        before = self._fetch_step_record()
        switch = {"hot": [0, 1], "factor": 12.0}
        self._fleet.post_json(self._rank_addresses[0], "/test/switch", switch)
        entry = self._fleet.entries["entry-1"].caller_address
        body = {"prompt": "inspection", "max_tokens": 40, "stream": True}
        until = time.monotonic() + _MAP_CHANGE_TIMEOUT_S
        is_complete = True
        while time.monotonic() < until:
            reply = self._caller.call(entry, "/v1/completions", body)
            is_complete = (
                is_complete and isinstance(reply, Reply) and reply.outcome == "ran"
            )
            if len(self._fetch_step_record()["steps_by_map"]) > len(
                before["steps_by_map"]
            ):
                break
        after = self._fetch_step_record()
        _print_line(
            f"  {len(after['steps_by_map'])} maps over {after['steps']} steps, "
            f"longest stall {after['longest_stall_s']:.2f} s"
        )
        changed = len(after["steps_by_map"]) > len(before["steps_by_map"])
        self._record_check("the group runs on a new map", changed)
        self._record_check("no step was run on two maps", not after["mixed"])
        self._record_check("the streams meanwhile are complete", is_complete)

    def _fetch_step_record(self) -> dict[str, Any]:
        found: dict[str, Any] = self._fleet.get_json(
            self._rank_addresses[0], "/test/steps"
        )
        return found

    def _check_reports(self) -> None:
        platform = f"http://{self._fleet.platform_address}"
        for request_id in self._traced_request_ids:
            completed = self._fleet.run_command(
                "trace", request_id, "--platform", platform
            )
            _print_line(completed.stdout.strip() + completed.stderr.strip())
            self._record_check(
                f"the trace of {request_id} is complete", completed.returncode == 0
            )
        burn = self._fleet.run_command("report", "burn", "--platform", platform)
        _print_line(burn.stdout.strip() + burn.stderr.strip())
        self._record_check("the burn report is complete", burn.returncode == 0)

    def _check_graceful_stop(self) -> None:
        _print_line("Stopping every entry, then every agent, gracefully.")
        entries = [entry.process for entry in self._fleet.entries.values()]
        agents = [agent.process for agent in self._fleet.agents.values()]
        for processes in (entries, agents):
            for process in processes:
                process.terminate()
            codes = [process.wait() for process in processes]
            self._record_check("they stop with exit code 0", set(codes) == {0})

    def _check_reply(
        self, description: str, reply: object, status: int, outcome: str
    ) -> None:
        is_passed = (
            isinstance(reply, Reply)
            and reply.is_complete
            and reply.status == status
            and reply.outcome == outcome
        )
        if isinstance(reply, Reply):
            self._traced_request_ids.append(reply.request_id)
        self._record_check(description, is_passed)

    def _record_check(self, description: str, is_passed: bool) -> None:
        self._checks.append(Check(description, is_passed))
        _print_line(f"  {'ok' if is_passed else 'NOT OK'}: {description}")


def build_demo_manifest() -> dict[str, Any]:
    """Return the example manifest reduced to the demo's processes."""
    manifest: dict[str, Any] = yaml.safe_load(_EXAMPLE_MANIFEST.read_text())
    organisations = manifest["organisations"][:2]
    organisations[0]["key_digests"] = [compute_key_digest(_API_KEY)]
    organisations[1]["key_digests"] = [compute_key_digest(_SMALL_API_KEY)]
    organisations[1]["allowance"] = {
        "work_per_s": 50,
        "burst": 100,
        "concurrency": 2,
    }
    for group in manifest["groups"]:
        if group["name"] == "parts-model":
            group["experts"].update(
                ranks=_RANK_COUNT,
                experts=_EXPERT_COUNT,
                layers=1,
                slots=0,
                rebalance_every_s=1.0,
            )
    return {**manifest, "organisations": organisations}


def _print_line(text: str) -> None:
    click.echo(text)


def _print_reply(reply: object) -> None:
    if not isinstance(reply, Reply):
        _print_line(f"  no answer: {reply}")
        return
    text = reply.body.decode(errors="replace").strip()
    _print_line(f"  {reply.status} {reply.outcome} {reply.request_id}")
    _print_line("  " + text.replace("\n\n", " ")[:300])


def main() -> None:
    """Run the demo."""
    with Fleet({"leave_s": 2.0}) as fleet:
        demo = Demo(fleet)
        demo.run()
    if demo.failed_checks:
        _print_line("Failed checks: " + "; ".join(demo.failed_checks))
        sys.exit(1)
    _print_line("All checks passed.")


if __name__ == "__main__":
    main()
