"""Stand-ins and helpers of the review's scripts: store, servers, clients, processes.

Only the standard library is used, so the scripts need nothing but the product's build.
All addresses are loopback ones with free ports, and all files but the record are in a
temporary folder.
"""

from __future__ import annotations

import http.client
import json
import os
import random
import shutil
import signal
import socket
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
from urllib.parse import parse_qs
from urllib.parse import unquote
from urllib.parse import urlsplit


ROOT = Path(__file__).resolve().parents[1]
HOST = "127.0.0.1"
CALLER_HOST = "shop.example"
API_KEY = "key-of-org"
# Exit codes of a script.
HELD, BROKEN, NOT_RUN = 0, 1, 2
# Bounds of a small deployment, as in the users' pages.
DRAIN_S = 2.0
RECOVER_S = 12.0
HEARTBEAT_S = 1.2
GRACE_S = 8.0
# The store's largest page, and the longest wait of one watch in seconds.
_PAGE_ITEMS = 500
_MAX_WATCH_S = 30.0
# A process that ends is started again after this delay, in seconds.
RESTART_DELAY_S = 0.3


class Record:
    """Writes what happens, with the seconds since the start, to ``record.txt``."""

    def __init__(self, folder: Path) -> None:
        self._began = time.monotonic()
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._lock = threading.Lock()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began

    def write(self, what: str, **fields: object) -> float:
        """Write one line; return its time."""
        with self._lock:
            at = self.now()
            rest = " ".join(f"{name}={value}" for name, value in fields.items())
            self._file.write(f"{at:9.3f} {what} {rest}\n")
            self._file.flush()
        return at


def free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as found:
        found.bind((HOST, 0))
        return int(found.getsockname()[1])


