"""Stand-in of the platform's object API, with switches for its faults.

``python -m tests.standins.platform --port 0`` prints its ``IP:port`` on the first
line. Paths for tests: ``PUT /test/switches`` (JSON, see ``Switches``), ``PUT`` and
``DELETE /test/instances/NAME``, ``GET /test/counters``.
"""

from __future__ import annotations

import argparse
from hashlib import sha256
from http.server import BaseHTTPRequestHandler
from http.server import ThreadingHTTPServer
from threading import Thread
from time import sleep
from typing import Any
from urllib.parse import parse_qs
from urllib.parse import unquote
from urllib.parse import urlsplit

import msgspec

from tests.standins.platform_state import MAX_VALUE_BYTES
from tests.standins.platform_state import PlatformState


_OBJECTS_PATH = "/v1/objects/"
_INSTANCES_PATH = "/test/instances/"
_MAX_HANG_S = 60.0


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512

    def __init__(self, port: int) -> None:
        super().__init__(("127.0.0.1", port), _Handler)
        self.state = PlatformState()

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Print nothing if a caller disconnects."""


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1
    server: _Server

    def setup(self) -> None:
        super().setup()
        self.state = self.server.state

    def log_message(self, format: str, *args: Any) -> None:
        """Log nothing."""

    def do_GET(self) -> None:
        url = urlsplit(self.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/test/counters":
            self._send_json(dict(self.state.call_counts))
        elif url.path == "/v1/objects":
            if self._admit_call("list"):
                self._send_json(self.state.list_keys(query.get("prefix", "")))
        elif url.path == "/v1/instances":
            if self._admit_call("list"):
                self._send_instances()
        elif "watch" in query:
            self._watch(_object_key(url.path), query)
        elif self._admit_call("read"):
            self._send_object(_object_key(url.path), 0, 404)

    def do_PUT(self) -> None:
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        if self.path == "/test/switches":
            self.state.set_switches(**msgspec.json.decode(body))
            self._send(204)
        elif self.path.startswith(_INSTANCES_PATH):
            name = self.path.removeprefix(_INSTANCES_PATH)
            self.state.set_instance(name, msgspec.json.decode(body))
            self._send(204)
        else:
            self._write(body)

    def do_DELETE(self) -> None:
        if self.path.startswith(_INSTANCES_PATH):
            self.state.set_instance(self.path.removeprefix(_INSTANCES_PATH), None)
            self._send(204)
        else:
            self._write(None)

    def _send_instances(self) -> None:
        body = msgspec.json.encode(self.state.list_instances())
        etag = f'"{sha256(body).hexdigest()[:16]}"'
        if self.headers.get("If-None-Match") == etag:
            self._send(304)
        else:
            self._send(200, body, {"ETag": etag})

    def _admit_call(self, kind: str) -> bool:
        is_within_rate = self.state.admit_call(kind)
        switches = self.state.switches
        sleep(switches.slow_s)
        if switches.outage == "down":
            self._send(503)
        elif switches.outage == "hang":
            self._hang()
        elif not is_within_rate:
            self._send(429, headers={"Retry-After": "1"})
        else:
            return True
        return False

    def _hang(self) -> None:
        self.close_connection = True
        state = self.state
        with state.changed:
            state.changed.wait_for(lambda: state.switches.outage != "hang", _MAX_HANG_S)

    def _write(self, value: bytes | None) -> None:
        if not self._admit_call("write"):
            return
        if value is not None and len(value) > MAX_VALUE_BYTES:
            self._send(413)
            return
        version = 0
        if "If-Match" in self.headers:
            version = int(self.headers["If-Match"].strip('"'))
        elif self.headers.get("If-None-Match") != "*":
            self._send(428)
            return
        result = self.state.write(_object_key(self.path), value, version=version)
        if result.is_written and self.state.consume_lost_answer():
            self.close_connection = True
            return
        sleep(self.state.switches.slow_answer_s)
        status = 200 if result.is_written else 412
        self._send(status, headers={"ETag": f'"{result.version}"'})

    def _watch(self, key: str, query: dict[str, str]) -> None:
        if not self._admit_call("watch"):
            return
        after = int(query["watch"])
        self.state.wait_for_newer(key, after, float(query.get("timeout", "1")))
        match self.state.switches.outage:
            case "down":
                self._send(503)
            case "hang":
                self._hang()
            case _:
                self._send_object(key, after, 304)

    def _send_object(self, key: str, after: int, absent_status: int) -> None:
        stored = self.state.read(key)
        if stored.value is None or stored.version <= after:
            self._send(absent_status)
        else:
            self._send(200, stored.value, {"ETag": f'"{stored.version}"'})

    def _send_json(self, content: object) -> None:
        self._send(200, msgspec.json.encode(content))

    def _send(
        self, status: int, body: bytes = b"", headers: dict[str, str] | None = None
    ) -> None:
        self.send_response(status)
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


def _object_key(path: str) -> str:
    return unquote(path.removeprefix(_OBJECTS_PATH))


class PlatformStandIn:
    """The platform stand-in as a thread of the test process."""

    def __init__(self, port: int = 0) -> None:
        self._server = _Server(port)
        self._thread = Thread(
            target=self._server.serve_forever, args=(0.05,), daemon=True
        )

    @property
    def state(self) -> PlatformState:
        """Objects, switches and counters of the stand-in."""
        return self._server.state

    @property
    def address(self) -> str:
        """``IP:port`` of the stand-in."""
        return f"127.0.0.1:{self._server.server_port}"

    @property
    def url(self) -> str:
        """URL of the stand-in, as in the settings."""
        return f"http://{self.address}"

    def __enter__(self) -> PlatformStandIn:
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.state.set_switches(outage="down")
        self._server.shutdown()
        self._server.server_close()


def main() -> None:
    """Serve until the process is terminated."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, default=0)
    with PlatformStandIn(parser.parse_args().port) as stand_in:
        print(stand_in.address, flush=True)
        while True:
            sleep(3600)


if __name__ == "__main__":
    main()
