"""Starts, signals and stops the processes of a small fleet on this machine."""

from __future__ import annotations

import os
import random
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

_ROOT = Path(__file__).resolve().parent.parent
_POLL_INTERVAL_S = 0.02
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 60.0
# Below the range that the kernel gives to outgoing connections.
_FIRST_PORT = 10_000
_LAST_PORT = 32_000
_BLOCK_PORTS = 100


class PortAllocator:
    """Ports of the loopback address that no other fleet on this machine is given.

    Failure: two fleets that each ask for a free port get the same one before either has
    bound it, or a connection going out takes it meanwhile. Symptom: a process of one of
    them can't listen and ends. Ports are therefore below those of outgoing connections,
    in a block that is taken by binding its first one for as long as the fleet lives.
    """

    def __init__(self) -> None:
        self._block_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._next_port = self._reserve_block()

    def _reserve_block(self) -> int:
        blocks = list(range(_FIRST_PORT, _LAST_PORT, _BLOCK_PORTS))
        random.shuffle(blocks)
        for first in blocks:
            try:
                self._block_socket.bind(("127.0.0.1", first))
            except OSError:
                continue
            return first + 1
        raise RuntimeError("every block of ports is taken")

    def allocate(self) -> int:
        """Return the next port of the block that is free."""
        while True:
            port, self._next_port = self._next_port, self._next_port + 1
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind(("127.0.0.1", port))
                except OSError:
                    continue
            return port

    def close(self) -> None:
        """Give the block back."""
        self._block_socket.close()


def wait_until(
    condition: Callable[[], bool], description: str, timeout_s: float
) -> None:
    """Wait for ``condition``; raises TimeoutError that names ``what``."""
    until = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > until:
            raise TimeoutError(f"not within {timeout_s} s: {description}")
        time.sleep(_POLL_INTERVAL_S)


def build_environment() -> dict[str, str]:
    """Return the environment in which this checkout's modules are found."""
    return dict(os.environ, PYTHONPATH=f"{_ROOT / 'src'}:{_ROOT}")


class Process:
    """One process of the fleet; its log is kept in ``log``."""

    def __init__(self, name: str, arguments: Sequence[str], log: Path) -> None:
        self.name = name
        self.log_path = log
        with log.open("ab") as errors:
            self._popen = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                cwd=_ROOT,
                env=build_environment(),
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=errors,
                start_new_session=True,
            )

    @property
    def pid(self) -> int:
        """The process id."""
        return self._popen.pid

    @property
    def is_alive(self) -> bool:
        """Whether the process runs, or is paused."""
        return self._popen.poll() is None

    def read_first_line(self) -> str:
        """Return the first line printed, which tells a stand-in's address."""
        assert self._popen.stdout is not None
        return self._popen.stdout.readline().decode().strip()

    def pause(self) -> None:
        """Freeze the process (SIGSTOP)."""
        self._popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a frozen process go on (SIGCONT)."""
        self._popen.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Ask for a graceful stop (SIGTERM)."""
        self._popen.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """End the process at once (SIGKILL) and wait for that."""
        if self.is_alive:
            self._popen.kill()
        self._popen.wait(STOP_TIMEOUT_S)
        self._close_stdout()

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Return the exit code once the process has ended."""
        code = self._popen.wait(timeout_s)
        self._close_stdout()
        return code

    def _close_stdout(self) -> None:
        if self._popen.stdout is not None:
            self._popen.stdout.close()