class _QuietServer(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 64

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore connections that the other side has closed or reset."""


class Store:
    """The platform's object store: kinds, revisions, pages, conditions, watches."""

    def __init__(self) -> None:
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._events: list[tuple[int, str, dict[str, Any], bool]] = []
        self._revision = 100
        self._changed = threading.Condition()
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def _handle(self) -> None:
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length)
                status, value = store.call(self.command, self.path, body)
                raw = json.dumps(value).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(raw)))
                self.end_headers()
                self.wfile.write(raw)

            do_GET = do_POST = do_PUT = do_DELETE = _handle  # noqa: N815

            def log_message(self, *_: Any) -> None:
                pass

        self._server = _QuietServer((HOST, 0), Handler)
        self.address = f"{HOST}:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Create or replace an object, as the operator and other writers do."""
        with self._changed:
            self._write(kind, name, spec)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object if it exists."""
        with self._changed:
            self._delete(kind, name)

    def _write(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        known = self._objects.get((kind, name))
        if known is not None and known["Spec"] == spec:
            return known
        self._revision += 1
        created = self._revision if known is None else known["Metadata"]["Created"]
        found = {
            "Metadata": {
                "Name": name,
                "Revision": self._revision,
                "Created": created,
                "Finalizers": [],
                "Deleting": False,
            },
            "Spec": spec,
            "Status": None,
        }
        self._objects[kind, name] = found
        self._events.append((self._revision, kind, found, False))
        self._changed.notify_all()
        return found

    def _delete(self, kind: str, name: str) -> None:
        known = self._objects.pop((kind, name), None)
        if known is not None:
            self._revision += 1
            self._events.append((self._revision, kind, known, True))
            self._changed.notify_all()

    def call(self, method: str, path: str, body: bytes) -> tuple[int, Any]:
        """Return the status and the body of one call."""
        url = urlsplit(path)
        query = {name: one[0] for name, one in parse_qs(url.query).items()}
        parts = [unquote(one) for one in url.path.split("/")[3:]]
        kind, name = parts[0], "/".join(parts[1:])
        if method == "GET":
            return self._read(kind, name, query)
        decoded = json.loads(body) if body else {}
        metadata = decoded.get("Metadata") or {}
        wanted = metadata.get("Revision") or int(query.get("Revision", 0))
        with self._changed:
            name = name or str(metadata.get("Name", ""))
            known = self._objects.get((kind, name))
            if method == "POST":
                if known is not None:
                    return 409, known
                return 201, self._write(kind, name, decoded.get("Spec"))
            if known is None:
                return 404, {}
            if wanted and wanted != known["Metadata"]["Revision"]:
                return 409, known
            if method == "DELETE":
                self._delete(kind, name)
                return 200, {}
            return 200, self._write(kind, name, decoded.get("Spec"))

    def _read(self, kind: str, name: str, query: dict[str, str]) -> tuple[int, Any]:
        if "Watch" in query:
            return self._watch(kind, query)
        with self._changed:
            if name:
                known = self._objects.get((kind, name))
                return (404, {}) if known is None else (200, known)
            names = sorted(
                one for found_kind, one in self._objects if found_kind == kind
            )
            rest = [one for one in names if one > query.get("After", "")]
            items = [self._objects[kind, one] for one in rest[:_PAGE_ITEMS]]
            return 200, {
                "Items": items,
                "More": len(rest) > _PAGE_ITEMS,
                "StoreRevision": self._revision,
            }

    def _watch(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        after = int(query["Watch"])
        wait_s = min(_MAX_WATCH_S, int(query.get("WaitMs", 0)) / 1000)
        deadline = time.monotonic() + wait_s
        with self._changed:
            while True:
                events = [
                    {"Tombstone": is_gone, "Object": found}
                    for revision, found_kind, found, is_gone in self._events
                    if found_kind == kind and revision > after
                ]
                left_s = deadline - time.monotonic()
                if events or left_s <= 0:
                    return 200, {"events": events, "StoreRevision": self._revision}
                self._changed.wait(left_s)


class Arrival(NamedTuple):
    """A request that a server began to run."""

    at: float
    attempt: str
    server: str
    path: str


class Server:
    """A backend server of a plain service, with its entry in the store.

    ``answer_s`` is how long a request takes. ``cut_head_at`` returns after how many
    bytes of its head an answer breaks off, None for a whole answer.
    """

    def __init__(
        self, name: str, service: str, store: Store, record: Record, *, slots: int = 6
    ) -> None:
        self.name = name
        self.service = service
        self.answer_s = 0.01
        self.is_leaving = False
        self.state = "ready"
        self.arrivals: list[Arrival] = []
        self.body_by_attempt: dict[str, bytes] = {}
        self.signature_by_attempt: dict[str, str] = {}
        self.cut_head_at: Any = lambda head: None
        self._store = store
        self._record = record
        self._slots = slots
        self._born = int(time.time() * 1000)
        self._seq = 0
        self._ended = threading.Event()
        self._running = 0
        self._lock = threading.Lock()
        self._connections: set[socket.socket] = set()
        self._server = _QuietServer((HOST, 0), self._make_handler())
        self.address = f"{HOST}:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def entry(self) -> dict[str, Any]:
        """Return what the server writes of itself."""
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": "zone-1",
            "Version": "v1",
            "Slots": self._slots,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Seq": self._seq,
            "born": self._born,
        }

    def beat(self) -> None:
        """Write the entry now."""
        self._seq += 1
        self._store.put("servers", self.name, self.entry())

    def _beat(self) -> None:
        while not self._ended.is_set():
            self.beat()
            self._ended.wait(HEARTBEAT_S)

    def end(self) -> None:
        """Exit: the entry goes, and all connections are closed."""
        self._ended.set()
        self._store.remove("servers", self.name)
        self._server.shutdown()
        self._server.server_close()
        for one in list(self._connections):
            one.close()
        self._record.write("server-ended", server=self.name)

    def _make_handler(self) -> type[BaseHTTPRequestHandler]:
        server = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def setup(self) -> None:
                super().setup()
                server._connections.add(self.connection)

            def _handle(self) -> None:
                length = int(self.headers.get("Content-Length") or 0)
                self.rfile.read(length)
                server._handle(self)

            do_GET = do_POST = _handle  # noqa: N815

            def log_message(self, *_: Any) -> None:
                pass

        return Handler

    def _handle(self, call: BaseHTTPRequestHandler) -> None:
        attempt = call.headers.get("X-Attempt-Id", "")
        if call.path == "/healthz":
            _write_answer(call, 200, {"X-Instance-Id": self.name}, b"")
            return
        expected = call.headers.get("X-Expect-Instance")
        refused = {"X-Attempt-Id": attempt, "X-Not-Executed": "1"}
        if expected not in (None, self.name):
            self._record.write("421", server=self.name, attempt=attempt)
            _write_answer(call, 421, refused, b"")
            return
        with self._lock:
            is_full = self._running >= self._slots
            self._running += not is_full
        if is_full:
            _write_answer(call, 503, refused, b"")
            return
        try:
            self._run(call, attempt)
        finally:
            with self._lock:
                self._running -= 1

    def _run(self, call: BaseHTTPRequestHandler, attempt: str) -> None:
        at = self._record.write(
            "runs", server=self.name, attempt=attempt, path=call.path
        )
        self.arrivals.append(Arrival(at, attempt, self.name, call.path))
        time.sleep(self.answer_s)
        body = (f"{attempt} answered by {self.name}. " * 12).encode()
        signature = f"{self.name}.{attempt}.{len(body)}"
        self.body_by_attempt[attempt] = body
        self.signature_by_attempt[attempt] = signature
        headers = {"X-Attempt-Id": attempt, "X-Response-Signature": signature}
        if self.is_leaving:
            headers["Server-Leaving"] = "1"
        headers["X-Server-Load"] = f"{self._running},0,{self._slots}"
        cut = _write_answer(call, 200, headers, body, self.cut_head_at)
        what = "answers" if cut is None else f"breaks-off-after-{cut}-bytes-of-its-head"
        self._record.write(what, server=self.name, attempt=attempt, body=len(body))


def _write_answer(
    call: BaseHTTPRequestHandler,
    status: int,
    headers: dict[str, str],
    body: bytes,
    cut_head_at: Any = lambda head: None,
) -> int | None:
    """Write an answer; return after how many bytes of its head it broke off."""
    lines = [f"HTTP/1.1 {status} {http.client.responses.get(status, '')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += ["Content-Type: text/plain", f"Content-Length: {len(body)}", "", ""]
    head = "\r\n".join(lines).encode()
    cut: int | None = cut_head_at(head)
    if cut is None:
        call.wfile.write(head + body)
        return None
    call.wfile.write(head[:cut])
    call.wfile.flush()
    call.connection.shutdown(socket.SHUT_RDWR)
    call.close_connection = True
    return cut


class Answer(NamedTuple):
    """What a client got; status 0 if its connection ended without a whole answer."""

    status: int
    headers: dict[str, str]
    body: bytes
    why: str = ""


class Client:
    """A client with one connection at a time, which it keeps while that is allowed."""

    def __init__(self, record: Record, seed: int = 1) -> None:
        self._record = record
        self._random = random.Random(seed)
        self._connection: http.client.HTTPConnection | None = None
        self._address = ""

    def send(
        self, address: str, method: str, path: str, *, deadline_ms: int = 1500
    ) -> tuple[str, float, Answer]:
        """Send one request; return its id, when it was sent, and the answer."""
        attempt = f"{self._random.getrandbits(64):016x}"
        headers = {
            "Host": CALLER_HOST,
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": str(deadline_ms),
            "Authorization": f"Bearer {API_KEY}",
        }
        body = None if method == "GET" else f"body of {attempt}".encode()
        sent_at = self._record.write(
            "sent", attempt=attempt, method=method, path=path, to=address
        )
        answer = self._exchange(address, method, path, body, headers, deadline_ms)
        self._record.write(
            "got",
            attempt=attempt,
            status=answer.status or answer.why,
            signature=answer.headers.get("x-response-signature", "-"),
            body=len(answer.body),
        )
        return attempt, sent_at, answer

    def _exchange(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes | None,
        headers: dict[str, str],
        deadline_ms: int,
    ) -> Answer:
        if address != self._address:
            self.close()
        try:
            if self._connection is None:
                host, _, port = address.rpartition(":")
                self._connection = http.client.HTTPConnection(
                    host, int(port), timeout=deadline_ms / 1000
                )
                self._address = address
            self._connection.request(method, path, body, headers)
            response = self._connection.getresponse()
            read = response.read()
        except (OSError, http.client.HTTPException) as error:
            self.close()
            return Answer(0, {}, b"", type(error).__name__)
        found = {name.lower(): value for name, value in response.getheaders()}
        if response.will_close:
            self.close()
        return Answer(response.status, found, read)

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None


class EntryProcess:
    """An entry of the product, started with the command of the deploy file."""

    def __init__(self, name: str, folder: Path, store: Store, record: Record) -> None:
        self.name = name
        self.front, self.ready, self.directory = (
            f"{HOST}:{free_port()}" for _ in range(3)
        )
        self._record = record
        self._folder = folder
        self._settings = folder / f"{name}.yaml"
        self._settings.write_text(self._render(store.address), encoding="utf-8")
        self._process: subprocess.Popen[bytes] | None = None

    def _render(self, store: str) -> str:
        """Return the settings as the template of the deploy file lays them out."""
        return f"""name: {self.name}
