"""The state shared by a scenario's steps: a fleet, its callers and their replies."""

from __future__ import annotations

import time
from concurrent.futures import Future
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from tests.standins.engine_answers import build_streamed_answer
from tools.caller import Caller
from tools.caller import ConnectionFailure
from tools.caller import Reply
from tools.fleet import Fleet
from tools.fleet import compute_key_digest


API_KEY = "scenario-key"
OTHER_API_KEY = "other-scenario-key"
COMPLETIONS_PATH = "/v1/completions"
RESERVATIONS_PATH = "/v1/reservations"
ANSWER_TIMEOUT_S = 60.0
# Shorter than in production so that a scenario takes seconds; the ratios are kept.
TIMINGS = {
    "heartbeat_s": 0.3,
    "silence_s": 1.2,
    "gone_s": 2.0,
    "give_up_s": 6.0,
    "token_s": 4.0,
    "instances_s": 0.5,
    "watch_s": 5.0,
    "leave_s": 2.0,
    "trace_batch_s": 1.0,
}

CallResult = Reply | ConnectionFailure


class World:
    """One scenario's fleet and the replies that its callers received."""

    def __init__(self) -> None:
        self.fleet = Fleet(TIMINGS)
        self.fleet.__enter__()
        self.caller = Caller(API_KEY, timeout_s=ANSWER_TIMEOUT_S)
        self.replies_by_name: dict[str, CallResult] = {}
        self.replies: list[CallResult] = []
        self._pool = ThreadPoolExecutor(64)
        self._pending_by_name: dict[str, Future[CallResult]] = {}
        self.background_load: BackgroundLoad | None = None

    def close(self) -> None:
        """Stop the callers and processes."""
        if self.background_load is not None:
            self.background_load.stop()
        self.fleet.__exit__(None, None, None)
        self._pool.shutdown()

    def print_logs(self) -> None:
        """Print the end of each daemon's log."""
        for name in (*self.fleet.entries, *self.fleet.agents):
            print(f"--- {name}\n{self.fleet.read_log(name)[-2500:]}")

    def get_caller_address(self, entry: str) -> str:
        """Return the entry's address for callers."""
        return self.fleet.entries[entry].caller_address

    def start_call(
        self, name: str, entry: str, path: str, body: Any, **options: Any
    ) -> None:
        """Start a call whose reply is stored under ``name``."""
        address = self.get_caller_address(entry)
        self._pending_by_name[name] = self._pool.submit(
            self.caller.call, address, path, body, **options
        )

    def wait_for_reply(self, name: str) -> CallResult:
        """Return the reply stored under ``name``, waiting for a pending call."""
        if name not in self.replies_by_name:
            pending = self._pending_by_name[name]
            self.record_reply(name, pending.result(ANSWER_TIMEOUT_S))
        return self.replies_by_name[name]

    def record_reply(self, name: str, reply: CallResult) -> None:
        """Store a reply for the checks after the scenario."""
        self.replies_by_name[name] = reply
        self.replies.append(reply)

    def get_finished_replies(self) -> dict[str, CallResult]:
        """Return the replies received so far, by name, without waiting."""
        pending = self._pending_by_name.items()
        return {name: future.result() for name, future in pending if future.done()}

    def wait_for_replies(self) -> None:
        """Wait for all started calls."""
        for name in list(self._pending_by_name):
            self.wait_for_reply(name)

    def require_reply(self, name: str) -> Reply:
        """Return the reply stored under ``name``; AssertionError if there was none."""
        reply = self.wait_for_reply(name)
        assert isinstance(reply, Reply), reply
        return reply

    def count_runs_by_request_id(self) -> dict[str, int]:
        """Return the run count of each request over all live backend servers."""
        return self._count_runs("by_request_id")

    def count_runs_by_idempotency_key(self) -> dict[str, int]:
        """Return the run count of each key over all live backend servers."""
        return self._count_runs("by_idempotency_key")

    def _count_runs(self, kind: str) -> dict[str, int]:
        total: dict[str, int] = {}
        for name, agent in self.fleet.agents.items():
            if not agent.server.is_alive:
                continue
            for key, count in self.fleet.get_run_counts(name)[kind].items():
                total[key] = total.get(key, 0) + count
        return total


class BackgroundLoad:
    """Streams completions continuously through some entries until it is stopped."""

    def __init__(
        self, world: World, entries: list[str], streams: int, tokens: int
    ) -> None:
        self._world = world
        self._token_count = tokens
        self._entries = entries
        self._stopping = False
        self.results: list[tuple[CallResult, bytes]] = []
        self._pool = ThreadPoolExecutor(streams)
        self._workers = [
            self._pool.submit(self._run_worker, number) for number in range(streams)
        ]

    def _run_worker(self, number: int) -> None:
        call_number = 0
        while not self._stopping:
            entry = self._entries[(number + call_number) % len(self._entries)]
            self._call_entry(entry, f"load {number} {call_number}")
            call_number += 1

    def _call_entry(self, entry: str, prompt: str) -> None:
        address = self._world.fleet.entries[entry].caller_address
        body = {"prompt": prompt, "max_tokens": self._token_count, "stream": True}
        reply = self._world.caller.call(address, COMPLETIONS_PATH, body)
        if isinstance(reply, ConnectionFailure) or reply.status == 503:
            # Like a real caller, retry at another address after a short delay.
            time.sleep(0.05)
        self.results.append((reply, build_streamed_answer(prompt, self._token_count)))

    def set_entries(self, entries: list[str]) -> None:
        """Send new calls to these entries, as service discovery would tell callers."""
        self._entries = entries

    def stop(self) -> None:
        """Send no new calls and wait for those in progress."""
        self._stopping = True
        for worker in self._workers:
            worker.result(ANSWER_TIMEOUT_S)
        self._pool.shutdown()


def build_manifest() -> dict[str, Any]:
    """Return the scenarios' manifest: an engine group and a service group."""
    return {
        "organisations": [
            {"name": "agency", "key_digests": [compute_key_digest(API_KEY)]},
            {"name": "other", "key_digests": [compute_key_digest(OTHER_API_KEY)]},
        ],
        "groups": [
            {"name": "parts-model", "kind": "engine", "concurrency": 16},
            {"name": "portal", "kind": "service", "concurrency": 16},
        ],
        "routes": [
            {"path": COMPLETIONS_PATH, "group": "parts-model"},
            {"path": RESERVATIONS_PATH, "group": "portal", "repeatable": False},
        ],
    }
