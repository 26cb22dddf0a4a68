"""``make demo``: a small fleet of real processes, from a manifest to a burn report.

Exits with 0 only if each answer was what it should be. Every process is started and
ended here.
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


_EXAMPLE = Path(__file__).resolve().parent.parent / "examples" / "agencia.yaml"
_KEY = "demo-key-of-the-agency"
_SMALL_KEY = "demo-key-of-a-small-shop"
_BURST = 8
_RANKS = 2
_EXPERTS = 8
_REBALANCE_TIMEOUT_S = 40.0


class Check(NamedTuple):
    """One thing the demo expects."""

    description: str
    is_passed: bool


class Demo:
    """Runs the steps and keeps what was checked."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._checks: list[Check] = []
        self._traced: list[str] = []
        self._caller = Caller(_KEY)
        self._ranks: list[str] = []

    @property
    def failed_checks(self) -> list[str]:
        """What was not as it should be."""
        return [check.description for check in self._checks if not check.is_passed]

    def run(self) -> None:
        """Run every step."""
        self._start()
        self._complete()
        self._reserve()
        self._burst()
        self._rebalance()
        self._explain()
        self._stop()

    def _start(self) -> None:
        _say("Starting the platform stand-in, three agents with servers, two entries.")
        _say("Two of the servers are the ranks of one expert-parallel group.")
        fleet = self._fleet
        _, self._ranks = fleet.start_ranks(_RANKS, _EXPERTS)
        for rank, address in enumerate(self._ranks):
            at_rank = {"rank": rank, "rank_url": f"http://{address}"}
            fleet.add_agent(f"parts-{rank + 1}", "parts-model", server_settings=at_rank)
        fleet.add_agent("portal-1", "exchange-portal", kind="service")
        fleet.add_entry("entry-1")
        fleet.add_entry("entry-2")
        submitted = fleet.submit_manifest(build_demo_manifest())
        _say(submitted.stdout.strip() or submitted.stderr.strip())
        self._check("the manifest is accepted", submitted.returncode == 0)
        fleet.wait_until_serving(
            _KEY, "/v1/completions", {"prompt": "ready?", "max_tokens": 1}
        )

    def _complete(self) -> None:
        _say("A streamed completion:")
        entry = self._fleet.entries["entry-1"].caller_address
        body = {"prompt": "Read tag 8130-3", "max_tokens": 12, "stream": True}
        reply = self._caller.call(entry, "/v1/completions", body)
        _print(reply)
        self._expect("the stream is whole and ran", reply, 200, "ran")

    def _reserve(self) -> None:
        _say("A part reservation, then the same one sent again at the other entry:")
        body = {"part": "PN-4711", "quantity": 1}
        replies = [
            self._caller.call(
                entry.caller_address, "/v1/reservations", body, idempotency_key="demo-1"
            )
            for entry in self._fleet.entries.values()
        ]
        for reply in replies:
            _print(reply)
            self._expect("the reservation ran", reply, 200, "ran")
        bodies = {reply.body for reply in replies if isinstance(reply, Reply)}
        self._check("both sends get the same answer", len(bodies) == 1)
        runs = self._fleet.get_run_counts("portal-1")
        self._check("it ran once", runs["by_idempotency_key"].get("demo-1") == 1)

    def _burst(self) -> None:
        _say(f"A burst of {_BURST} over a small allowance:")
        caller = Caller(_SMALL_KEY)
        entry = self._fleet.entries["entry-2"].caller_address
        body = {"prompt": "quote", "max_tokens": 4}
        replies = [caller.call(entry, "/v1/completions", body) for _ in range(_BURST)]
        statuses = [r.status for r in replies if isinstance(r, Reply)]
        _say(f"statuses {statuses}")
        refused = [r for r in replies if isinstance(r, Reply) and r.status == 429]
        self._check("some are answered", 200 in statuses)
        self._check("some are refused", bool(refused))
        for reply in refused[:1]:
            _print(reply)
            self._expect("the refusal is not-run", reply, 429, "not-run")
            self._check("it says when to return", "retry-after" in reply.headers)

    def _rebalance(self) -> None:
        _say("Two experts of one rank become popular while callers stream:")
        before = self._steps()
        switch = {"hot": [0, 1], "factor": 12.0}
        self._fleet.post_json(self._ranks[0], "/test/switch", switch)
        entry = self._fleet.entries["entry-1"].caller_address
        body = {"prompt": "inspection", "max_tokens": 40, "stream": True}
        until = time.monotonic() + _REBALANCE_TIMEOUT_S
        whole = True
        while time.monotonic() < until:
            reply = self._caller.call(entry, "/v1/completions", body)
            whole = whole and isinstance(reply, Reply) and reply.outcome == "ran"
            if len(self._steps()["steps_by_map"]) > len(before["steps_by_map"]):
                break
        after = self._steps()
        _say(
            f"  {len(after['steps_by_map'])} maps over {after['steps']} steps, "
            f"longest stall {after['longest_stall_s']:.2f} s"
        )
        changed = len(after["steps_by_map"]) > len(before["steps_by_map"])
        self._check("the group runs on a map that fits better", changed)
        self._check("no step was run on two maps", not after["mixed"])
        self._check("the streams meanwhile are whole", whole)

    def _steps(self) -> dict[str, Any]:
        found: dict[str, Any] = self._fleet.get_json(self._ranks[0], "/test/steps")
        return found

    def _explain(self) -> None:
        platform = f"http://{self._fleet.platform_address}"
        for request_id in self._traced:
            told = self._fleet.run_command("trace", request_id, "--platform", platform)
            _say(told.stdout.strip() + told.stderr.strip())
            self._check(f"the story of {request_id} is whole", told.returncode == 0)
        burn = self._fleet.run_command("report", "burn", "--platform", platform)
        _say(burn.stdout.strip() + burn.stderr.strip())
        self._check("the burn report is whole", burn.returncode == 0)

    def _stop(self) -> None:
        _say("Stopping every entry, then every agent, gracefully.")
        entries = [entry.process for entry in self._fleet.entries.values()]
        agents = [agent.process for agent in self._fleet.agents.values()]
        for processes in (entries, agents):
            for process in processes:
                process.terminate()
            codes = [process.wait() for process in processes]
            self._check("they stop with exit code 0", set(codes) == {0})

    def _expect(self, what: str, reply: object, status: int, outcome: str) -> None:
        held = (
            isinstance(reply, Reply)
            and reply.is_complete
            and reply.status == status
            and reply.outcome == outcome
        )
        if isinstance(reply, Reply):
            self._traced.append(reply.request_id)
        self._check(what, held)

    def _check(self, what: str, held: bool) -> None:
        self._checks.append(Check(what, held))
        _say(f"  {'ok' if held else 'NOT OK'}: {what}")


