"""Chunked body of a caller's request, which is never taken for whole if broken off.

The HTTP server takes the end of a connection for the end of a chunk's size, so that a
size of ``0400`` that was broken off after its first digit looks like the last chunk.
"""

from __future__ import annotations

from typing import BinaryIO

from cheroot.server import ChunkedRFile

from kingcupwheel.entry.exceptions import BodyTruncatedError


# Limits of a chunk's size with its extensions, and of all trailers.
_MAX_LINE_BYTES = 8_192
_MAX_TRAILER_BYTES = 16_384


class _UnbrokenReader:
    """Reader of a connection that fails if the connection ends too early."""

    def __init__(self, source: BinaryIO) -> None:
        self._source = source

    def read(self, size: int) -> bytes:
        data = self._source.read(size)
        if len(data) < size:
            raise BodyTruncatedError(f"{size - len(data)} bytes of a chunk are missing")
        return data

    def readline(self) -> bytes:
        line = self._source.readline(_MAX_LINE_BYTES + 1)
        if len(line) > _MAX_LINE_BYTES:
            raise ValueError(
                f"a line of a chunked body is over {_MAX_LINE_BYTES} bytes"
            )
        if not line.endswith(b"\n"):
            raise BodyTruncatedError("a chunk's size or a trailer is broken off")
        return line


class ChunkedBody:
    """The body as the application reads it; trailers are discarded."""

    def __init__(self, source: BinaryIO) -> None:
        self._reader = _UnbrokenReader(source)
        self._chunks = ChunkedRFile(self._reader, 0)
        self._has_read_trailers = False

    def read(self, size: int) -> bytes:
        """Return up to ``size`` bytes, fewer at the end of the body.

        Raises BodyTruncatedError if the connection ended before the message did, and
        ValueError if its chunks can't be read.
        """
        data: bytes = self._chunks.read(size)
        if self._chunks.closed and not self._has_read_trailers:
            self._discard_trailers()
            self._has_read_trailers = True
        return data

    def _discard_trailers(self) -> None:
        size = 0
        while (line := self._reader.readline()).strip():
            size += len(line)
            if size > _MAX_TRAILER_BYTES:
                raise ValueError(f"the trailers are over {_MAX_TRAILER_BYTES} bytes")
