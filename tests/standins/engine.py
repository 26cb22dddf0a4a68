"""Stand-in of a model engine: batched steps, streams, cancel, resume and state.

Run as ``python -m tests.standins.engine --port 0``; the first line of its output is
``IP:port``. ``POST /test/set`` with fields of ``EngineFaults`` as JSON changes its
faults; ``POST /test/silence`` blocks the open connections.
"""

from __future__ import annotations

import json
import os
import secrets
from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import replace
from threading import Condition
from threading import Thread
from typing import TYPE_CHECKING
from typing import Any
from urllib.parse import parse_qs
from urllib.parse import urlsplit

import click

from tests.standins.counters import RunCounters
from tests.standins.engine_answers import DONE_EVENT
from tests.standins.engine_answers import build_plain_answer
from tests.standins.engine_answers import build_token_event
from tests.standins.http_server import Handler
from tests.standins.http_server import HttpStandIn
from tests.standins.http_server import serve_until_terminated


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

_MAX_KEPT_RUNS = 1000
_DEFAULT_MAX_TOKENS = 16
_CRASH_EXIT_CODE = 70


@dataclass(frozen=True)
class EngineFaults:
    """Faults of the engine.

    ``crash_on`` ends the process one step after a request whose body contains it.
    ``stalled`` stops the steps, ``crossed`` answers with another run's id, and
    ``late_ms`` delays each response. Connections numbered below ``silent_before`` send
    nothing anymore. ``numbered`` appends the run's number to the prompt, so that two
    runs of one request have different answers.
    """

    step_ms: float = 5.0
    crash_on: str = ""
    stalled: bool = False
    crossed: bool = False
    late_ms: float = 0.0
    silent_before: int = 0
    numbered: bool = False


class EngineRun:
    def __init__(self, run_id: str, request: dict[str, Any], crash: bool) -> None:
        self.run_id = run_id
        self.prompt = str(request.get("prompt", ""))
        self.max_tokens = int(request.get("max_tokens", _DEFAULT_MAX_TOKENS))
        self.is_streamed = bool(request.get("stream", False))
        self.crashes_engine = crash
        self.token_count = 0
        self.body = bytearray()
        self.is_done = False
        self.is_cancelled = False

    def generate_token(self) -> None:
        if self.token_count < self.max_tokens:
            if self.is_streamed:
                self.body += build_token_event(self.prompt, self.token_count)
            self.token_count += 1
        if self.token_count >= self.max_tokens:
            answer = build_plain_answer(self.prompt, self.max_tokens)
            self.body += DONE_EVENT if self.is_streamed else answer
            self.is_done = True


class EngineStandIn(HttpStandIn):
    def __init__(
        self,
        *,
        host: str = "127.0.0.1",
        port: int = 0,
        faults: EngineFaults | None = None,
        exit_process: Callable[[int], object] = os._exit,
    ) -> None:
        super().__init__(EngineHandler, host, port)
        self.incarnation = secrets.token_hex(4)
        self.faults = faults or EngineFaults()
        self.counters = RunCounters()
        self.connections = 0
        self.changed = Condition()
        self._exit_process = exit_process
        self._runs: OrderedDict[str, EngineRun] = OrderedDict()
        self._active: list[EngineRun] = []
        self._run_count = 0

    def start(self) -> None:
        super().start()
        Thread(target=self._step_forever, daemon=True).start()

    def set_faults(self, **changes: Any) -> None:
        with self.changed:
            self.faults = replace(self.faults, **changes)
            self.changed.notify_all()

    def silence_open_connections(self) -> None:
        self.set_faults(silent_before=self.connections + 1)

    def start_run(self, run_id: str, body: bytes) -> EngineRun:
        request = json.loads(body)
        crash_on = self.faults.crash_on
        run = EngineRun(run_id, request, bool(crash_on) and crash_on.encode() in body)
        with self.changed:
            self._run_count += 1
            if self.faults.numbered:
                run.prompt += f" {self._run_count}"
            self._runs[run_id] = run
            self._active.append(run)
            while len(self._runs) > _MAX_KEPT_RUNS:
                self._runs.popitem(last=False)
        return run

    def find_run(self, run_id: str) -> EngineRun | None:
        return self._runs.get(run_id)

    def cancel_run(self, run_id: str) -> None:
        with self.changed:
            run = self._runs.get(run_id)
            if run is not None and not run.is_done:
                run.is_cancelled = True
                self._active.remove(run)
            self.changed.notify_all()

    def get_state(self) -> dict[str, Any]:
        with self.changed:
            run_ids = [run.run_id for run in self._active]
        steps_per_s = 0.0 if self.faults.stalled else 1000 / self.faults.step_ms
        rate = len(run_ids) * steps_per_s
        return {"life": self.incarnation, "running": run_ids, "rate": rate}

    def stream_body(self, run: EngineRun, offset: int) -> Iterator[bytes]:
        """Yield the run's bytes from ``offset`` on, as they are generated."""
        while True:
            with self.changed:
                data = bytes(run.body[offset:])
                has_ended = run.is_done or run.is_cancelled or self.stopping.is_set()
                if not data and not has_ended:
                    self.changed.wait(1.0)
            if data:
                offset += len(data)
                yield data
            elif has_ended:
                return

    def _step_forever(self) -> None:
        while not self.stopping.wait(self.faults.step_ms / 1000):
            with self.changed:
                if self.faults.stalled:
                    continue
                for run in list(self._active):
                    self._step_run(run)
                self.changed.notify_all()

    def _step_run(self, run: EngineRun) -> None:
        if run.crashes_engine:
            self._exit_process(_CRASH_EXIT_CODE)
        run.generate_token()
        if run.is_done:
            self._active.remove(run)


