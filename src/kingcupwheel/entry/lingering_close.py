"""Closes connections on which a caller still sends the body of an answered request.

Failure: a request is refused before its body is read, and its connection is closed.
Symptom: bytes that arrive afterwards make the kernel reset the connection, and the
caller loses the refusal.
"""

from __future__ import annotations

import selectors
import socket
from contextlib import suppress
from threading import Lock
from threading import Thread
from time import monotonic


# How long bytes are discarded, in seconds: a body of 4 MB comes over 10 Mbit/s in less.
_MAX_DISCARD_S = 5.0
# Connections at a time; over it one is closed at once.
_MAX_CONNECTIONS = 256
_READ_BYTES = 65_536


class LingeringCloser:
    """Discards what arrives on connections until their callers close them; thread-safe.

    No request thread waits for it. Its own thread starts with the first connection.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._deadline_by_socket: dict[socket.socket, float] = {}
        self._new: list[socket.socket] = []
        self._is_stopping = False
        self._wake_in: socket.socket | None = None
        self._lock = Lock()
        self._thread: Thread | None = None

    @property
    def is_idle(self) -> bool:
        """Whether there is no connection left."""
        return not self._deadline_by_socket

    def add(self, connection: socket.socket) -> bool:
        """Close a connection once its caller has; return False if there are too many.

        What was sent on it is complete: its caller gets the end at once.
        """
        with self._lock:
            if self._is_stopping or len(self._deadline_by_socket) >= _MAX_CONNECTIONS:
                return False
            if self._thread is None and not self._start():
                return False
            self._deadline_by_socket[connection] = monotonic() + _MAX_DISCARD_S
            self._new.append(connection)
        with suppress(OSError):
            connection.shutdown(socket.SHUT_WR)
        self._wake()
        return True

    def _start(self) -> bool:
        """Start the thread; return False if the process can have none."""
        wake_in, wake_out = socket.socketpair()
        wake_in.setblocking(False)
        wake_out.setblocking(False)
        thread = Thread(
            target=self._run, args=(wake_out,), name=f"closer-{self._name}", daemon=True
        )
        try:
            thread.start()
        except RuntimeError:
            wake_in.close()
            wake_out.close()
            return False
        self._wake_in, self._thread = wake_in, thread
        return True

    def stop(self) -> None:
        """Close all connections and end the thread."""
        with self._lock:
            self._is_stopping = True
        if self._thread is not None:
            self._wake()
            self._thread.join()

    def _wake(self) -> None:
        # A full buffer means that a wake-up is already pending.
        assert self._wake_in is not None, "called once the thread has started"
        with suppress(OSError):
            self._wake_in.send(b"\0")

    def _run(self, wake_out: socket.socket) -> None:
        with selectors.DefaultSelector() as selector, wake_out:
            selector.register(wake_out, selectors.EVENT_READ)
            while not self._is_stopping:
                self._register_new(selector)
                for key, _ in selector.select(self._next_timeout_s()):
                    self._discard(selector, key.fileobj)
                now = monotonic()
                for one, deadline in tuple(self._deadline_by_socket.items()):
                    if now >= deadline:
                        self._close(selector, one)
            self._register_new(selector)
            for one in tuple(self._deadline_by_socket):
                self._close(selector, one)

    def _next_timeout_s(self) -> float | None:
        deadlines = tuple(self._deadline_by_socket.values())
        return max(0.0, min(deadlines) - monotonic()) if deadlines else None

    def _register_new(self, selector: selectors.BaseSelector) -> None:
        with self._lock:
            added, self._new = self._new, []
        for one in added:
            try:
                one.setblocking(False)
                selector.register(one, selectors.EVENT_READ)
            except (OSError, ValueError):
                # It is closed already.
                with self._lock:
                    del self._deadline_by_socket[one]

    def _discard(self, selector: selectors.BaseSelector, ready: object) -> None:
        assert isinstance(ready, socket.socket), "only sockets are registered"
        try:
            is_open = bool(ready.recv(_READ_BYTES))
        except BlockingIOError:
            return
        except OSError:
            is_open = False
        if not is_open:
            self._close(selector, ready)

    def _close(self, selector: selectors.BaseSelector, one: socket.socket) -> None:
        selector.unregister(one)
        with self._lock:
            del self._deadline_by_socket[one]
        # The HTTP server's files may hold the socket open until they are collected.
        with suppress(OSError):
            one.shutdown(socket.SHUT_RDWR)
        one.close()
