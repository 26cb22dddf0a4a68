"""A pool of keep-alive connections to backend servers."""

from __future__ import annotations

import socket
from threading import Lock
from time import monotonic
from typing import NamedTuple

import urllib3

from kingcupwheel.forwarding.exceptions import NotConnectedError
from kingcupwheel.utils.server_connection import ServerConnection


# Keep-alive time of connections to servers that name none, in seconds. Servers close
# idle connections after some seconds; a request that crosses the close is lost.
DEFAULT_KEEPALIVE_S = 4.0
# Subtracted from a server's own keep-alive time, for network delay and a late timer.
_KEEPALIVE_MARGIN_S = 1.0
# A hundred times the usual connect time, and short enough that another server can
# still answer a plain request in time.
CONNECT_TIMEOUT_S = 0.3
# Received bytes that wait to be read are memory of the machine as well. A server that
# sends without end fills the buffer of each connection; by default it grows to several
# megabytes.
_RECEIVE_BUFFER_BYTES = 262_144
_SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES),
)
# As many as one server runs requests of this process.
_MAX_IDLE_PER_SERVER = 8


class _IdleConnection(NamedTuple):
    connection: ServerConnection
    expires_at: float


class ConnectionPool:
    """Idle connections by the incarnation of their server; thread-safe."""

    def __init__(self) -> None:
        self._idle_by_incarnation: dict[str, list[_IdleConnection]] = {}
        self._lock = Lock()

    def acquire(self, incarnation: str) -> ServerConnection | None:
        """Return an idle connection that is still open, or None."""
        while True:
            with self._lock:
                idle = self._idle_by_incarnation.get(incarnation)
                if not idle:
                    return None
                one = idle.pop()
            if _is_usable(one, monotonic()):
                return one.connection
            one.connection.close()

    def open(self, address: str) -> ServerConnection:
        """Return a new connection; raises NotConnectedError."""
        host, _, port = address.rpartition(":")
        connection = ServerConnection(
            host,
            int(port),
            timeout=CONNECT_TIMEOUT_S,
            socket_options=_SOCKET_OPTIONS,
        )
        try:
            connection.connect()
        except (urllib3.exceptions.HTTPError, OSError) as error:
            connection.close()
            raise NotConnectedError(f"{type(error).__name__}") from error
        assert connection.sock is not None, "connected"
        return connection

    def release(
        self, incarnation: str, connection: ServerConnection, keepalive_s: float | None
    ) -> None:
        """Return a connection whose last answer was complete to the pool."""
        usable_s = (
            DEFAULT_KEEPALIVE_S
            if keepalive_s is None
            else keepalive_s - _KEEPALIVE_MARGIN_S
        )
        if usable_s > 0:
            with self._lock:
                idle = self._idle_by_incarnation.setdefault(incarnation, [])
                if len(idle) < _MAX_IDLE_PER_SERVER:
                    idle.append(_IdleConnection(connection, monotonic() + usable_s))
                    return
        connection.close()

    def close_unusable(self) -> None:
        """Close idle connections that have expired or on which bytes have arrived.

        A server in trouble may send bytes without end after a complete answer.
        """
        now = monotonic()
        unusable: list[_IdleConnection] = []
        with self._lock:
            for incarnation, idle in self._idle_by_incarnation.items():
                usable = [one for one in idle if _is_usable(one, now)]
                unusable += [one for one in idle if one not in usable]
                self._idle_by_incarnation[incarnation] = usable
        for one in unusable:
            one.connection.close()

    def close_server(self, incarnation: str) -> None:
        """Close the idle connections of a server that left or has bad connections."""
        with self._lock:
            idle = self._idle_by_incarnation.pop(incarnation, [])
        for one in idle:
            one.connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for incarnation in tuple(self._idle_by_incarnation):
            self.close_server(incarnation)


def _is_usable(idle: _IdleConnection, now: float) -> bool:
    return now < idle.expires_at and idle.connection.is_connected
