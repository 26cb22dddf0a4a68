"""Cancellation of a server call from another thread."""

from __future__ import annotations

import contextlib
import socket
from threading import Event
from threading import Lock


class Cancellation:
    """Cancellation flag, set once by the thread that cancels the call; never blocks.

    Setting it shuts the connection down, which wakes the thread that reads from it.
    Without that, the request of a caller that left would occupy the server until the
    next token.
    """

    def __init__(self) -> None:
        self._event = Event()
        self._lock = Lock()
        self._connection: socket.socket | None = None

    def is_set(self) -> bool:
        """Return whether the call is cancelled."""
        return self._event.is_set()

    def wait(self, timeout_s: float) -> bool:
        """Wait for the cancellation; return whether the call is cancelled."""
        return self._event.wait(timeout_s)

    def set(self) -> None:
        """Cancel the call."""
        with self._lock:
            self._event.set()
            if self._connection is not None:
                _shut_down(self._connection)

    def set_connection(self, connection: socket.socket | None) -> None:
        """Set the connection to shut down; shut it down now if already cancelled."""
        with self._lock:
            self._connection = connection
            if connection is not None and self._event.is_set():
                _shut_down(connection)


def _shut_down(connection: socket.socket) -> None:
    # The other end may have closed it already.
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)
