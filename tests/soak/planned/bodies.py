"""Callers of bodies of every size, while entries are killed and stopped together."""

from __future__ import annotations

import http.client
import json
import time
from random import Random
from threading import Event
from threading import Lock
from threading import Thread
from typing import TYPE_CHECKING
from typing import NamedTuple

from tests.forwarding.builders import API_KEY
from tests.forwarding.fleet import free_ports
from tests.soak.planned.endless_work import read_peak_memory_mb
from tests.soak.planned.fleet import SHUTDOWN_GRACE_S
from tests.soak.planned.fleet import PlannedFleet
from tests.soak.planned.servers import WORK_DURATION_HEADER
from tests.soak.processes import EntryProcess
from tests.soak.processes import build_entry_settings
from tests.soak.processes import write_settings


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence
    from pathlib import Path

    from tests.soak.planned.servers import ServerRequest
    from tests.soak.processes import ProcessRun

CALLER_COUNT = 16
SMALL_BODY_BYTES = 60_000
LARGE_BODY_BYTES = 4_000_000
_SIZES = (200, SMALL_BODY_BYTES, 1_000_000, LARGE_BODY_BYTES, LARGE_BODY_BYTES)
_REQUESTS_BYTES = 16_000_000
# Resident memory of an entry: that of a process without requests, the bodies, as much
# that connections have not yet read, and what threads and buffers take.
MAX_MEMORY_MB = 150.0
# A connection may end so long after the end of its process has been asked for.
_END_SLACK_S = 0.5
_PAUSE_S = 0.02
_WORK_MS = 120
_DEADLINE_MS = 4000
_TIMEOUT_S = 6.0
_SAMPLE_INTERVAL_S = 0.05


class BodyCall(NamedTuple):
    """A request and its answer; status 0 if the connection ended without one."""

    id: str
    route: str
    size: int
    entry: str
    is_on_kept_connection: bool
    sent_at: float
    ended_at: float
    status: int
    body: bytes


class BodyFleet(PlannedFleet):
    """A fleet whose entries have little memory for bodies."""

    def _create_entry(self, folder: Path, name: str, host: str) -> EntryProcess:
        ports = free_ports(4, host)
        lines = build_entry_settings(
            name, host, ports, store=self._store_server.url, grace_s=SHUTDOWN_GRACE_S
        )
        # The last line has the limits.
        lines[-1] = f"entry: {{threads: 32, requests_bytes: {_REQUESTS_BYTES}}}"
        settings, log = write_settings(folder, name, lines)
        return EntryProcess(name, settings, log, ports, host)


class BodyCallerPool:
    """Threads that each use a connection until it ends, then another entry."""

    def __init__(self, fleet: BodyFleet, seed: int) -> None:
        self._fleet = fleet
        self._stopping = Event()
        self._lock = Lock()
        self._calls: list[BodyCall] = []
        self._threads = [
            Thread(target=self._run, args=(number, Random(seed * 100 + number)))
            for number in range(CALLER_COUNT)
        ]
        self._meter = Thread(target=self._measure)

    @property
    def calls(self) -> list[BodyCall]:
        """All requests so far."""
        with self._lock:
            return list(self._calls)

    def start(self) -> None:
        """Start the callers and the measurement of memory."""
        for thread in (*self._threads, self._meter):
            thread.start()

    def stop(self) -> None:
        """Stop and join all threads."""
        self._stopping.set()
        for thread in (*self._threads, self._meter):
            thread.join()

    def _run(self, number: int, rng: Random) -> None:
        count = 0
        while not self._stopping.is_set():
            entry = rng.choice(self._fleet.entries)
            connection = http.client.HTTPConnection(entry.address, timeout=_TIMEOUT_S)
            is_kept = False
            while not self._stopping.wait(_PAUSE_S):
                count += 1
                call = _send(connection, entry.name, f"c{number}-{count}", rng, is_kept)
                with self._lock:
                    self._calls.append(call)
                is_kept = connection.sock is not None
                if not is_kept:
                    break
            connection.close()

    def _measure(self) -> None:
        while not self._stopping.wait(_SAMPLE_INTERVAL_S):
            for entry in self._fleet.entries:
                for run in entry.runs[-1:]:
                    if run.ended_at is None:
                        peak_mb = read_peak_memory_mb(run.pid)
                        run.peak_memory_mb = max(run.peak_memory_mb, peak_mb)


