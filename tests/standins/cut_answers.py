"""A server that closes each connection after given bytes, wherever they end."""

from __future__ import annotations

import contextlib
import socket
from threading import Thread


_MAX_REQUEST_BYTES = 65_536


class CutAnswerServer:
    """Answers every request with ``answer``, then closes; use as a context manager."""

    def __init__(self, answer: bytes = b"") -> None:
        self.answer = answer
        self._listener = socket.create_server(("127.0.0.1", 0))
        host, port = self._listener.getsockname()
        self.address = f"{host}:{port}"
        self.url = f"http://{self.address}"

    def __enter__(self) -> CutAnswerServer:
        """Start to serve in a thread."""
        Thread(target=self._serve, daemon=True).start()
        return self

    def __exit__(self, *_: object) -> None:
        """Close the listener, which ends the thread."""
        # A close alone does not wake a thread that waits in accept.
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _serve(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                with contextlib.suppress(OSError), connection:
                    _read_request(connection)
                    connection.sendall(self.answer)


def _read_request(connection: socket.socket) -> None:
    """Read a whole request, since a close with unread bytes is a reset."""
    read = b""
    while b"\r\n\r\n" not in read:
        data = connection.recv(_MAX_REQUEST_BYTES)
        if not data:
            return
        read += data
    head, _, body = read.partition(b"\r\n\r\n")
    length = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line.partition(b":")[2])
    while len(body) < length:
        body += connection.recv(_MAX_REQUEST_BYTES)
