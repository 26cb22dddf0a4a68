"""HTTP responses and connections that notice where a message was broken off.

The standard library takes the end of a connection for the end of a head, of a chunk's
size or of the trailers. A head that was broken off before its length then looks like
that of an answer whose body ends with its connection, and a chunk's size of ``0400``
that was broken off after its first digit looks like the last chunk. It also ends a body
of which it can't read the framing with the connection.

It limits neither the time of a response, as each read has a timeout of its own, nor the
size of its interim heads and trailers.
"""

from __future__ import annotations

from email.errors import FirstHeaderLineIsContinuationDefect
from email.errors import MissingHeaderBodySeparatorDefect
from functools import partial
from http import HTTPStatus
from http.client import HTTPException
from http.client import HTTPResponse
from http.client import LineTooLong
from io import BufferedReader
from io import RawIOBase
from typing import TYPE_CHECKING
from typing import Any

from urllib3.connection import HTTPConnection
from urllib3.connection import HTTPSConnection

from kingcupwheel.utils.integer_parsing import parse_non_negative_int
from kingcupwheel.utils.response_limits import DurationLimitError
from kingcupwheel.utils.response_limits import MetadataLimitError
from kingcupwheel.utils.response_limits import NotHttpError
from kingcupwheel.utils.response_limits import ReadControl


if TYPE_CHECKING:
    import socket
    from email.message import Message

    from _typeshed import WriteableBuffer

# Heads, sizes of chunks and trailers between two parts of a body. One line of them may
# be as long for the standard library.
MAX_METADATA_BYTES = 65_536
_MAX_INTERIM_RESPONSES = 16
# A status line up to its code; a zero stands for any digit.
_STATUS_LINE_START = b"HTTP/0.0 000"
_HEAD_DEFECTS = (MissingHeaderBodySeparatorDefect, FirstHeaderLineIsContinuationDefect)


class IncompleteMessageError(HTTPException):
    """The connection ended inside a message, but not inside its body's data."""


class UnreadableFramingError(HTTPException):
    """A response's head does not tell where its body ends."""


class _ControlledReader(RawIOBase):
    """Reads the bytes of one response up to the deadline of its connection."""

    def __init__(
        self, source: RawIOBase, sock: socket.socket, control: ReadControl
    ) -> None:
        super().__init__()
        self._source = source
        self._sock = sock
        self._control = control
        self._start = b""

    def readable(self) -> bool:
        """Return True."""
        return True

    def readinto(self, buffer: WriteableBuffer, /) -> int | None:
        """Read once; raises DurationLimitError after the deadline."""
        left_s = self._control.left_s
        if left_s <= 0:
            raise DurationLimitError("the response did not end in time")
        self._sock.settimeout(None if left_s == float("inf") else left_s)
        try:
            count: int | None = self._source.readinto(buffer)
        except TimeoutError:
            if self._control.has_received:
                raise DurationLimitError("the response did not end in time") from None
            raise
        self._control.record_received(count or 0)
        missing = len(_STATUS_LINE_START) - len(self._start)
        if count and missing:
            self._start += bytes(memoryview(buffer)[: min(count, missing)])
            if not is_status_line_start(self._start):
                raise NotHttpError(f"a response began with {self._start!r}")
        return count

    def close(self) -> None:
        """Close the source."""
        self._source.close()
        super().close()


def is_status_line_start(start: bytes) -> bool:
    """Return whether a status line may begin with these bytes, at most twelve."""
    return all(
        48 <= found <= 57 if expected == 48 else found == expected
        for found, expected in zip(start, _STATUS_LINE_START, strict=False)
    )


class CompleteLineReader(BufferedReader):
    """Reader of a connection whose lines are never broken off nor without end.

    Lines are read only where the protocol has some: a status line, headers, the sizes
    of chunks and trailers. Each ends with a line feed.
    """

    _has_read_line = False
    # Bytes of lines since the last part of the body.
    _metadata_bytes = 0

    def __init__(self, raw: RawIOBase, control: ReadControl) -> None:
        super().__init__(raw)
        self._control = control

    def read(self, size: int | None = -1, /) -> bytes:
        """Return bytes of the body, or of the end of a chunk."""
        return self._use(super().read(size))

    def read1(self, size: int = -1, /) -> bytes:
        """Return a part of the body."""
        self._metadata_bytes = 0
        return self._use(super().read1(size))

    def _use(self, data: bytes) -> bytes:
        self._control.record_used(len(data))
        return data

    def readline(self, size: int | None = -1, /) -> bytes:
        """Return the next line; empty only if nothing was received at all.

        Raises IncompleteMessageError if the connection ended before the line did, and
        MetadataLimitError for too many bytes of lines in a row.
        """
        line = self._use(super().readline(size))
        is_limited = size is not None and 0 <= size <= len(line)
        is_nothing_received = not line and not self._has_read_line
        if not (line.endswith(b"\n") or is_limited or is_nothing_received):
            raise IncompleteMessageError(
                f"the connection ended in a line of which {len(line)} bytes arrived"
            )
        self._has_read_line = True
        self._metadata_bytes += len(line)
        if self._metadata_bytes > MAX_METADATA_BYTES:
            raise MetadataLimitError(f"over {MAX_METADATA_BYTES} bytes of lines")
        return line


