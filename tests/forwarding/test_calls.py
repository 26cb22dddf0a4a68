from __future__ import annotations

import socket
import struct
from threading import Thread
from time import monotonic
from typing import TYPE_CHECKING
from typing import Any

import pytest
from urllib3.connection import HTTPConnection

from kingcupwheel.forwarding.calls import Answered
from kingcupwheel.forwarding.calls import AnswerLost
from kingcupwheel.forwarding.calls import NotSent
from kingcupwheel.forwarding.calls import OutgoingRequest
from kingcupwheel.forwarding.calls import ServerClient
from kingcupwheel.forwarding.connection_pool import ConnectionPool
from kingcupwheel.forwarding.exceptions import AnswerLostError
from kingcupwheel.forwarding.http_metadata import ServerNotice
from kingcupwheel.forwarding.watchdog import AbortReason
from kingcupwheel.forwarding.watchdog import WatchedRequest
from tests.forwarding.fleet import WAIT_TIMEOUT_S
from tests.forwarding.fleet import wait_until


if TYPE_CHECKING:
    from kingcupwheel.forwarding.calls import CallResult


HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a-1\r\nX-Response-Signature: s\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n"
)


class PendingCall:
    """A request in a thread, to a server that the test implements on a plain socket."""

    def __init__(self, time_left_s: float = WAIT_TIMEOUT_S) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.watched = WatchedRequest(None, monotonic() + time_left_s)
        self.connections = ConnectionPool()
        self.results: list[CallResult] = []
        self.thread = Thread(target=self._send, daemon=True)
        self.thread.start()
        self.server, _ = self.listener.accept()
        self.server.settimeout(WAIT_TIMEOUT_S)
        wait_until(lambda: b"body" in self.server.recv(65_536, socket.MSG_PEEK))

    def _send(self) -> None:
        host, port = self.listener.getsockname()
        self.results.append(
            ServerClient(self.connections).send(
                OutgoingRequest("POST", "/x", {}, b"body", "a-1"),
                instance="i-1",
                incarnation="i-1",
                address=f"{host}:{port}",
                watched=self.watched,
                silence_timeout_s=WAIT_TIMEOUT_S,
                liveness=None,
                needs_new_connection=False,
                may_abort_silent=lambda: True,
                may_send=lambda: True,
            )
        )

    def is_reset(self) -> bool:
        """Return whether the server's kernel has received a reset."""
        return self.server.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0


def reset(connection: socket.socket) -> None:
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()


def test_request_whose_connection_is_reset_before_its_first_byte_is_not_sent() -> None:
    """Guards against an unknown outcome of a request of which no byte was sent.

    A server resets connections over its limit as soon as they are open. Its reset may
    arrive before the request is sent: the request has not run, and another server may
    get it, also if it may run only once.
    """
    listener = socket.create_server(("127.0.0.1", 0))
    host, port = listener.getsockname()

    def reset_before_the_first_byte() -> bool:
        reset(listener.accept()[0])
        return True

    result = ServerClient(ConnectionPool()).send(
        OutgoingRequest("POST", "/x", {}, b"body", "a-1"),
        instance="i-1",
        incarnation="i-1",
        address=f"{host}:{port}",
        watched=WatchedRequest(None, monotonic() + WAIT_TIMEOUT_S),
        silence_timeout_s=WAIT_TIMEOUT_S,
        liveness=None,
        needs_new_connection=True,
        may_abort_silent=lambda: True,
        may_send=reset_before_the_first_byte,
    )

    assert result == NotSent("closed before it was sent: ConnectionResetError")


def test_request_whose_connection_is_reset_after_its_first_bytes_may_have_run() -> None:
    """Guards against a second run of a request that a server may have begun."""
    call = PendingCall()

    reset(call.server)
    call.thread.join(WAIT_TIMEOUT_S)

    assert call.results == [AnswerLost("no answer: ConnectionResetError")]