def _send(
    connection: http.client.HTTPConnection,
    entry: str,
    name: str,
    rng: Random,
    is_kept: bool,
) -> BodyCall:
    route = rng.choice(("plain", "once"))
    size = rng.choice(_SIZES)
    headers = {
        "Host": "host.example",
        "Authorization": f"Bearer {API_KEY}",
        "X-Attempt-Id": name,
        "X-Deadline-Ms": str(_DEADLINE_MS),
        WORK_DURATION_HEADER: str(rng.randrange(_WORK_MS)),
    }
    sent_at = time.monotonic()
    status, body = 0, b""
    try:
        connection.request("POST", f"/{route}/x", bytes(size), headers)
        response = connection.getresponse()
        body = response.read()
        status = response.status
    except (OSError, http.client.HTTPException):
        connection.close()
    return BodyCall(
        name, route, size, entry, is_kept, sent_at, time.monotonic(), status, body
    )


def inject_losses(fleet: BodyFleet, rng: Random, count: int) -> list[str]:
    """Kill or stop all entries but one, or a single one; return what was done."""
    done: list[str] = []
    for _ in range(count):
        spared = rng.choice(fleet.entries)
        others = [one for one in fleet.entries if one is not spared]
        hit = rng.choice((others, others, [rng.choice(others)]))
        does_kill = rng.random() < 0.6
        for entry in hit:
            if does_kill:
                entry.kill()
            else:
                entry.terminate()
            done.append(f"{'kill' if does_kill else 'terminate'} {entry.name}")
            time.sleep(rng.choice((0.0, 0.0, 0.3)))
        time.sleep(rng.uniform(0.5, 2.0))
    return done


def find_violations(
    calls: Iterable[BodyCall],
    requests: Iterable[ServerRequest],
    runs_by_entry: Mapping[str, Sequence[ProcessRun]],
) -> list[str]:
    """Return a sentence for each violated promise."""
    ran: dict[str, int] = {}
    for request in requests:
        ran[request.id] = ran.get(request.id, 0) + request.ran
    found = [
        f"MEMORY: a process of {name} took {run.peak_memory_mb:.0f} MB"
        for name, runs in runs_by_entry.items()
        for run in runs
        if run.peak_memory_mb > MAX_MEMORY_MB
    ]
    for call in calls:
        runs = ran.get(call.id, 0)
        found += _find_violations_of(call, runs, runs_by_entry[call.entry])
    return found


def _find_violations_of(
    call: BodyCall, runs: int, entry_runs: Sequence[ProcessRun]
) -> list[str]:
    told = f"{call.id} ({call.route}, {call.size} bytes, status {call.status})"
    found: list[str] = []
    if call.route == "once" and runs > 1:
        found.append(f"TWICE: {told} ran {runs} times")
    if call.route == "once" and call.status in (408, 429, 503) and runs:
        found.append(f"REFUSED: {told} ran")
    if call.status == 200 and json.loads(call.body)["id"] != call.id:
        found.append(f"MIXED: {told} got {call.body[:80]!r}")
    if b"body-memory" in call.body and call.size <= SMALL_BODY_BYTES:
        found.append(f"SMALL: {told} was refused for the memory of others")
    if (
        not call.status
        and runs
        and call.is_on_kept_connection
        and not any(_ended_during(call, run) for run in entry_runs)
    ):
        found.append(f"LOST: {told} got no answer, and its entry went on")
    return found


def _ended_during(call: BodyCall, run: ProcessRun) -> bool:
    """Return whether this process ended, or was told to, while it had the request."""
    asked_at = run.killed_at or run.terminated_at or run.ended_at
    return (
        asked_at is not None
        and run.started_at < call.ended_at
        and asked_at < call.ended_at + _END_SLACK_S
        and (run.ended_at or call.ended_at) > call.sent_at
    )
