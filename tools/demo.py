"""``make demo``: a small fleet of real processes, from a manifest to a burn report.

Exits with 0 only if each answer was what it should be. Every process is started and
ended here.
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any
from typing import NamedTuple

import click
import yaml

from tools.caller import Caller
from tools.caller import Reply
from tools.fleet import Fleet
from tools.fleet import key_digest


_EXAMPLE = Path(__file__).resolve().parent.parent / "examples" / "agencia.yaml"
_KEY = "demo-key-of-the-agency"
_SMALL_KEY = "demo-key-of-a-small-shop"
_BURST = 8


class Check(NamedTuple):
    """One thing the demo expects."""

    what: str
    held: bool


class Demo:
    """Runs the steps and keeps what was checked."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._checks: list[Check] = []
        self._traced: list[str] = []
        self._caller = Caller(_KEY)

    @property
    def failed(self) -> list[str]:
        """What was not as it should be."""
        return [check.what for check in self._checks if not check.held]

    def run(self) -> None:
        """Run every step."""
        self._start()
        self._complete()
        self._reserve()
        self._burst()
        self._explain()
        self._stop()

    def _start(self) -> None:
        _say("Starting the platform stand-in, three agents with servers, two entries.")
        fleet = self._fleet
        fleet.add_agent("parts-1", "parts-model")
        fleet.add_agent("parts-2", "parts-model")
        fleet.add_agent("portal-1", "exchange-portal", kind="service")
        fleet.add_entry("entry-1")
        fleet.add_entry("entry-2")
        submitted = fleet.submit(demo_manifest())
        _say(submitted.stdout.strip() or submitted.stderr.strip())
        self._check("the manifest is accepted", submitted.returncode == 0)
        fleet.wait_ready(_KEY, "/v1/completions", {"prompt": "ready?", "max_tokens": 1})

    def _complete(self) -> None:
        _say("A streamed completion:")
        entry = self._fleet.entries["entry-1"].http
        body = {"prompt": "Read tag 8130-3", "max_tokens": 12, "stream": True}
        reply = self._caller.call(entry, "/v1/completions", body)
        _print(reply)
        self._expect("the stream is whole and ran", reply, 200, "ran")

    def _reserve(self) -> None:
        _say("A part reservation, then the same one sent again at the other entry:")
        body = {"part": "PN-4711", "quantity": 1}
        replies = [
            self._caller.call(
                entry.http, "/v1/reservations", body, idempotency_key="demo-1"
            )
            for entry in self._fleet.entries.values()
        ]
        for reply in replies:
            _print(reply)
            self._expect("the reservation ran", reply, 200, "ran")
        bodies = {reply.body for reply in replies if isinstance(reply, Reply)}
        self._check("both sends get the same answer", len(bodies) == 1)
        runs = self._fleet.runs("portal-1")
        self._check("it ran once", runs["by_idempotency_key"].get("demo-1") == 1)

    def _burst(self) -> None:
        _say(f"A burst of {_BURST} over a small allowance:")
        caller = Caller(_SMALL_KEY)
        entry = self._fleet.entries["entry-2"].http
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

    def _explain(self) -> None:
        platform = f"http://{self._fleet.platform}"
        for request_id in self._traced:
            told = self._fleet.command("trace", request_id, "--platform", platform)
            _say(told.stdout.strip() + told.stderr.strip())
            self._check(f"the story of {request_id} is whole", told.returncode == 0)
        burn = self._fleet.command("report", "burn", "--platform", platform)
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
            and reply.whole
            and reply.status == status
            and reply.outcome == outcome
        )
        if isinstance(reply, Reply):
            self._traced.append(reply.request_id)
        self._check(what, held)

    def _check(self, what: str, held: bool) -> None:
        self._checks.append(Check(what, held))
        _say(f"  {'ok' if held else 'NOT OK'}: {what}")


def demo_manifest() -> dict[str, Any]:
    """Return the agency's example cut down to the demo's processes."""
    manifest: dict[str, Any] = yaml.safe_load(_EXAMPLE.read_text())
    organisations = manifest["organisations"][:2]
    organisations[0]["key_digests"] = [key_digest(_KEY)]
    organisations[1]["key_digests"] = [key_digest(_SMALL_KEY)]
    organisations[1]["allowance"] = {
        "work_per_s": 50,
        "burst": 100,
        "concurrency": 2,
    }
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
    if demo.failed:
        _say("Not as it should be: " + "; ".join(demo.failed))
        sys.exit(1)
    _say("Every answer was what it should be.")


if __name__ == "__main__":
    main()