class CheckedResponse(HTTPResponse):
    """A response that fails if its head, a chunk's size or a trailer is broken off.

    It also fails if its head does not tell where its body ends, if it is none or too
    long, and after the deadline of ``control``.
    """

    def __init__(
        self, sock: socket.socket, *args: Any, control: ReadControl, **options: Any
    ) -> None:
        super().__init__(sock, *args, **options)
        source = self.fp.detach()
        raw = _ControlledReader(source, sock, control)
        self.fp = CompleteLineReader(raw, control)
        self._status_line_count = 0

    def begin(self) -> None:
        """Read the head of the final response, after any interim ones.

        Raises HTTPException if the response can't be read. The standard library takes
        all interim responses but 100 for final ones.
        """
        try:
            super().begin()
            while _is_interim(self.status):
                # The base class reads a head only as long as it has none.
                self.headers = None  # type: ignore[assignment]
                super().begin()
        except HTTPException as error:
            # The standard library has no type of its own for too many headers.
            if type(error) in (HTTPException, LineTooLong):
                raise MetadataLimitError(str(error)) from error
            raise
        problem = find_framing_problem(self.headers)
        if problem:
            raise UnreadableFramingError(problem)

    def _read_status(self) -> tuple[str, int, str]:
        """Read a status line; the base class reads any number of interim ones."""
        self._status_line_count += 1
        if self._status_line_count > _MAX_INTERIM_RESPONSES + 1:
            raise MetadataLimitError(f"over {_MAX_INTERIM_RESPONSES} interim responses")
        status: tuple[str, int, str] = super()._read_status()  # type: ignore[misc]
        return status


def _is_interim(status: int) -> bool:
    return 100 <= status < 200 and status != HTTPStatus.SWITCHING_PROTOCOLS


def find_framing_problem(headers: Message) -> str:
    """Return why the framing of a message can't be read, empty if it can.

    The standard library reads such a body up to the end of the connection, so that any
    part of it would look whole. It skips all headers after a line that is none, also
    the length.
    """
    if any(isinstance(one, _HEAD_DEFECTS) for one in headers.defects):
        return "a line of the head is no header"
    encodings = [str(one).lower() for one in headers.get_all("transfer-encoding", ())]
    if encodings not in ([], ["chunked"], ["identity"]):
        return f"unknown transfer encoding {', '.join(encodings)!r}"
    lengths = {str(one) for one in headers.get_all("content-length", ())}
    is_length_known = all(parse_non_negative_int(one) is not None for one in lengths)
    if encodings != ["chunked"] and (len(lengths) > 1 or not is_length_known):
        return f"unreadable length {', '.join(sorted(lengths))!r}"
    return ""


class _CheckedConnection(HTTPConnection):
    """Connection whose timeout is for a whole response.

    A long one has up to ``transfer_s`` more, as long as its bytes come fast enough.
    """

    def __init__(self, *args: Any, transfer_s: float = 0.0, **options: Any) -> None:
        super().__init__(*args, **options)
        self.read_control = ReadControl()
        self._transfer_s = transfer_s
        self.response_class = partial(  # type: ignore[assignment]
            CheckedResponse, control=self.read_control
        )

    @property
    def is_connected(self) -> bool:
        """Whether the connection is open, and nothing came after the last response."""
        return super().is_connected and not self.read_control.unused_bytes

    def getresponse(self) -> Any:
        """Read the head of the response."""
        self.read_control.begin_response(self.timeout, self._transfer_s)
        return super().getresponse()


class CheckedHttpConnection(_CheckedConnection):
    """HTTP connection with such responses."""


class CheckedHttpsConnection(_CheckedConnection, HTTPSConnection):
    """HTTPS connection with such responses."""
