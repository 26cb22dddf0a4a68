from __future__ import annotations

import socket
from typing import TYPE_CHECKING
from typing import Any

import pytest

from kingcupwheel.entry.exceptions import BodyTruncatedError
from kingcupwheel.entry.http_server import HttpServer


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator

HEAD = b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNKS = b"0003;part=1\r\none\r\n05\r\n two!\r\n"
ENDS = {
    "plain": b"0\r\n\r\n",
    "zeros": b"000\r\n\r\n",
    "trailers": b"0\r\nX-Sum: 1\r\n\r\n",
}


class BodyReader:
    """A WSGI application that keeps each body it has read as a whole."""

    def __init__(self) -> None:
        self.bodies: list[bytes] = []

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        try:
            self.bodies.append(environ["wsgi.input"].read(1000))
        except BodyTruncatedError:
            self.bodies.append(b"truncated")
        start_response("200 OK", [("Content-Length", "0")])
        return [b""]


@pytest.fixture
def reader() -> BodyReader:
    return BodyReader()


@pytest.fixture
def address(reader: BodyReader) -> Iterator[tuple[str, int]]:
    server = HttpServer(
        reader, listen="127.0.0.1:0", threads=2, connections=50, name="entry"
    )
    server.bind()
    server.start()
    yield "127.0.0.1", server.port
    server.stop()


def send(address: tuple[str, int], raw: bytes) -> bytes:
    """Send bytes, end the connection in that direction and return the answers."""
    with socket.create_connection(address, timeout=10.0) as caller:
        caller.sendall(raw)
        caller.shutdown(socket.SHUT_WR)
        received = b""
        while data := caller.recv(65_536):
            received += data
    return received


@pytest.mark.parametrize("end", ENDS)
def test_chunked_request_broken_off_at_any_byte_is_never_whole(
    reader: BodyReader, address: tuple[str, int], end: str
) -> None:
    """Guards against a run of half a request.

    A chunk's size that begins with a zero looks like the last chunk after one digit.
    """
    whole = HEAD + CHUNKS + ENDS[end]

    for cut in range(len(HEAD), len(whole)):
        send(address, whole[:cut])

    assert set(reader.bodies) == {b"truncated"}
    assert len(reader.bodies) == len(whole) - len(HEAD)


@pytest.mark.parametrize("end", ENDS)
def test_request_after_a_chunked_one_is_read_from_its_beginning(
    reader: BodyReader, address: tuple[str, int], end: str
) -> None:
    """Guards against trailers that are taken for the next request."""
    answers = send(address, 2 * (HEAD + CHUNKS + ENDS[end]))

    assert reader.bodies == [b"one two!", b"one two!"]
    assert answers.count(b"HTTP/1.1 200 OK") == 2
