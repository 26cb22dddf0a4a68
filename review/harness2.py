"""Processes, servers and callers of the cases of the second review.

A case starts entries with the commands and the template of the deploy folder, each on a
loopback address of its own. Servers and callers are small stand-ins; the platform's
store is the project's own.
"""

from __future__ import annotations

import contextlib
import http.client
import json
import os
import re
import shlex
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from http.server import BaseHTTPRequestHandler
from http.server import ThreadingHTTPServer
from pathlib import Path
from typing import Any
from typing import NamedTuple

from tests.standins.object_store import StoredObjects
from tests.standins.object_store import StoreServer
from tests.standins.relay import Relay


ROOT = Path(__file__).resolve().parents[1]
HOST = "shop.example"
KEY = "key-of-the-shop"
TENANT = "shop"
ZONE = "zone-1"
# The bounds that all site files of the users' pages set.
DRAIN_S = 2.0
STABLE_S = 3.0
GRACE_S = 8.0
MEMORY_MB = 300
BOUNDS = {
    "RevokeMs": 5000,
    "RetryBudgetRatio": 0.2,
    "BudgetSlack": 90,
    "BudgetWindowS": 10,
    "GraceS": 8,
    "StableWindowMs": 3000,
}
LIMITS = {
    "MaxHeaderBytes": 16384,
    "MaxBodyBytes": 4194304,
    "HeaderTimeoutMs": 3000,
    "IdleTimeoutMs": 15000,
}
_RESET = struct.pack("ii", 1, 0)


def has_trouble() -> bool:
    """Return whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port(host: str) -> int:
    """Return a port of ``host`` that nobody listens on."""
    with socket.create_server((host, 0)) as found:
        return int(found.getsockname()[1])


class Record:
    """The case's record: one line of JSON for each event, with seconds since start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._began = time.monotonic()

    def write(self, event: str, **fields: Any) -> None:
        """Write one event."""
        at = round(time.monotonic() - self._began, 3)
        line = json.dumps({"t": at, "event": event, **fields})
        with self._lock:
            self._file.write(line + "\n")
            self._file.flush()

    def say(self, text: str) -> None:
        """Write a sentence here and on standard output."""
        self.write("note", text=text)
        print(text, flush=True)


class Arrival(NamedTuple):
    """A request that reached a server at ``at`` (monotonic seconds)."""

    id: str
    at: float
    has_run: bool


class _ServerHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    stand_in: Server

    def log_message(self, *_: Any) -> None:
        """Print nothing."""

    def do_GET(self) -> None:  # noqa: N802
        """Answer a request without a body."""
        self.do_POST()

    def do_POST(self) -> None:  # noqa: N802
        """Run a request, or reject it if it names another server."""
        server = self.stand_in
        length = int(self.headers.get("Content-Length") or 0)
        if len(self.rfile.read(length)) < length:
            self.close_connection = True
            return
        has_run = self.headers.get("X-Expect-Instance") == server.instance
        request_id = self.headers.get("X-Attempt-Id", "")
        server.arrivals.append(Arrival(request_id, time.monotonic(), has_run))
        server.record.write(
            "reaches", server=server.instance, id=request_id, runs=has_run
        )
        if not has_run:
            self._reply(421, b"", {"X-Not-Executed": "1"})
            return
        if server.work_s:
            server.ended.wait(server.work_s)
        if server.ended.is_set():
            self.close_connection = True
            return
        body = json.dumps({"id": request_id, "by": server.instance}).encode()
        self._reply(
            200,
            body,
            {"X-Attempt-Id": request_id, "X-Response-Signature": f"s-{request_id}"},
        )
        server.record.write("answers", server=server.instance, id=request_id)

    def _reply(self, status: int, body: bytes, headers: dict[str, str]) -> None:
        with contextlib.suppress(OSError):
            self.send_response(status)
            for name, value in headers.items():
                self.send_header(name, value)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)


class _HttpServer(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def __init__(self, *args: Any) -> None:
        self.connections: set[socket.socket] = set()
        super().__init__(*args)

    def process_request(self, request: Any, client_address: Any) -> None:
        self.connections.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request: Any) -> None:
        self.connections.discard(request)
        super().shutdown_request(request)

    def handle_error(self, *_: Any) -> None:
        """Print nothing: a caller that leaves is no error."""


