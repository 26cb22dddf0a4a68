"""Requests that crash the servers that run them, sent beside planned work."""

from __future__ import annotations

import time
from threading import Event
from threading import Lock
from threading import Thread
from typing import TYPE_CHECKING
from typing import NamedTuple

from tests.forwarding.builders import API_KEY
from tests.forwarding.fleet import CallerResponse
from tests.forwarding.fleet import send_request
from tests.soak.planned.fleet import REQUEST_TIMEOUT_S


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence
    from random import Random

    from tests.soak.planned.fleet import PlannedFleet
    from tests.soak.planned.servers import ServerRequest
    from tests.soak.processes import ProcessRun

ROUTES = ("plain", "once", "stream")
MIN_PAUSE_S = 0.0
MAX_PAUSE_S = 1.2
# Sends of the same request in one series, by one caller that ignores Retry-After.
SENDS = 12
# The same of requests that share a part of their prompts and nothing else.
PART_SENDS = 18
SHARED_PART = "f125"
# The users' rule: at most so many sends later than so long after the third end, from
# processes that have run undisturbed for so long.
STABLE_WINDOW_S = 3.0
MAX_LATE_ARRIVALS = 3
REQUEST_CRASHES = 3
PART_CRASHES = 5
PART_PATH = "crash-part-"
ID_PREFIX = "crash-"
_MS = 1000.0


class CrashingSend(NamedTuple):
    """One send of a request that crashes servers; times are monotonic seconds."""

    id: str
    target: str
    entry: str
    sent_at: float
    answer: CallerResponse


class CrashingCaller:
    """Sends series of requests that crash their servers, each at random entries.

    With ``shares_part`` the requests of a series have one part of their prompts in
    common; otherwise they are the same request.
    """

    def __init__(
        self, fleet: PlannedFleet, rng: Random, *, shares_part: bool = False
    ) -> None:
        self._shares_part = shares_part
        self._fleet = fleet
        self._rng = rng
        self._sends: list[CrashingSend] = []
        self._lock = Lock()
        self._stopping = Event()
        self._thread = Thread(target=self._run)

    @property
    def sends(self) -> list[CrashingSend]:
        with self._lock:
            return list(self._sends)

    def start(self) -> None:
        self._thread.start()

    def stop(self) -> None:
        self._stopping.set()
        if self._thread.is_alive():
            self._thread.join()

    def _run(self) -> None:
        number = 0
        while not self._stopping.wait(self._rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S)):
            series = (
                f"/stream/{PART_PATH}{number}"
                if self._shares_part
                else f"/{self._rng.choice(ROUTES)}/crash-{number}"
            )
            prompt = f"0bad{number:x}:50,{SHARED_PART}:40" if self._shares_part else ""
            number += 1
            for turn in range(PART_SENDS if self._shares_part else SENDS):
                self._send(series, turn, prompt)
                if self._stopping.wait(self._rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S)):
                    return

    def _send(self, series: str, turn: int, prompt: str) -> None:
        entry = self._rng.choice(self._fleet.entries)
        request_id = f"{ID_PREFIX}{series}-{turn}"
        target = f"{series}/{turn}" if prompt else series
        headers = {
            "Host": "host.example",
            "Authorization": f"Bearer {API_KEY}",
            "X-Attempt-Id": request_id,
            "X-Deadline-Ms": str(int(REQUEST_TIMEOUT_S * _MS)),
        }
        if prompt:
            headers["X-Prompt-Prefix"] = f"{prompt},{turn:x}:10"
        is_get = target.startswith("/plain")
        sent_at = time.monotonic()
        answer = send_request(
            entry.address,
            target,
            "GET" if is_get else "POST",
            headers,
            b"" if is_get else b"body",
        )
        with self._lock:
            self._sends.append(
                CrashingSend(request_id, target, entry.name, sent_at, answer)
            )


def find_crash_violations(
    sends: Iterable[CrashingSend],
    requests: Sequence[ServerRequest],
    runs_by_entry: Mapping[str, Sequence[ProcessRun]],
) -> list[str]:
    """Find requests and parts that entries send on after they crashed servers."""
    send_by_id = {send.id: send for send in sends}
    by_target: dict[str, list[ServerRequest]] = {}
    for request in requests:
        if request.id.startswith(ID_PREFIX) and request.ran:
            target = request.id.removeprefix(ID_PREFIX).rpartition("-")[0]
            by_target.setdefault(target, []).append(request)
    violations = []
    for target, arrivals in by_target.items():
        ends = sorted({one.incarnation: one.ended_at for one in arrivals}.values())
        allowed = PART_CRASHES if PART_PATH in target else REQUEST_CRASHES
        if len(ends) < allowed:
            continue
        counted_from = ends[allowed - 1]
        late = [
            one
            for one in arrivals
            if one.arrived_at > counted_from + STABLE_WINDOW_S
            and _is_undisturbed(send_by_id.get(one.id), one.arrived_at, runs_by_entry)
        ]
        if len(late) > MAX_LATE_ARRIVALS:
            times = [f"{one.arrived_at - counted_from:.2f}" for one in late]
            violations.append(
                f"CRASHES: {target} ended {len(ends)} servers, and was sent on {times} "
                f"s after it had ended {allowed}"
            )
    return violations


def _is_undisturbed(
    send: CrashingSend | None,
    at: float,
    runs_by_entry: Mapping[str, Sequence[ProcessRun]],
) -> bool:
    """Return whether the process that sent it on ran undisturbed until then."""
    if send is None:
        return False
    started = [
        run for run in runs_by_entry[send.entry] if run.started_at < send.sent_at
    ]
    if not started:
        return False
    run = started[-1]
    ended_at = min(run.terminated_at or float("inf"), run.killed_at or float("inf"))
    return run.started_at + STABLE_WINDOW_S < at < ended_at


def find_wrong_quarantines(calls: Iterable[tuple[str, CallerResponse]]) -> list[str]:
    """Find requests that crash nothing and were refused as if they did."""
    return [
        f"QUARANTINED: {request_id} crashes no server and got {answer.body!r}"
        for request_id, answer in calls
        if answer.status == 503 and b'"quarantined"' in answer.body
    ]
