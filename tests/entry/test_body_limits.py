"""Bodies at the HTTP server: how much of them is read, and whether refusals arrive."""

from __future__ import annotations

import http.client
import json
import socket
import time
from typing import TYPE_CHECKING
from typing import Any

import pytest

from kingcupwheel.entry.body_memory import BodyMemory
from kingcupwheel.entry.body_refusals import read_or_refuse
from kingcupwheel.entry.http_server import HttpServer
from tests.soak.planned.polling import is_readable


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator

MB = 1_000_000
LIMIT_BYTES = 4 * MB
TIMEOUT_S = 10.0


class Reader:
    """WSGI application that reads bodies into ``memory`` and says what came of it."""

    def __init__(self) -> None:
        self.memory = BodyMemory(2 * MB)
        self.wait_s = TIMEOUT_S

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answer one request."""
        body = self.memory.open()
        refusal = None
        if environ["PATH_INFO"] != "/unread":
            refusal = read_or_refuse(
                environ["wsgi.input"],
                body,
                limit_bytes=LIMIT_BYTES,
                deadline_at=time.monotonic() + self.wait_s,
            )
        found = {"reason": refusal and refusal.reason, "size": len(body)}
        body.close()
        answer = json.dumps(found).encode()
        status = f"{200 if refusal is None else refusal.status} Status"
        start_response(status, [("Content-Length", str(len(answer)))])
        return [answer]


@pytest.fixture
def reader() -> Reader:
    return Reader()


@pytest.fixture
def port(reader: Reader) -> Iterator[int]:
    server = HttpServer(
        reader, listen="127.0.0.1:0", threads=2, connections=50, name="entry"
    )
    server.bind()
    server.start()
    yield server.port
    server.stop()


def connect(port: int) -> socket.socket:
    return socket.create_connection(("127.0.0.1", port), timeout=TIMEOUT_S)


def read_answer(caller: socket.socket) -> tuple[int, dict[str, Any], str | None]:
    """Return an answer's status, body and Connection header."""
    response = http.client.HTTPResponse(caller)
    response.begin()
    found = json.loads(response.read())
    return response.status, found, response.getheader("Connection")


def head(length: int, *fields: str, path: str = "/") -> bytes:
    lines = [f"POST {path} HTTP/1.1", "Host: h", f"Content-Length: {length}", *fields]
    return "\r\n".join([*lines, "", ""]).encode()


def test_caller_that_sends_its_whole_body_first_gets_the_refusal(port: int) -> None:
    """Guards against a refusal that is lost with a reset of its connection."""
    with connect(port) as caller:
        caller.sendall(head(3 * MB))
        time.sleep(0.1)
        caller.sendall(bytes(3 * MB))
        time.sleep(0.1)
        status, found, connection = read_answer(caller)

    assert (status, found["reason"]) == (503, "body-memory")
    assert connection == "close"


def test_refusal_comes_before_the_body_is_sent(port: int) -> None:
    """Guards against bodies that are read although there is no memory for them."""
    with connect(port) as caller:
        caller.sendall(head(3 * MB))

        status, found, _ = read_answer(caller)

        assert (status, found["reason"]) == (503, "body-memory")
        assert caller.recv(1) == b""


@pytest.mark.parametrize(("length", "first"), [(MB, b"100 "), (3 * MB, b"503 ")])
def test_caller_that_asks_first_is_told_to_send_only_what_is_read(
    port: int, length: int, first: bytes
) -> None:
    """Guards against a request for a body that is refused."""
    with connect(port) as caller:
        caller.sendall(head(length, "Expect: 100-continue"))
        begin = caller.recv(1000)
        assert begin.startswith(b"HTTP/1.1 " + first)
        if first == b"100 ":
            caller.sendall(bytes(length))
            status, found, _ = read_answer(caller)
            assert (status, found["size"]) == (200, length)


def test_large_chunk_is_refused_before_it_is_read(port: int, reader: Reader) -> None:
    """Guards against a chunk that is read as a whole, however large it is."""
    chunked = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    sent = 0
    with connect(port) as caller:
        caller.sendall(chunked + b"F0000000\r\n")
        while not is_readable(caller, 0.0) and sent < 100 * MB:
            sent += caller.send(bytes(65_536))

        answer = caller.recv(65_536)

    assert answer.startswith(b"HTTP/1.1 503")
    assert sent < 20 * MB
    assert reader.memory.used_bytes == 0


def test_body_that_an_endpoint_does_not_read_is_not_read_for_it(port: int) -> None:
    """Guards against memory for the bodies of requests that have none.

    The HTTP server read the rest of a body as a whole before it sent the answer.
    """
    with connect(port) as caller:
        caller.sendall(head(900 * MB, path="/unread"))

        status, found, connection = read_answer(caller)

    assert (status, found["size"], connection) == (200, 0, "close")


@pytest.mark.parametrize("length", ["-1", "1_0", "+5", "5 5", "x"])
def test_malformed_length_is_a_bad_request(port: int, length: str) -> None:
    """Guards against a body of the length -1, which had no end."""
    with connect(port) as caller:
        text = f"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: {length}\r\n\r\n"
        caller.sendall(text.encode())

        assert caller.recv(1000).startswith(b"HTTP/1.1 400")


def test_slow_body_is_refused_in_time(port: int, reader: Reader) -> None:
    """Guards against callers that hold memory as long as a byte comes in time."""
    reader.wait_s = 0.3
    with connect(port) as caller:
        caller.sendall(head(MB))
        for _ in range(8):
            caller.sendall(b"x")
            time.sleep(0.06)

        status, found, _ = read_answer(caller)

    assert (status, found["reason"]) == (408, "body-too-slow")


def test_caller_that_stops_sending_is_refused_in_time(
    port: int, reader: Reader
) -> None:
    """Guards against memory that a caller holds which lost power in its body."""
    reader.wait_s = 0.3
    with connect(port) as caller:
        caller.sendall(head(MB) + b"first bytes")

        status, found, _ = read_answer(caller)

    assert (status, found["reason"]) == (408, "body-too-slow")
    assert reader.memory.used_bytes == 0


def test_connection_is_kept_after_a_body_of_each_size(port: int) -> None:
    """Guards against rests of a body that are taken for the next request."""
    with connect(port) as caller:
        for size in (0, 1, 65_535, 65_536, 65_537, MB, 3):
            caller.sendall(head(size) + bytes(size))

            status, found, connection = read_answer(caller)

            assert (status, found["size"], connection) == (200, size, None)


def test_unread_bytes_of_a_connection_are_bounded(port: int, reader: Reader) -> None:
    """Guards against bodies that wait in receive buffers, which are memory as well."""
    callers = [connect(port) for _ in range(6)]
    sent = 0
    # Two of them hold both threads; the others wait for one.
    for caller in callers:
        caller.sendall(head(2 * MB - 1))
        caller.setblocking(False)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16_384)
    time.sleep(0.2)
    for caller in callers[2:]:
        try:
            while True:
                sent += caller.send(bytes(16_384))
        except BlockingIOError:
            pass
    for caller in callers:
        caller.close()

    assert sent < 4 * 400_000