class Server:
    """A sound server of a plain service; each request takes ``work_s``."""

    def __init__(
        self, instance: str, record: Record, *, work_s: float = 0.0, slots: int = 6
    ) -> None:
        self.instance = instance
        self.record = record
        self.work_s = work_s
        self.slots = slots
        self.arrivals: list[Arrival] = []
        self.ended = threading.Event()
        handler = type("Handler", (_ServerHandler,), {"stand_in": self})
        self._http = _HttpServer(("127.0.0.1", 0), handler)
        self.address = f"127.0.0.1:{self._http.server_address[1]}"
        threading.Thread(
            target=self._http.serve_forever, args=(0.05,), daemon=True
        ).start()

    def entry(self, service: str, **changes: Any) -> dict[str, Any]:
        """Return the server's entry in the store."""
        found = {
            "Service": service,
            "Address": self.address,
            "Zone": ZONE,
            "Version": "v1",
            "Slots": self.slots,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Seq": 1,
        }
        return {**found, **changes}

    def end(self) -> None:
        """End like a process: refuse connections, break off what is in progress."""
        self.ended.set()
        self._http.shutdown()
        self._http.server_close()
        for one in tuple(self._http.connections):
            with contextlib.suppress(OSError):
                one.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
                one.shutdown(socket.SHUT_RDWR)


class Platform:
    """The store of the platform; each entry reaches it over a relay of its own."""

    def __init__(self, record: Record) -> None:
        self.objects = StoredObjects()
        self._server = StoreServer(self.objects)
        self._server.start()
        self.relays: list[Relay] = []
        self._record = record

    def open_path(self) -> str:
        """Return the address at which one entry reaches the store."""
        relay = Relay(self._server.address)
        relay.start()
        self.relays.append(relay)
        return relay.address

    def write(self, kind: str, name: str, spec: Any) -> float:
        """Write an object; return when the store has acknowledged it."""
        self.objects.put(kind, name, spec)
        self._record.write("store-has", kind=kind, name=name)
        return time.monotonic()

    def remove(self, kind: str, name: str) -> float:
        """Remove an object; return when the store has acknowledged it."""
        self.objects.remove(kind, name)
        self._record.write("store-removed", kind=kind, name=name)
        return time.monotonic()


def configuration(service: str, **route: Any) -> dict[str, Any]:
    """Return a configuration with one route to a plain service."""
    found = {
        "Name": "orders",
        "Host": HOST,
        "PathPrefix": "/orders/",
        "Kind": "non_idempotent",
        "TimeoutMs": 4000,
        "TargetLatencyMs": 400,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 1,
        "Anonymous": False,
        **route,
    }
    return {
        "Version": 3,
        "Routes": [found],
        "Services": [
            {"Name": service, "HealthCheck": "/healthz", "MaxConnections": 408}
        ],
        "Limits": LIMITS,
        "Tenants": [{"Name": TENANT, "ApiKeys": [KEY], "Priority": 1}],
    }


def _render(template: str, fields: dict[str, Any]) -> str:
    """Fill in the placeholders of a settings template."""

    def value(match: re.Match[str]) -> str:
        found: Any = fields
        for key in match[1].split("."):
            found = found[int(key)] if isinstance(found, list) else found[key]
        return str(found)

    return re.sub(r"\{\{([A-Za-z.0-9]+)\}\}", value, template)


