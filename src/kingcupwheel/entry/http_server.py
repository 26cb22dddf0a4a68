"""The HTTP server: cheroot, with access to the caller's socket."""

from __future__ import annotations

import logging
from threading import Thread
from typing import TYPE_CHECKING
from typing import Any

from cheroot import wsgi
from cheroot.server import HeaderReader
from cheroot.server import HTTPConnection
from cheroot.server import HTTPRequest

from kingcupwheel.entry.body_source import CallerConnection
from kingcupwheel.entry.body_source import SizedBody
from kingcupwheel.entry.body_source import set_receive_buffer
from kingcupwheel.entry.chunked_body import ChunkedBody
from kingcupwheel.entry.exceptions import AnswerTruncatedError
from kingcupwheel.entry.exceptions import HttpBindError
from kingcupwheel.entry.lingering_close import LingeringCloser


if TYPE_CHECKING:
    from kingcupwheel.settings.schema import EntryLimits

logger = logging.getLogger("kingcupwheel.entry")

SOCKET_ENVIRON_KEY = "kingcupwheel.socket"
CLOSE_ENVIRON_KEY = "kingcupwheel.close"
# Threads in addition to those for requests, so that refusals, status and discovery are
# still answered at once when all other threads wait.
SPARE_THREADS = 16
# Timeout for a caller to send the next bytes of its request, or to read the next bytes
# of its answer; the thread is freed afterwards.
_SOCKET_TIMEOUT_S = 30
# Connections waiting to be accepted; allows for a burst of reconnecting callers.
_MAX_PENDING_CONNECTIONS = 256
# Hard limit on a request's head; the limit reported to callers is lower.
_MAX_HEAD_BYTES = 262_144


_CONTINUE = b"100-Continue"
# Receive buffer of a connection of endpoints that read no bodies.
DEFAULT_RECEIVE_BUFFER_BYTES = 16_384


# Bounds of the receive buffer of a caller's connection.
_MIN_RECEIVE_BUFFER_BYTES = 16_384
_MAX_RECEIVE_BUFFER_BYTES = 262_144


def receive_buffer_bytes(limits: EntryLimits) -> int:
    """Return the receive buffer of each caller's connection.

    Those of all kept connections together hold about as much as the requests may.
    """
    share_bytes = limits.requests_bytes // limits.connections
    return max(_MIN_RECEIVE_BUFFER_BYTES, min(_MAX_RECEIVE_BUFFER_BYTES, share_bytes))


class _CallerHeaderReader(HeaderReader):
    """Reads headers; the caller's body is asked for when it is read, not at once."""

    def __call__(self, rfile: Any, hdict: dict[bytes, bytes] | None = None) -> Any:
        headers = super().__call__(rfile, hdict)
        if headers.get(b"Expect", b"").lower() == b"100-continue":
            # The HTTP server compares the value, which is not case-sensitive, with
            # lower case.
            headers[b"Expect"] = _CONTINUE
        return headers


class _CallerRequest(HTTPRequest):
    header_reader = _CallerHeaderReader()

    def read_request_headers(self) -> bool:
        """Return whether the headers can be read."""
        if not super().read_request_headers():  # type: ignore[no-untyped-call]
            return False
        length = self.inheaders.get(b"Content-Length", b"0")
        if not length.isdigit():
            message = f"{length[:20]!r} is no Content-Length."
            self.simple_response("400 Bad Request", message)
            return False
        return True


class _ServedConnection(HTTPConnection):
    RequestHandlerClass = _CallerRequest
    # Whether the last request was answered before its body was read.
    has_unread_body = False

    def __init__(self, server: _LoggingServer, sock: Any, makefile: Any) -> None:
        super().__init__(server, sock, makefile)
        set_receive_buffer(sock, server.receive_buffer_bytes)

    def close(self) -> None:
        """Close the connection, so that the answer is not lost with unread bytes."""
        if self.has_unread_body and self.server.closer.add(self.socket):
            # The closer has the socket.
            self.linger = True
            self.has_unread_body = False
        super().close()


