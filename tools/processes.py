"""Starts, signals and stops the local processes of a fleet."""

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
# Below the range from which the kernel assigns outgoing connections.
_FIRST_PORT = 10_000
_LAST_PORT = 32_000
_BLOCK_PORTS = 100


class PortAllocator:
    """An allocator of loopback ports that no other fleet on this machine uses.

    If two fleets each ask the kernel for a free port, they can get the same one before
    either has bound it, or an outgoing connection takes it; a process then can't listen
    and exits. Ports are therefore allocated below the range of outgoing connections,
    from a block that is reserved by binding its first port for the fleet's lifetime.
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
        raise RuntimeError("no free block of loopback ports")

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
        """Release the block."""
        self._block_socket.close()


def wait_until(
    condition: Callable[[], bool], description: str, timeout_s: float
) -> None:
    """Wait for ``condition``; raises TimeoutError with ``description``."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(
                f"timed out after {timeout_s} s waiting for {description}"
            )
        time.sleep(_POLL_INTERVAL_S)


def build_environment() -> dict[str, str]:
    """Return environment variables that make this checkout's modules importable."""
    return dict(os.environ, PYTHONPATH=f"{_ROOT / 'src'}:{_ROOT}")


class Process:
    """A child process whose standard error is appended to ``log_path``."""

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
        """Whether the process has not ended; true for a paused one."""
        return self._popen.poll() is None

    def read_line(self) -> str:
        """Return the next line of standard output, such as a stand-in's address."""
        assert self._popen.stdout is not None
        return self._popen.stdout.readline().decode().strip()

    def pause(self) -> None:
        """Pause the process (SIGSTOP)."""
        self._popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a paused process (SIGCONT)."""
        self._popen.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Request a graceful stop (SIGTERM)."""
        self._popen.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """Kill the process (SIGKILL) and wait until it has ended."""
        if self.is_alive:
            self._popen.kill()
        self._popen.wait(STOP_TIMEOUT_S)
        self._close_stdout()

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait until the process has ended and return its exit code."""
        code = self._popen.wait(timeout_s)
        self._close_stdout()
        return code

    def _close_stdout(self) -> None:
        if self._popen.stdout is not None:
            self._popen.stdout.close()
