"""Callers and a stop that run in threads of the test process."""

from __future__ import annotations

import socket
import time
from threading import Thread
from typing import TYPE_CHECKING

from tests.forwarding.builders import API_KEY


if TYPE_CHECKING:
    from kingcupwheel.forwarding.daemon import ForwardingDaemon
    from tests.forwarding.fleet import CallerResponse
    from tests.forwarding.fleet import Fleet


class BackgroundRequest:
    """A request in its own thread."""

    def __init__(self, fleet: Fleet, target: str) -> None:
        self.answer: CallerResponse | None = None
        self._fleet = fleet
        self._target = target
        self._thread = Thread(target=self._run)
        self._thread.start()

    def _run(self) -> None:
        self.answer = self._fleet.send(
            self._target, X_Attempt_Id=self._target, X_Deadline_Ms="9000"
        )

    def join(self) -> CallerResponse:
        """Wait for the answer."""
        self._thread.join()
        assert self.answer is not None
        return self.answer


class BackgroundStop:
    """A graceful shutdown in its own thread; the process would end at ``ended_at``."""

    def __init__(self, entry: ForwardingDaemon) -> None:
        self.began_at = time.monotonic()
        self.ended_at = 0.0
        self._entry = entry
        self._thread = Thread(target=self._run)
        self._thread.start()

    def _run(self) -> None:
        self._entry.stop()
        self.ended_at = time.monotonic()

    def join(self) -> None:
        """Wait until the shutdown has ended."""
        self._thread.join()

    def wait_until(self, after_s: float) -> None:
        """Sleep until ``after_s`` seconds after the signal."""
        time.sleep(max(0.0, self.began_at + after_s - time.monotonic()))


def open_stream(fleet: Fleet, target: str) -> socket.socket:
    """Send a request and return its connection, which the caller may close early."""
    host, _, port = fleet.settings[0].http.rpartition(":")
    caller = socket.create_connection((host, int(port)))
    lines = (
        f"POST {target} HTTP/1.1",
        "Host: host.example",
        f"Authorization: Bearer {API_KEY}",
        "Content-Length: 0",
        "",
        "",
    )
    caller.sendall("\r\n".join(lines).encode())
    return caller
