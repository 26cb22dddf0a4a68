"""Agents and stand-in servers as subprocesses, which tests can kill and pause."""

from __future__ import annotations

import re
import selectors
import subprocess
import sys
from typing import TYPE_CHECKING

import msgspec

from tests.agent.fake_entry import TIMEOUT_S


if TYPE_CHECKING:
    import signal
    from pathlib import Path
    from typing import IO

    from kingcupwheel.settings.schema import Settings

_SERVING_LINE = re.compile(r"Serving on port (\d+)\.")


class Process:
    def __init__(self, *arguments: str) -> None:
        self._popen = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        self.address = ""

    @property
    def url(self) -> str:
        return f"http://{self.address}"

    @property
    def pid(self) -> int:
        return self._popen.pid

    def send_signal(self, number: signal.Signals) -> None:
        self._popen.send_signal(number)

    def kill(self) -> None:
        if self._popen.poll() is None:
            self._popen.kill()
        self._popen.communicate()

    def wait_for_exit_code(self) -> int:
        return self._popen.wait(TIMEOUT_S)

    def read_first_line(self, stream: IO[str] | None) -> str:
        assert stream is not None
        with selectors.DefaultSelector() as selector:
            selector.register(stream, selectors.EVENT_READ)
            assert selector.select(TIMEOUT_S), "the process printed no line"
        return stream.readline().strip()


class StandInProcess(Process):
    def __init__(self, module: str, *options: str) -> None:
        super().__init__(f"tests.standins.{module}", *options)
        self.address = self.read_first_line(self._popen.stdout)


class AgentProcess(Process):
    def __init__(self, settings: Settings, folder: Path) -> None:
        path = folder / "agent.yaml"
        path.write_bytes(msgspec.yaml.encode(settings))
        super().__init__("kingcupwheel", "agent", "--settings", str(path))
        line = self.read_first_line(self._popen.stderr)
        serving = _SERVING_LINE.search(line)
        assert serving is not None, line
        self.address = f"127.0.0.1:{serving[1]}"
