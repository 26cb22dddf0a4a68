"""Stops a call to the server from another thread."""

from __future__ import annotations

import contextlib
import socket
from threading import Event
from threading import Lock


class Cancellation:
    """Set once by the thread that stops the call; never blocks.

    The thread that makes the call is woken by shutting its connection down: without
    that, a caller that left would keep a place on the server until the next token.
    """

    def __init__(self) -> None:
        self._event = Event()
        self._lock = Lock()
        self._connection: socket.socket | None = None

    def is_set(self) -> bool:
        """Whether the call is to stop."""
        return self._event.is_set()

    def wait(self, timeout_s: float) -> bool:
        """Wait for it to be set; return whether it is."""
        return self._event.wait(timeout_s)

    def set(self) -> None:
        """Stop the call."""
        with self._lock:
            self._event.set()
            if self._connection is not None:
                _shut_down(self._connection)

    def set_connection(self, connection: socket.socket | None) -> None:
        """Name the connection to shut down; at once if already set."""
        with self._lock:
            self._connection = connection
            if connection is not None and self._event.is_set():
                _shut_down(connection)


def _shut_down(connection: socket.socket) -> None:
    # The other end may have closed it already.
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)