class Entry:
    """An entry process, started as the deploy file says."""

    def __init__(self, number: int, store: str, folder: Path, record: Record) -> None:
        self.name = f"front-{number}"
        self.ip = f"127.0.7.{number}"
        ports = [free_port(self.ip) for _ in range(5)]
        self.http = (self.ip, ports[0])
        self.ready = (self.ip, ports[1])
        self._record = record
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"][
            "entry"
        ]
        settings = _render(
            (ROOT / role["template"]).read_text(),
            {
                "Node": self.name,
                "Zone": ZONE,
                "Ip": self.ip,
                "InternalPorts": [ports[2], ports[2]],
                "Provider": {"Address": store},
                "Listen": {
                    "Front": f"{self.ip}:{ports[0]}",
                    "Ready": f"{self.ip}:{ports[1]}",
                    "Directory": f"{self.ip}:{ports[3]}",
                },
                "Bounds": BOUNDS,
            },
        ).replace(":9464", f":{ports[4]}")
        path = folder / f"{self.name}.yaml"
        path.write_text(settings)
        words = shlex.split(role["run"])
        if words[0] == "python3":
            words[0] = sys.executable
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "target/deps"),
            "KINGCUPWHEEL_SETTINGS": str(path),
            # The users set it as well; without it the memory grows faster.
            "MALLOC_ARENA_MAX": "1",
        }
        self.log = folder / f"{self.name}.log"
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        record.write("starts", entry=self.name, pid=self.process.pid)

    @property
    def memory_mb(self) -> float:
        """The memory of the process that is its own, in MB."""
        try:
            text = Path(f"/proc/{self.process.pid}/statm").read_text()
        except OSError:
            return 0.0
        resident, shared = (int(one) for one in text.split()[1:3])
        return (resident - shared) * os.sysconf("SC_PAGE_SIZE") / 1e6

    def is_ready(self) -> bool:
        """Return what the readiness page says."""
        try:
            connection = http.client.HTTPConnection(*self.ready, timeout=1.0)
            connection.request("GET", "/v1/ready")
            status = connection.getresponse().status
            connection.close()
        except OSError:
            return False
        return status == 200

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self._record.write("signal", entry=self.name, number=int(number))
        self.process.send_signal(number)

    def stop(self) -> None:
        """End the process."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait(10.0)


class Reply(NamedTuple):
    """What a caller got; status 0 if the connection ended without a whole answer."""

    id: str
    entry: str
    sent_at: float
    ended_at: float
    status: int
    body: bytes


class Caller:
    """A caller with one kept connection to one entry."""

    def __init__(self, name: str, entry: Entry, record: Record) -> None:
        self._name = name
        self._entry = self._next_entry = entry
        self._record = record
        self._connection: http.client.HTTPConnection | None = None
        self._count = 0
        self.replies: list[Reply] = []

    def move_to(self, entry: Entry) -> None:
        """Open the next connections to another entry."""
        self._next_entry = entry

    def send(
        self, *, body: bytes = b"{}", deadline_ms: int = 4000, method: str = "POST"
    ) -> Reply:
        """Send one request and read its answer."""
        self._count += 1
        request_id = f"{self._name}-{self._count}"
        if self._entry is not self._next_entry:
            self._close()
            self._entry = self._next_entry
        if self._connection is None:
            self._connection = http.client.HTTPConnection(
                *self._entry.http, timeout=deadline_ms / 1000 + 1.0
            )
        sent_at = time.monotonic()
        self._record.write("sends", id=request_id, to=self._entry.name)
        status, answer = 0, b""
        try:
            self._connection.request(
                method,
                f"/orders/{request_id}",
                body=body,
                headers={
                    "Host": HOST,
                    "X-Attempt-Id": request_id,
                    "X-Deadline-Ms": str(deadline_ms),
                    "Authorization": f"Bearer {KEY}",
                },
            )
            response = self._connection.getresponse()
            answer = response.read()
            status = response.status
            if response.will_close:
                self._close()
        except (OSError, http.client.HTTPException) as error:
            self._record.write("broken-off", id=request_id, why=type(error).__name__)
            self._close()
        reply = Reply(
            request_id, self._entry.name, sent_at, time.monotonic(), status, answer
        )
        self.replies.append(reply)
        self._record.write("gets", id=request_id, status=status)
        return reply

    def _close(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def wait_until(condition: Any, seconds: float, what: str) -> None:
    """Wait for a condition; exit with 2 if it does not come true."""
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            print(f"could not run: {what}", flush=True)
            raise CouldNotRunError(what)
        time.sleep(0.02)


class CouldNotRunError(Exception):
    """The case could not run."""


def run_case(folder: Path, play: Any) -> None:
    """Run ``play(record, scratch, entries)`` and exit with its result.

    ``play`` adds the entries that it starts to ``entries`` and returns whether the rule
    was broken.
    """
    record = Record(folder / "record.txt")
    entries: list[Entry] = []
    status = 2
    with tempfile.TemporaryDirectory() as scratch:
        try:
            status = 1 if play(record, Path(scratch), entries) else 0
        except (CouldNotRunError, OSError, subprocess.SubprocessError) as error:
            record.say(f"could not run: {type(error).__name__}: {error}")
        finally:
            for entry in entries:
                with contextlib.suppress(OSError, subprocess.SubprocessError):
                    entry.stop()
            if keep := os.environ.get("KEEP_LOGS"):
                for entry in entries:
                    Path(keep, entry.log.name).write_bytes(entry.log.read_bytes())
    record.say(f"exit {status}")
    sys.stdout.flush()
    os._exit(status)
