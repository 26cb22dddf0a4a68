"""An entry process, a server and callers that send large bodies at the same time."""

from __future__ import annotations

import http.client
import os
import time
from pathlib import Path
from threading import Event
from threading import Thread
from typing import TYPE_CHECKING
from typing import NamedTuple

from tests.forwarding.builders import API_KEY
from tests.forwarding.builders import configuration_spec
from tests.forwarding.builders import routes
from tests.forwarding.fleet import WAIT_TIMEOUT_S
from tests.forwarding.fleet import free_ports
from tests.forwarding.fleet import send_request
from tests.forwarding.fleet import wait_until
from tests.soak.processes import EntryProcess
from tests.soak.processes import build_entry_settings
from tests.soak.processes import write_settings
from tests.standins.backend import BackendStandIn
from tests.standins.backend import Behaviour
from tests.standins.object_store import StoredObjects
from tests.standins.object_store import StoreServer


if TYPE_CHECKING:
    from collections.abc import Iterable

MB = 1_000_000
DEADLINE_MS = 6000
_WORK_S = 0.2
_SLOTS = 64
_SAMPLE_INTERVAL_S = 0.01


class Answer(NamedTuple):
    """What a caller got; status 0 if its connection ended without an answer."""

    status: int
    retry_after_s: float
    took_s: float


class LargeBodyFleet:
    """One entry process with ``requests_bytes``; a context manager."""

    def __init__(self, folder: Path, requests_bytes: int) -> None:
        self._store = StoredObjects()
        self._store_server = StoreServer(self._store)
        self._server = BackendStandIn("i-1")
        self._server.behaviour = Behaviour(delay_s=_WORK_S)
        self._server.keeps_bodies = False
        ports = free_ports(4)
        lines = build_entry_settings(
            "entry-1", "127.0.0.1", ports, store=self._store_server.url, grace_s=2.0
        )
        # The last line has the limits.
        lines[-1] = f"entry: {{threads: 48, requests_bytes: {requests_bytes}}}"
        settings, log = write_settings(folder, "entry-1", lines)
        self.entry = EntryProcess("entry-1", settings, log, ports)
        self.peak_mb = 0.0
        self._ended = Event()
        self._watch = Thread(target=self._measure, daemon=True)

    def __enter__(self) -> LargeBodyFleet:
        """Start the processes and wait until the entry is ready."""
        slow = [{**one, "TimeoutMs": DEADLINE_MS} for one in routes()]
        self._store.put("config", "main", configuration_spec(Routes=slow))
        self._store_server.start()
        self._server.start()
        self._store.put(
            "servers", "i-1", self._server.build_store_entry("app", Slots=_SLOTS)
        )
        self.entry.supervise()
        wait_until(
            lambda: send_request(self.entry.ready_address, "/v1/ready").status == 200
        )
        self._watch.start()
        return self

    def __exit__(self, *_: object) -> None:
        """Stop all processes."""
        self._ended.set()
        self.entry.stop()
        self._server.stop()
        self._server.close_connections()
        self._store_server.stop()
        self._store_server.close_connections()

    @property
    def memory_mb(self) -> float:
        """The memory of the entry that is its own."""
        statm = Path(f"/proc/{self.entry.runs[-1].pid}/statm").read_text()
        resident, shared = (int(one) for one in statm.split()[1:3])
        return (resident - shared) * os.sysconf("SC_PAGE_SIZE") / MB

    def _measure(self) -> None:
        while not self._ended.wait(_SAMPLE_INTERVAL_S):
            self.peak_mb = max(self.peak_mb, self.memory_mb)

    def send_at_once(
        self, sizes: Iterable[int], *, each: int = 1
    ) -> list[list[Answer]]:
        """Send ``each`` requests of every size, on one connection for each size."""
        found: list[list[Answer]] = []
        threads = []
        for size in sizes:
            answers: list[Answer] = []
            found.append(answers)
            thread = Thread(target=self._send_in_turn, args=(size, each, answers))
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join()
        return found

    def _send_in_turn(self, size: int, count: int, answers: list[Answer]) -> None:
        connection = http.client.HTTPConnection(
            self.entry.address, timeout=WAIT_TIMEOUT_S
        )
        for number in range(count):
            answers.append(_send(connection, size, f"a-{id(answers)}-{number}"))
        connection.close()


def _send(connection: http.client.HTTPConnection, size: int, name: str) -> Answer:
    headers = {
        "Host": "host.example",
        "Authorization": f"Bearer {API_KEY}",
        "X-Attempt-Id": name,
        "X-Deadline-Ms": str(DEADLINE_MS),
    }
    began = time.monotonic()
    try:
        connection.request("POST", "/plain/x", bytes(size), headers)
        response = connection.getresponse()
        response.read()
    except (OSError, http.client.HTTPException):
        connection.close()
        return Answer(0, 0.0, time.monotonic() - began)
    retry_after_s = float(response.getheader("Retry-After") or 0.0)
    return Answer(response.status, retry_after_s, time.monotonic() - began)
