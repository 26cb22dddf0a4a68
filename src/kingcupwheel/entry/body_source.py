"""The body of a caller's request while it arrives, and how it is read into memory."""

from __future__ import annotations

import socket
from abc import ABC
from abc import abstractmethod
from contextlib import contextmanager
from contextlib import suppress
from time import monotonic
from typing import TYPE_CHECKING

from kingcupwheel.entry.exceptions import BodyTooLargeError
from kingcupwheel.entry.exceptions import BodyTooSlowError
from kingcupwheel.entry.exceptions import BodyTruncatedError


if TYPE_CHECKING:
    from collections.abc import Iterator
    from typing import BinaryIO

    from kingcupwheel.entry.body_memory import RequestBody

# Bytes received at a time.
_PART_BYTES = 65_536
# Receive buffer while a body is read for which memory is reserved. The usual one would
# slow down a large body from far away.
_MAX_RECEIVE_BUFFER_BYTES = 1_048_576
# Longest time to receive a body, in seconds.
MAX_BODY_WAIT_S = 30.0
# A body whose deadline has passed may still lie in the receive buffer.
_MIN_WAIT_S = 0.05
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


def set_receive_buffer(connection: socket.socket, size_bytes: int) -> None:
    """Limit the bytes that are received and not yet read.

    They are memory of the machine as well. By default the buffer of each connection
    grows to several megabytes.
    """
    # The caller may have closed the connection already.
    with suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size_bytes)


class CallerConnection:
    """The connection from which one request is read.

    ``receive_buffer_bytes`` is the size of its receive buffer between bodies.
    ``awaits_continue`` says that the caller sends the body once it is asked to.
    """

    def __init__(
        self,
        caller_socket: socket.socket,
        rfile: BinaryIO,
        receive_buffer_bytes: int,
        *,
        awaits_continue: bool = False,
    ) -> None:
        self._rfile = rfile
        self._socket = caller_socket
        self._usual_buffer_bytes = self._buffer_bytes = receive_buffer_bytes
        self._awaits_continue = awaits_continue
        self._deadline_at: float | None = None
        # None unless the socket has a shorter timeout now.
        self._usual_timeout_s: float | None = None

    def receive(self, size: int) -> bytes:
        """Return up to ``size`` bytes as soon as there are any, none at the end."""
        self._send_continue()
        # The server's reader buffers what has arrived with the request's head.
        if self._rfile.has_data():  # type: ignore[attr-defined]
            return self._rfile.read1(size)  # type: ignore[attr-defined, no-any-return]
        self._limit_wait()
        return self._socket.recv(min(size, _PART_BYTES))

    def read_line(self, limit_bytes: int) -> bytes:
        """Return the next line, or as much of it as there is or is allowed."""
        self._send_continue()
        if not self._rfile.has_data():  # type: ignore[attr-defined]
            self._limit_wait()
        return self._rfile.readline(limit_bytes)

    def expect_bytes(self, size: int) -> None:
        """Set the receive buffer for a body of ``size``, 0 after it."""
        wanted = max(self._usual_buffer_bytes, min(size, _MAX_RECEIVE_BUFFER_BYTES))
        if wanted != self._buffer_bytes:
            set_receive_buffer(self._socket, wanted)
            self._buffer_bytes = wanted

    def begin_wait(self, deadline_at: float) -> None:
        """Wait for bytes until ``deadline_at`` (monotonic) from now on."""
        self._deadline_at = deadline_at

    def end_wait(self) -> None:
        """Wait for bytes as long as before ``begin_wait``."""
        self._deadline_at = None
        if self._usual_timeout_s is not None:
            self._socket.settimeout(self._usual_timeout_s)
            self._usual_timeout_s = None

    def _limit_wait(self) -> None:
        if self._deadline_at is not None and self._usual_timeout_s is None:
            self._usual_timeout_s = self._socket.gettimeout() or MAX_BODY_WAIT_S
            left_s = max(_MIN_WAIT_S, self._deadline_at - monotonic())
            self._socket.settimeout(min(self._usual_timeout_s, left_s))

    def _send_continue(self) -> None:
        if self._awaits_continue:
            self._awaits_continue = False
            self._socket.sendall(_CONTINUE)


class BodySource(ABC):
    """A body that is read from its caller's connection.

    ``length`` is its declared length in bytes, None if it has none. ``is_complete``
    tells whether it was read to its end.
    """

    length: int | None
    is_complete: bool

    def __init__(self, connection: CallerConnection) -> None:
        self._connection = connection

    @contextmanager
    def wait_until(self, deadline_at: float) -> Iterator[None]:
        """Wait for bytes of this body until ``deadline_at`` (monotonic).

        Raises BodyTooSlowError for a caller that sends nothing until then.
        """
        self._connection.begin_wait(deadline_at)
        try:
            yield
        except TimeoutError as error:
            raise BodyTooSlowError("no further bytes of a body came in time") from error
        finally:
            self._connection.end_wait()

    @abstractmethod
    def read_some(self, size: int) -> bytes:
        """Return up to ``size`` bytes as soon as there are any, none at the end.

        Raises BodyTruncatedError if the connection ended before the body did.
        """

    def read(self, size: int) -> bytes:
        """Return ``size`` bytes, fewer at the end of the body."""
        data = bytearray()
        while len(data) < size and (part := self.read_some(size - len(data))):
            data += part
        return bytes(data)


class SizedBody(BodySource):
    """A body of a declared length."""

    def __init__(self, connection: CallerConnection, length: int) -> None:
        super().__init__(connection)
        self.length = length
        self.is_complete = not length
        self._left_bytes = length

    def read_some(self, size: int) -> bytes:
        """Return the next bytes, none at the end of the body."""
        if self.is_complete:
            return b""
        if self._left_bytes == self.length:
            self._connection.expect_bytes(self.length)
        data = self._connection.receive(min(size, self._left_bytes))
        if not data:
            raise BodyTruncatedError(f"{self._left_bytes} bytes of a body are missing")
        self._left_bytes -= len(data)
        if not self._left_bytes:
            self.is_complete = True
            self._connection.expect_bytes(0)
        return data


def read_body(
    source: BodySource, body: RequestBody, *, limit_bytes: int, deadline_at: float
) -> None:
    """Read a body to its end; ``deadline_at`` is monotonic.

    Raises BodyTooLargeError if it is over ``limit_bytes`` and BodyMemoryError if there
    is no memory for it; a body of a declared length is not read then. Raises
    BodyTooSlowError and BodyTruncatedError while it is read.
    """
    length = source.length
    if length is not None:
        _check_length(length, limit_bytes)
        body.reserve(length)
    data = bytearray(length or 0)
    size = 0
    with source.wait_until(deadline_at):
        while part := source.read_some(_PART_BYTES):
            end = size + len(part)
            if length is None:
                _check_length(end, limit_bytes)
                body.reserve(end)
            data[size:end] = part
            size = end
            if monotonic() > deadline_at and not source.is_complete:
                raise BodyTooSlowError(f"{size} bytes of a body came in time")
    body.set(data)


def _check_length(length: int, limit_bytes: int) -> None:
    if length > limit_bytes:
        raise BodyTooLargeError(f"a body of {length} bytes, over {limit_bytes}")