role: entry
data_centre: zone-1
listen: "{HOST}:{free_port()}"
http: "{self.front}"
platform:
  url: "http://{store}"
forwarding:
  ready: "{self.ready}"
  addresses: "{self.directory}"
  revoke_ms: 5000
  retry_share: 0.2
  retry_floor: 90
  retry_window_s: 10
  grace_s: {GRACE_S:.0f}
  steady_ms: 3000
entry:
  threads: 96
  connections: 1200
log_level: info
"""

    def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        command = deploy["roles"]["entry"]["run"].split()
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["KINGCUPWHEEL_SETTINGS"] = str(self._settings)
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._record.write("process-started", entry=self.name)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self._signal(signal.SIGKILL)
        self._record.write("process-killed", entry=self.name)

    def stop(self) -> None:
        """End the process, whatever it does."""
        self._signal(signal.SIGKILL)

    def _signal(self, number: int) -> None:
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)
            self._process.wait(10.0)

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process is not None and self._process.poll() is None

    def is_ready(self) -> bool:
        """Return whether the process answers the platform that it is ready."""
        host, _, port = self.ready.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=1.0)
        try:
            connection.request("GET", "/v1/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def wait_until_ready(self, timeout_s: float) -> bool:
        """Return whether the process becomes ready within ``timeout_s``."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if self.is_ready():
                return True
            time.sleep(0.1)
        return False