def build_demo_manifest() -> dict[str, Any]:
    """Return the agency's example cut down to the demo's processes."""
    manifest: dict[str, Any] = yaml.safe_load(_EXAMPLE.read_text())
    organisations = manifest["organisations"][:2]
    organisations[0]["key_digests"] = [compute_key_digest(_KEY)]
    organisations[1]["key_digests"] = [compute_key_digest(_SMALL_KEY)]
    organisations[1]["allowance"] = {
        "work_per_s": 50,
        "burst": 100,
        "concurrency": 2,
    }
    for group in manifest["groups"]:
        if group["name"] == "parts-model":
            group["experts"].update(
                ranks=_RANKS, experts=_EXPERTS, layers=1, slots=0, rebalance_every_s=1.0
            )
    return {**manifest, "organisations": organisations}


def _say(text: str) -> None:
    click.echo(text)


def _print(reply: object) -> None:
    if not isinstance(reply, Reply):
        _say(f"  no answer: {reply}")
        return
    text = reply.body.decode(errors="replace").strip()
    _say(f"  {reply.status} {reply.outcome} {reply.request_id}")
    _say("  " + text.replace("\n\n", " ")[:300])


def main() -> None:
    """Run the demo."""
    with Fleet({"leave_s": 2.0}) as fleet:
        demo = Demo(fleet)
        demo.run()
    if demo.failed_checks:
        _say("Not as it should be: " + "; ".join(demo.failed_checks))
        sys.exit(1)
    _say("Every answer was what it should be.")


if __name__ == "__main__":
    main()
