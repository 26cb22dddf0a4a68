"""Connections to backend servers, kept between requests."""

from __future__ import annotations

import contextlib
import select
from threading import Lock
from time import monotonic
from typing import NamedTuple

import urllib3
from urllib3.connection import HTTPConnection

from kingcupwheel.forwarding.exceptions import NotConnectedError


# How long an idle connection is used again when its server names no time, in seconds.
# Servers close idle ones after some seconds; a request that crosses the close is lost.
DEFAULT_KEEPALIVE_S = 4.0
# Taken off a server's own time, for its answer's way and a slow timer.
_KEEPALIVE_MARGIN_S = 1.0
# How long a connection may take to be established: a hundred times the usual way, and
# short enough that another server can still answer a plain request in time.
CONNECT_TIMEOUT_S = 0.3
# Kept for one server at most: as many as it runs requests from this process.
_MAX_IDLE_PER_SERVER = 8
# A safety net only; waits are bounded by the watchdog.
_SOCKET_TIMEOUT_S = 30.0


class _IdleConnection(NamedTuple):
    connection: HTTPConnection
    expires_at: float


class ConnectionPool:
    """Kept connections by the life of their server; safe from any thread."""

    def __init__(self) -> None:
        self._idle_by_incarnation: dict[str, list[_IdleConnection]] = {}
        self._lock = Lock()

    def acquire(self, incarnation: str) -> HTTPConnection | None:
        """Return a kept connection that is still open, or None."""
        while True:
            with self._lock:
                kept = self._idle_by_incarnation.get(incarnation)
                if not kept:
                    return None
                one = kept.pop()
            if monotonic() < one.expires_at and _is_reusable(one.connection):
                return one.connection
            one.connection.close()

    def open(self, address: str) -> HTTPConnection:
        """Return a new connection; raises NotConnectedError."""
        host, _, port = address.rpartition(":")
        connection = HTTPConnection(host, int(port), timeout=CONNECT_TIMEOUT_S)
        try:
            connection.connect()
        except (urllib3.exceptions.HTTPError, OSError) as error:
            connection.close()
            raise NotConnectedError(f"{type(error).__name__}") from error
        assert connection.sock is not None, "connected"
        # The library sets it on the socket again for each request.
        connection.timeout = _SOCKET_TIMEOUT_S
        return connection

    def release(
        self, incarnation: str, connection: HTTPConnection, keepalive_s: float | None
    ) -> None:
        """Keep a connection whose last answer was whole."""
        usable_s = (
            DEFAULT_KEEPALIVE_S
            if keepalive_s is None
            else keepalive_s - _KEEPALIVE_MARGIN_S
        )
        if usable_s > 0:
            with self._lock:
                kept = self._idle_by_incarnation.setdefault(incarnation, [])
                if len(kept) < _MAX_IDLE_PER_SERVER:
                    kept.append(_IdleConnection(connection, monotonic() + usable_s))
                    return
        connection.close()

    def close_server(self, incarnation: str) -> None:
        """Close what is kept of a server that left, or whose connections are bad."""
        with self._lock:
            kept = self._idle_by_incarnation.pop(incarnation, [])
        for one in kept:
            one.connection.close()


def _is_reusable(connection: HTTPConnection) -> bool:
    """Return whether nothing has come since the last answer, not even a close."""
    if connection.sock is None:
        return False
    with contextlib.suppress(OSError, ValueError):
        readable, _, _ = select.select([connection.sock], [], [], 0)
        return not readable
    return False
