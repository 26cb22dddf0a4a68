"""Callers of the soak: they send continuously and record the answers."""

from __future__ import annotations

import time
from random import Random
from threading import Event
from threading import Lock
from threading import Thread
from typing import TYPE_CHECKING
from typing import NamedTuple

from tests.forwarding.builders import API_KEY
from tests.forwarding.fleet import CallerResponse
from tests.forwarding.fleet import send_request
from tests.soak.fleet import SECOND_KEY


if TYPE_CHECKING:
    from tests.soak.fleet import SoakFleet

CALLER_COUNT = 4
SEND_INTERVAL_S = 0.03


class CallRecord(NamedTuple):
    """A request of a caller and its answer; times are monotonic seconds."""

    id: str
    route: str
    api_key: str
    sent_at: float
    answer: CallerResponse


class CallerPool:
    """Threads that send idempotent requests, non-idempotent ones and streams."""

    def __init__(self, fleet: SoakFleet, seed: int) -> None:
        self._fleet = fleet
        self._stopping = Event()
        self._calls: list[CallRecord] = []
        self._lock = Lock()
        self._threads = [
            Thread(target=self._run_caller, args=(number, Random(seed * 100 + number)))
            for number in range(CALLER_COUNT)
        ]

    @property
    def calls(self) -> list[CallRecord]:
        with self._lock:
            return list(self._calls)

    def start(self) -> None:
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _run_caller(self, number: int, rng: Random) -> None:
        sent = 0
        while not self._stopping.wait(SEND_INTERVAL_S):
            sent += 1
            self.send(f"c{number}-{sent}", rng)

    def send(self, request_id: str, rng: Random) -> CallRecord:
        """Send one request to a random entry and record its answer."""
        route = rng.choice(("plain", "once", "once", "stream"))
        api_key = SECOND_KEY if rng.random() < 0.2 else API_KEY
        address = rng.choice(self._fleet.get_entry_addresses())
        headers = {
            "Host": "host.example",
            "Authorization": f"Bearer {api_key}",
            "X-Attempt-Id": request_id,
            "X-Deadline-Ms": "8000" if route == "stream" else "1500",
        }
        method = "GET" if route == "plain" else "POST"
        body = request_id.encode() if method == "POST" else b""
        sent_at = time.monotonic()
        answer = send_request(address, f"/{route}/x", method, headers, body)
        call = CallRecord(request_id, route, api_key, sent_at, answer)
        with self._lock:
            self._calls.append(call)
        return call