@pytest.mark.parametrize(
    "cut",
    [
        AbortReason.CALLER_LEFT,
        AbortReason.TIMEOUT,
        AbortReason.SERVER_SILENT,
        AbortReason.SERVER_SLOW,
    ],
)
def test_a_request_given_up_before_its_answer_is_reset_at_its_server(
    cut: AbortReason,
) -> None:
    """A frozen server must not start a request whose caller has left meanwhile."""
    call = PendingCall()

    call.watched.abort(cut)
    call.thread.join(WAIT_TIMEOUT_S)

    assert call.results == [AnswerLost(cut.value)]
    assert call.is_reset()


def test_an_answer_given_up_midway_is_reset_at_its_server() -> None:
    """A frozen server must not go on with an answer that is no longer read."""
    call = PendingCall()
    call.server.sendall(HEAD)
    call.thread.join(WAIT_TIMEOUT_S)
    (result,) = call.results
    assert isinstance(result, Answered)
    assert result.answer.read() == b"first"

    result.answer.end("i-1", call.connections)

    assert call.is_reset()


def test_complete_answer_ends_without_a_reset() -> None:
    call = PendingCall()
    call.server.sendall(HEAD.replace(b"\r\n\r\n5", b"\r\nConnection: close\r\n\r\n5"))
    call.server.sendall(b"0\r\n\r\n")
    call.thread.join(WAIT_TIMEOUT_S)
    (result,) = call.results
    assert isinstance(result, Answered)
    assert result.answer.read_whole(1000) == b"first"

    result.answer.end("i-1", call.connections)

    assert not call.is_reset()


def test_leaving_notice_of_an_early_answer_is_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against further requests to a leaving server whose answer is not used."""
    request = HTTPConnection.request

    def request_then_fail(connection: HTTPConnection, *args: Any, **keys: Any) -> None:
        request(connection, *args, **keys)
        raise BrokenPipeError

    monkeypatch.setattr(HTTPConnection, "request", request_then_fail)
    call = PendingCall()

    call.server.sendall(HEAD.replace(b"\r\n\r\n5", b"\r\nServer-Leaving: 1\r\n\r\n5"))
    call.thread.join(WAIT_TIMEOUT_S)

    (result,) = call.results
    assert isinstance(result, AnswerLost)
    assert result.notice == ServerNotice(is_leaving=True)


def test_answer_may_pause_until_the_deadline_of_its_request() -> None:
    """Guards against ending an answer after 30 s of a pause on a slower route."""
    call = PendingCall(time_left_s=60.0)

    call.server.sendall(HEAD + b"0\r\n\r\n")
    call.thread.join(WAIT_TIMEOUT_S)

    result = call.results[0]
    assert isinstance(result, Answered)
    result.answer.read_whole(100)
    result.answer.end("i-1", call.connections)
    connection = call.connections.acquire("i-1")
    assert connection is not None
    assert connection.sock is not None
    assert (connection.sock.gettimeout() or 0.0) > 60.0


def test_answer_without_framing_is_aborted_by_the_request_that_takes_it_over() -> None:
    """Guards against reading on for a caller that left, from a server that is silent.

    An answer that ends with its connection no longer has the connection's socket.
    """
    call = PendingCall()
    call.server.sendall(
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a-1\r\nX-Response-Signature: s\r\n\r\nfirst"
    )
    call.thread.join(WAIT_TIMEOUT_S)
    result = call.results[0]
    assert isinstance(result, Answered)
    watched = WatchedRequest(None, monotonic() + WAIT_TIMEOUT_S)

    result.answer.watch_with(watched, WAIT_TIMEOUT_S, "i-1", lambda: True)
    watched.abort(AbortReason.CALLER_LEFT)

    with pytest.raises(AnswerLostError, match=AbortReason.CALLER_LEFT.value):
        result.answer.read_whole(100)
    assert monotonic() < watched.deadline_at
