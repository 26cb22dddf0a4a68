"""Measures scheduling delays of threads on this machine."""

from __future__ import annotations

import time
from threading import Event
from threading import Thread
from typing import NamedTuple


_CHECK_INTERVAL_S = 0.01
# Shorter delays are common.
MIN_RECORDED_STALL_S = 0.05


class Stall(NamedTuple):
    """A thread that woke ``late_s`` too late; ``at`` is in monotonic seconds."""

    at: float
    late_s: float


class StallMeter:
    """Records stalls until stopped; they show the load of other processes."""

    def __init__(self) -> None:
        self.stalls: list[Stall] = []
        self._stopping = Event()
        self._thread = Thread(target=self._run, name="stalls", daemon=True)
        self._thread.start()

    def _run(self) -> None:
        before = time.monotonic()
        while not self._stopping.is_set():
            time.sleep(_CHECK_INTERVAL_S)
            now = time.monotonic()
            if now - before - _CHECK_INTERVAL_S > MIN_RECORDED_STALL_S:
                self.stalls.append(Stall(now, now - before - _CHECK_INTERVAL_S))
            before = now

    def stop(self) -> None:
        """Stop measuring."""
        self._stopping.set()
        self._thread.join()
