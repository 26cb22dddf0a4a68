"""The system's processes in a soak: started, signalled, and started again."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from threading import Lock
from threading import Thread
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

ROOT = Path(__file__).resolve().parents[2]
# A process that ended is started again after this time, as the platform does.
RESTART_DELAY_S = 0.3


@dataclass
class ProcessRun:
    """One start of a process; all times are monotonic seconds.

    ``terminated_at`` is when it was first asked to stop, ``killed_at`` when it was
    killed as a fault, and ``expired`` tells that it outlived its grace and was killed
    for that.
    """

    started_at: float
    terminated_at: float | None = None
    killed_at: float | None = None
    ended_at: float | None = None
    exceeded_grace: bool = False


class Process:
    """One process of the system, started again whenever it ends."""

    def __init__(self, name: str, role: str, settings: Path, log: Path) -> None:
        self.name = name
        self._role = role
        self._settings = settings
        self._log = log
        self._popen: subprocess.Popen[bytes] | None = None
        self._stopping = False
        self._frozen_until = 0.0
        self.runs: list[ProcessRun] = []
        self._lock = Lock()

    def supervise(self) -> None:
        """Start the process if it is not there; let it go on if its pause is over."""
        with self._lock:
            if self._stopping:
                return
            if self._frozen_until and time.monotonic() >= self._frozen_until:
                self._send_signal(signal.SIGCONT)
                self._frozen_until = 0.0
            if self._popen is not None and self._popen.poll() is not None:
                self._popen = None
                self._frozen_until = 0.0
                time.sleep(RESTART_DELAY_S)
            if self._popen is None:
                self._start()

    def _start(self) -> None:
        command = [sys.executable, "-m", "kingcupwheel", self._role]
        environment = {**os.environ, "PYTHONPATH": str(ROOT / "src")}
        life = ProcessRun(time.monotonic())
        with self._log.open("ab") as log:
            self._popen = subprocess.Popen(
                [*command, "--settings", str(self._settings)],
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env=environment,
            )
        self.runs.append(life)
        Thread(target=_record_end, args=(self._popen, life), daemon=True).start()

    def kill(self) -> None:
        """End the process without a word."""
        with self._lock:
            if self._is_running():
                life = self.runs[-1]
                life.killed_at = life.killed_at or time.monotonic()
                self._send_signal(signal.SIGKILL)

    def terminate(self) -> None:
        """Ask the process to stop, as planned work does."""
        with self._lock:
            if self._is_running():
                life = self.runs[-1]
                life.terminated_at = life.terminated_at or time.monotonic()
                self._send_signal(signal.SIGTERM)

    def kill_after_grace(self, grace_s: float) -> None:
        """Kill the process if it was asked to stop and its grace is over."""
        with self._lock:
            if not self._is_running():
                return
            life = self.runs[-1]
            asked_at = life.terminated_at
            if asked_at is not None and time.monotonic() > asked_at + grace_s:
                life.exceeded_grace = True
                self._send_signal(signal.SIGKILL)

    def send_sighup(self) -> None:
        """Tell the process that its settings have changed."""
        with self._lock:
            self._send_signal(signal.SIGHUP)

    def freeze(self, seconds: float) -> None:
        """Let the process stand still for a while."""
        with self._lock:
            self._send_signal(signal.SIGSTOP)
            self._frozen_until = time.monotonic() + seconds

    def _is_running(self) -> bool:
        return self._popen is not None and self._popen.poll() is None

    def _send_signal(self, number: int) -> None:
        if self._popen is not None and self._popen.poll() is None:
            self._popen.send_signal(number)

    def stop(self) -> None:
        """End the process for good; only the one started here is signalled."""
        with self._lock:
            self._stopping = True
            self._send_signal(signal.SIGCONT)
            self._send_signal(signal.SIGKILL)
            if self._popen is not None:
                self._popen.wait(10.0)


def _record_end(popen: subprocess.Popen[bytes], life: ProcessRun) -> None:
    popen.wait()
    life.ended_at = time.monotonic()


class EntryProcess(Process):
    """An entry; ``ports`` are of its own link, callers, readiness and addresses."""

    def __init__(
        self,
        name: str,
        settings: Path,
        log: Path,
        ports: Sequence[int],
        host: str = "127.0.0.1",
    ) -> None:
        super().__init__(name, "entry", settings, log)
        self.ports = ports
        self.address = f"{host}:{ports[1]}"
        self.ready_address = f"{host}:{ports[2]}"


def build_entry_settings(
    name: str, host: str, ports: Sequence[int], *, store: str, grace_s: float
) -> list[str]:
    """Return an entry's settings file; ``ports`` are those of ``EntryProcess``."""
    return [
        f"name: {name}",
        "role: entry",
        "data_centre: dc-1",
        f'listen: "{host}:{ports[0]}"',
        f'http: "{host}:{ports[1]}"',
        f'platform: {{url: "{store}"}}',
        "forwarding:",
        f'  ready: "{host}:{ports[2]}"',
        f'  addresses: "{host}:{ports[3]}"',
        f"  grace_s: {grace_s}",
        "  retry_floor: 500.0",
        "entry: {threads: 24}",
    ]


def write_settings(folder: Path, name: str, lines: Iterable[str]) -> tuple[Path, Path]:
    """Write a process's settings; return where they and its log are."""
    path = folder / f"{name}.yaml"
    path.write_text("\n".join(lines) + "\n", encoding="utf-8")
    return path, folder / f"{name}.log"