class EngineHandler(Handler):
    stand_in: EngineStandIn

    def setup(self) -> None:
        super().setup()
        with self.stand_in.changed:
            self.stand_in.connections += 1
            self._connection_number = self.stand_in.connections

    def do_GET(self) -> None:  # noqa: N802
        target = urlsplit(self.path)
        match target.path.strip("/").split("/"):
            case ["engine", "state"]:
                self._reply(self.stand_in.get_state())
            case ["engine", "resume", run_id]:
                self._resume_run(run_id, int(parse_qs(target.query)["offset"][0]))
            case ["test", "runs"]:
                self.reply_json(self.stand_in.counters.get_counts())
            case _:
                self._reply({"error": "no such path"}, 404)

    def do_POST(self) -> None:  # noqa: N802
        body = self.read_body()
        match self.path.strip("/").split("/"):
            case ["engine", "cancel", run_id]:
                self.stand_in.cancel_run(run_id)
                self._reply({})
            case ["test", "set"]:
                self.stand_in.set_faults(**json.loads(body))
                self.reply_json({})
            case ["test", "silence"]:
                self.stand_in.silence_open_connections()
                self.reply_json({})
            case _:
                self._start_run(body)

    def _start_run(self, body: bytes) -> None:
        run_id = self.headers.get("X-Request-Id", "")
        self.stand_in.counters.record_run(dict(self.headers))
        run = self.stand_in.start_run(run_id, body)
        self.stand_in.stopping.wait(self.stand_in.faults.late_ms / 1000)
        self._send_run(run, 0)

    def _resume_run(self, run_id: str, offset: int) -> None:
        run = self.stand_in.find_run(run_id)
        if run is None or run.is_cancelled:
            self._reply({"error": "no such run"}, 404)
        else:
            self._send_run(run, offset)

    def _send_run(self, run: EngineRun, offset: int) -> None:
        run_id = f"x{run.run_id}" if self.stand_in.faults.crossed else run.run_id
        content_type = "text/event-stream" if run.is_streamed else "application/json"
        headers = {
            "Content-Type": content_type,
            "X-Request-Id": run_id,
            "X-Engine-Life": self.stand_in.incarnation,
        }
        self._block_if_silenced()
        self.start_chunked_response(headers)
        for data in self.stand_in.stream_body(run, offset):
            self._block_if_silenced()
            self.send_chunk(data)
        self._block_if_silenced()
        if run.is_done:
            self.wfile.write(b"0\r\n\r\n")
        else:
            self.close_connection = True

    def _reply(self, value: object, status: int = 200) -> None:
        self._block_if_silenced()
        self.reply_json(value, status)

    def _block_if_silenced(self) -> None:
        if self._connection_number < self.stand_in.faults.silent_before:
            self.stand_in.stopping.wait()


@click.command()
@click.option("--host", default="127.0.0.1")
@click.option("--port", default=0)
@click.option("--step-ms", default=5.0)
@click.option("--crash-on", default="")
@click.option("--late-ms", default=0.0)
def main(host: str, port: int, step_ms: float, crash_on: str, late_ms: float) -> None:
    faults = EngineFaults(step_ms=step_ms, crash_on=crash_on, late_ms=late_ms)
    serve_until_terminated(EngineStandIn(host=host, port=port, faults=faults))


if __name__ == "__main__":
    main()
