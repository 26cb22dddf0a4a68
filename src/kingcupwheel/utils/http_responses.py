"""HTTP responses and connections that notice where a message was broken off.

The standard library takes the end of a connection for the end of a head, of a chunk's
size or of the trailers. A head that was broken off before its length then looks like
that of an answer whose body ends with its connection, and a chunk's size of ``0400``
that was broken off after its first digit looks like the last chunk. It also ends a body
of which it can't read the framing with the connection.
"""

from __future__ import annotations

from email.errors import FirstHeaderLineIsContinuationDefect
from email.errors import MissingHeaderBodySeparatorDefect
from http import HTTPStatus
from http.client import HTTPException
from http.client import HTTPResponse
from io import BufferedReader
from typing import TYPE_CHECKING
from typing import Any

import urllib3
from urllib3.connection import HTTPConnection
from urllib3.connection import HTTPSConnection
from urllib3.util import parse_url

from kingcupwheel.utils.integer_parsing import parse_non_negative_int


if TYPE_CHECKING:
    import socket
    from email.message import Message

# A timeout of a read starts anew with each of them.
_MAX_INTERIM_RESPONSES = 16
_HEAD_DEFECTS = (MissingHeaderBodySeparatorDefect, FirstHeaderLineIsContinuationDefect)


class IncompleteMessageError(HTTPException):
    """The connection ended inside a message, but not inside its body's data."""


class UnreadableFramingError(HTTPException):
    """A response's head does not tell where its body ends."""


class CompleteLineReader(BufferedReader):
    """Reader of a connection whose lines are never broken off.

    Lines are read only where the protocol has some: a status line, headers, the sizes
    of chunks and trailers. Each ends with a line feed.
    """

    _has_read_line = False

    def readline(self, size: int | None = -1, /) -> bytes:
        """Return the next line; empty only if nothing was received at all.

        Raises IncompleteMessageError if the connection ended before the line did.
        """
        line = super().readline(size)
        is_limited = size is not None and 0 <= size <= len(line)
        is_nothing_received = not line and not self._has_read_line
        if not (line.endswith(b"\n") or is_limited or is_nothing_received):
            raise IncompleteMessageError(
                f"the connection ended in a line of which {len(line)} bytes arrived"
            )
        self._has_read_line = True
        return line


class CheckedResponse(HTTPResponse):
    """A response that fails if its head, a chunk's size or a trailer is broken off.

    It also fails if its head does not tell where its body ends.
    """

    def __init__(self, sock: socket.socket, *args: Any, **options: Any) -> None:
        super().__init__(sock, *args, **options)
        self.fp = CompleteLineReader(self.fp.detach())

    def begin(self) -> None:
        """Read the head of the final response, after any interim ones.

        Raises HTTPException if the response can't be read. The standard library takes
        all interim responses but 100 for final ones.
        """
        super().begin()
        interim_count = 0
        while _is_interim(self.status):
            interim_count += 1
            if interim_count > _MAX_INTERIM_RESPONSES:
                raise HTTPException(f"over {_MAX_INTERIM_RESPONSES} interim responses")
            # The base class reads a head only as long as it has none.
            self.headers = None  # type: ignore[assignment]
            super().begin()
        problem = find_framing_problem(self.headers)
        if problem:
            raise UnreadableFramingError(problem)


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


class CheckedHttpConnection(HTTPConnection):
    """HTTP connection with such responses."""

    response_class = CheckedResponse


class CheckedHttpsConnection(HTTPSConnection):
    """HTTPS connection with such responses."""

    response_class = CheckedResponse


class _HttpPool(urllib3.HTTPConnectionPool):
    ConnectionCls = CheckedHttpConnection


class _HttpsPool(urllib3.HTTPSConnectionPool):
    ConnectionCls = CheckedHttpsConnection


_POOL_CLASS_BY_SCHEME = {"http": _HttpPool, "https": _HttpsPool}


def open_connection_pool(url: str, **options: Any) -> urllib3.HTTPConnectionPool:
    """Return a pool of checked connections to the host of ``url``.

    ``options`` are those of ``urllib3.HTTPConnectionPool``. Raises LocationValueError
    for a URL of another scheme or without a host.
    """
    parsed = parse_url(url)
    pool_class = _POOL_CLASS_BY_SCHEME.get(parsed.scheme or "")
    if pool_class is None or not parsed.host:
        raise urllib3.exceptions.LocationValueError(f"{url!r} is no HTTP URL")
    pool: urllib3.HTTPConnectionPool = pool_class(
        parsed.host, port=parsed.port, **options
    )
    return pool