def configuration(service: str) -> dict[str, Any]:
    """Return a configuration with an idempotent and a non-idempotent route."""
    common = {
        "Host": CALLER_HOST,
        "TimeoutMs": 1500,
        "TargetLatencyMs": 200,
        "Priority": 2,
        "Service": service,
        "Anonymous": False,
        "Sticky": False,
        "Resumable": False,
        "GapTargetMs": 0,
    }
    status = {
        "Name": "status",
        "PathPrefix": "/status/",
        "Kind": "idempotent",
        "MaxAttempts": 2,
    }
    pickup = {
        "Name": "pickup",
        "PathPrefix": "/pickup/",
        "Kind": "non_idempotent",
        "MaxAttempts": 1,
    }
    return {
        "Version": 3,
        "Routes": [{**common, **status}, {**common, **pickup}],
        "Services": [
            {"Name": service, "HealthCheck": "/healthz", "MaxConnections": 100}
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": "org", "ApiKeys": [API_KEY], "Priority": 1}],
    }


class Deployment:
    """A store, servers and entries; use it as a context manager."""

    def __init__(self, folder: Path, *, servers: int, entries: int) -> None:
        self.record = Record(folder)
        self._folder = Path(tempfile.mkdtemp(prefix="kingcupwheel-review-"))
        self.store = Store()
        self.store.put("config", "main", configuration("portal"))
        self.servers = [
            Server(f"i-{number}", "portal", self.store, self.record)
            for number in range(1, servers + 1)
        ]
        self.entries = [
            EntryProcess(f"front-{number}", self._folder, self.store, self.record)
            for number in range(1, entries + 1)
        ]

    def __enter__(self) -> Deployment:
        """Start the entries."""
        for entry in self.entries:
            entry.start()
        return self

    def __exit__(self, *_: object) -> None:
        """End every process and remove the temporary folder."""
        for entry in self.entries:
            entry.stop()
        shutil.rmtree(self._folder, ignore_errors=True)

    def wait_until_ready(self, timeout_s: float = 15.0) -> bool:
        """Return whether every entry becomes ready in time."""
        return all(entry.wait_until_ready(timeout_s) for entry in self.entries)


def has_trouble() -> bool:
    """Return whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


def finish(record: Record, code: int, what: str) -> None:
    """Write the result and exit."""
    record.write("result", code=code, why=f"'{what}'")
    print(what)
    sys.exit(code)
