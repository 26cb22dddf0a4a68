"""Base of the HTTP stand-ins: a threaded server, JSON and chunked responses."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import struct
from http.server import BaseHTTPRequestHandler
from http.server import ThreadingHTTPServer
from socket import SHUT_RDWR
from socket import SO_LINGER
from socket import SOL_SOCKET
from threading import Event
from threading import Lock
from threading import Thread
from typing import TYPE_CHECKING
from typing import Any


if TYPE_CHECKING:
    import socket


# The default of the standard library, 0.5 s, would delay the end of every test.
_POLL_INTERVAL_S = 0.05


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_: Any) -> None:
        pass

    def read_body(self) -> bytes:
        """Return the body; raise if the request was cut in its headers or body."""
        stated_length = self.headers.get("Content-Length")
        if stated_length is None and self.command != "GET":
            raise ConnectionError("request without a length")
        length = int(stated_length or 0)
        body = self.rfile.read(length)
        if len(body) < length:
            raise ConnectionError(f"body cut after {len(body)} of {length} bytes")
        return body

    def reply(
        self, status: int, body: bytes, headers: dict[str, str] | None = None
    ) -> None:
        self.send_response(status)
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def reply_json(self, value: object, status: int = 200) -> None:
        body = json.dumps(value).encode()
        self.reply(status, body, {"Content-Type": "application/json"})

    def start_chunked_response(self, headers: dict[str, str]) -> None:
        self.send_response(200)
        for name, value in headers.items():
            self.send_header(name, value)
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()

    def send_chunk(self, data: bytes) -> None:
        self.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self._connections: set[socket.socket] = set()
        self._connections_lock = Lock()

    def process_request(self, request: Any, client_address: Any) -> None:
        with self._connections_lock:
            self._connections.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request: Any) -> None:
        with self._connections_lock:
            self._connections.discard(request)
        super().shutdown_request(request)

    def crash(self) -> None:
        """Close the listener and reset all connections, as the end of a process."""
        # Closed alone, it would accept connections until the serving thread wakes.
        with contextlib.suppress(OSError):
            self.socket.shutdown(SHUT_RDWR)
        self.server_close()
        for connection in self.open_connections():
            with contextlib.suppress(OSError):
                linger = struct.pack("ii", 1, 0)
                connection.setsockopt(SOL_SOCKET, SO_LINGER, linger)
                connection.shutdown(SHUT_RDWR)
                connection.close()

    def open_connections(self) -> tuple[socket.socket, ...]:
        with self._connections_lock:
            return tuple(self._connections)

    def handle_error(self, *_: Any) -> None:
        """Print nothing: a caller that disconnects is not an error of the stand-in."""


class HttpStandIn:
    """An HTTP server that listens once constructed and serves once started.

    Setting ``stopping`` ends handlers that block on purpose.
    """

    def __init__(self, handler: type[Handler], host: str, port: int) -> None:
        bound = type("BoundHandler", (handler,), {"stand_in": self})
        self._server = _Server((host, port), bound)
        self.stopping = Event()
        self._thread = Thread(
            target=self._server.serve_forever, args=(_POLL_INTERVAL_S,), daemon=True
        )

    @property
    def address(self) -> str:
        host, port = self._server.server_address[:2]
        return f"{host!s}:{port}"

    @property
    def url(self) -> str:
        return f"http://{self.address}"

    def start(self) -> None:
        self._thread.start()

    def crash(self) -> None:
        """End as a process does that crashes or whose machine loses power."""
        if not self.stopping.is_set():
            self.stopping.set()
            self._server.crash()
            Thread(target=self._server.shutdown, daemon=True).start()

    def stop(self) -> None:
        self.stopping.set()
        self._server.shutdown()
        self._server.server_close()

    def close_connections(self) -> None:
        """End the threads that wait for requests on kept connections."""
        for connection in self._server.open_connections():
            with contextlib.suppress(OSError):
                connection.shutdown(SHUT_RDWR)


def serve_until_terminated(stand_in: HttpStandIn) -> None:
    """Print the address, then serve until SIGTERM; for stand-ins run as a process."""
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))
    stand_in.start()
    print(stand_in.address, flush=True)
    while not stand_in.stopping.wait(1.0):
        pass
