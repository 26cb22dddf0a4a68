"""Stand-in of a plain HTTP service that answers any POST and counts its runs.

Run as ``python -m tests.standins.service --port 0``; the first line of its output is
``IP:port``. ``POST /test/set`` with JSON ``{"delay_ms": 100}`` changes its delay.
"""

from __future__ import annotations

import hashlib
import json
import os
from typing import TYPE_CHECKING

import click

from tests.standins.counters import RunCounters
from tests.standins.http_server import Handler
from tests.standins.http_server import HttpStandIn
from tests.standins.http_server import serve_until_terminated


if TYPE_CHECKING:
    from collections.abc import Callable

_CRASH_EXIT_CODE = 70


def build_service_answer(path: str, body: bytes) -> bytes:
    digest = hashlib.sha256(body).hexdigest()
    return json.dumps({"path": path, "booked": digest}).encode()


class ServiceStandIn(HttpStandIn):
    """Service whose clients may set its faults.

    With ``acts_on_headers`` it runs a request by its headers, and closes the connection
    without reading the body or answering.
    """

    def __init__(
        self,
        *,
        host: str = "127.0.0.1",
        port: int = 0,
        delay_ms: float = 0.0,
        crash_on: str = "",
        exit_process: Callable[[int], object] = os._exit,
    ) -> None:
        super().__init__(ServiceHandler, host, port)
        self.counters = RunCounters()
        self.delay_ms = delay_ms
        self.crash_on = crash_on
        self.exit_process = exit_process
        self.acts_on_headers = False


class ServiceHandler(Handler):
    stand_in: ServiceStandIn

    def do_GET(self) -> None:  # noqa: N802
        match self.path:
            case "/status":
                self.reply_json({"up": True})
            case "/test/runs":
                self.reply_json(self.stand_in.counters.get_counts())
            case _:
                self.reply_json({"path": self.path})

    def handle_expect_100(self) -> bool:
        return self.stand_in.acts_on_headers or super().handle_expect_100()

    def do_POST(self) -> None:  # noqa: N802
        if self.stand_in.acts_on_headers:
            self.stand_in.counters.record_run(dict(self.headers))
            self.close_connection = True
            return
        body = self.read_body()
        if self.path == "/test/set":
            self.stand_in.delay_ms = float(json.loads(body)["delay_ms"])
            self.reply_json({})
            return
        self.stand_in.counters.record_run(dict(self.headers))
        crash_on = self.stand_in.crash_on
        if crash_on and crash_on.encode() in body:
            self.stand_in.exit_process(_CRASH_EXIT_CODE)
        self.stand_in.stopping.wait(self.stand_in.delay_ms / 1000)
        headers = {"Content-Type": "application/json"}
        self.reply(200, build_service_answer(self.path, body), headers)


@click.command()
@click.option("--host", default="127.0.0.1")
@click.option("--port", default=0)
@click.option("--delay-ms", default=0.0)
@click.option("--crash-on", default="")
def main(host: str, port: int, delay_ms: float, crash_on: str) -> None:
    serve_until_terminated(
        ServiceStandIn(host=host, port=port, delay_ms=delay_ms, crash_on=crash_on)
    )


if __name__ == "__main__":
    main()
