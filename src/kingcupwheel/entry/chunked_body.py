"""Chunked body of a caller's request, which is never taken for whole if broken off.

The HTTP server takes the end of a connection for the end of a chunk's size, so that a
size of ``0400`` that was broken off after its first digit looks like the last chunk. It
also reads each chunk as a whole, however large its caller says that it is.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from kingcupwheel.entry.body_source import BodySource
from kingcupwheel.entry.exceptions import BodyTruncatedError


if TYPE_CHECKING:
    from kingcupwheel.entry.body_source import CallerConnection

# Limits of a chunk's size with its extensions, and of all trailers.
_MAX_LINE_BYTES = 8_192
_MAX_TRAILER_BYTES = 16_384
_CHUNK_END = b"\r\n"
_SIZE_PATTERN = re.compile(rb"[0-9A-Fa-f]{1,16}")


class ChunkedBody(BodySource):
    """The body as the application reads it; trailers are discarded."""

    length = None

    def __init__(self, connection: CallerConnection) -> None:
        super().__init__(connection)
        # Bytes of the current chunk that are not yet read.
        self._left_bytes = 0
        self.is_complete = False

    def read_some(self, size: int) -> bytes:
        """Return the next bytes, none at the end of the body.

        Raises BodyTruncatedError if the connection ended before the message did, and
        ValueError if its chunks can't be read.
        """
        if not self._left_bytes and not self.is_complete:
            self._left_bytes = self._read_chunk_size()
            if not self._left_bytes:
                self._discard_trailers()
                self.is_complete = True
        if self.is_complete:
            return b""
        data = self._connection.receive(min(size, self._left_bytes))
        if not data:
            raise BodyTruncatedError(f"{self._left_bytes} bytes of a chunk are missing")
        self._left_bytes -= len(data)
        if not self._left_bytes and self._read_line() != _CHUNK_END:
            raise ValueError("a chunk is longer than its size")
        return data

    def _read_chunk_size(self) -> int:
        size = self._read_line().partition(b";")[0].strip()
        if not _SIZE_PATTERN.fullmatch(size):
            raise ValueError(f"{size[:20]!r} is no size of a chunk")
        return int(size, 16)

    def _read_line(self) -> bytes:
        line = self._connection.read_line(_MAX_LINE_BYTES + 1)
        if len(line) > _MAX_LINE_BYTES:
            raise ValueError(
                f"a line of a chunked body is over {_MAX_LINE_BYTES} bytes"
            )
        if not line.endswith(b"\n"):
            raise BodyTruncatedError("a chunk's size or a trailer is broken off")
        return line

    def _discard_trailers(self) -> None:
        size = 0
        while (line := self._read_line()).strip():
            size += len(line)
            if size > _MAX_TRAILER_BYTES:
                raise ValueError(f"the trailers are over {_MAX_TRAILER_BYTES} bytes")