class _CallerGateway(wsgi.Gateway_10):
    """Lets the application inspect the caller's socket and close the connection."""

    def get_environ(self) -> dict[str, Any]:  # type: ignore[override]
        """Return the WSGI environ with this module's keys."""
        environ: dict[str, Any] = super().get_environ()  # type: ignore[no-untyped-call]
        request, connection = self.req, self.req.conn
        caller = CallerConnection(
            connection.socket,
            connection.rfile,
            request.server.receive_buffer_bytes,
            awaits_continue=request.inheaders.get(b"Expect") == _CONTINUE,
        )
        # The HTTP server reads the rest of a body that it knows, however large.
        request.rfile = (
            ChunkedBody(caller)
            if request.chunked_read
            else SizedBody(caller, int(request.inheaders.get(b"Content-Length", 0)))
        )
        environ["wsgi.input"] = request.rfile
        environ[SOCKET_ENVIRON_KEY] = connection.socket
        environ[CLOSE_ENVIRON_KEY] = self._close_connection_after
        return environ

    def start_response(self, *args: Any) -> Any:
        """Begin the response; the connection is closed if the body was not read."""
        if not self.req.rfile.is_complete:
            self.req.conn.has_unread_body = True
            self._close_connection_after()
        return super().start_response(*args)

    def _close_connection_after(self) -> None:
        self.req.close_connection = True


class _LoggingServer(wsgi.Server):
    ConnectionClass = _ServedConnection
    is_reading = True
    receive_buffer_bytes = DEFAULT_RECEIVE_BUFFER_BYTES
    closer: LingeringCloser

    def process_conn(self, conn: Any) -> None:
        """Let a thread read from a connection, unless nothing more is read."""
        if self.is_reading:
            super().process_conn(conn)

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Log an error; a truncated answer has been logged already."""
        if traceback and AnswerTruncatedError.__name__ not in msg:
            logger.warning("HTTP server error: %s", msg.strip(), exc_info=True)


class HttpServer:
    """Serves a WSGI application on ``listen`` (``IP:port``) with a pool of threads.

    ``receive_buffer_bytes`` limits the unread bytes of each connection.
    """

    def __init__(
        self,
        application: Any,
        *,
        listen: str,
        threads: int,
        connections: int,
        name: str,
        receive_buffer_bytes: int = DEFAULT_RECEIVE_BUFFER_BYTES,
    ) -> None:
        host, _, port = listen.rpartition(":")
        self._listen = listen
        self._threads = threads
        self._server = _LoggingServer(
            (host, int(port)),
            application,
            numthreads=threads,
            server_name=name,
            request_queue_size=_MAX_PENDING_CONNECTIONS,
            timeout=_SOCKET_TIMEOUT_S,
            shutdown_timeout=_SOCKET_TIMEOUT_S,
        )
        self._server.gateway = _CallerGateway
        self._server.receive_buffer_bytes = receive_buffer_bytes
        self._closer = self._server.closer = LingeringCloser(name)
        self._server.keep_alive_conn_limit = connections
        self._server.max_request_header_size = _MAX_HEAD_BYTES
        self._thread = Thread(target=self._serve, name=f"http-{name}", daemon=True)

    @property
    def port(self) -> int:
        """Port of the listening socket."""
        return int(self._server.bind_addr[1])

    @property
    def is_idle(self) -> bool:
        """Whether no request or answer is in progress and none waits for a thread.

        A thread is not idle while its caller is connected and sends nothing.
        """
        pool = self._server.requests
        is_pool_idle = not pool.qsize and bool(pool.idle >= self._threads)
        return is_pool_idle and self._closer.is_idle

    def bind(self) -> None:
        """Bind the listen address; raises HttpBindError."""
        try:
            self._server.prepare()
        except OSError as error:
            raise HttpBindError(self._listen, str(error)) from error

    def start(self) -> None:
        """Serve in a thread."""
        self._thread.start()

    def _serve(self) -> None:
        self._server.serve()

    def stop_reading(self) -> None:
        """Read no further requests; those that are being read are answered."""
        self._server.is_reading = False

    def stop(self) -> None:
        """Close the listening socket and join the threads."""
        self._server.stop()
        self._thread.join(_SOCKET_TIMEOUT_S)
        self._closer.stop()
