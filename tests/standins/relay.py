"""A TCP relay that forwards, closes, freezes or delays connections.

Run as ``python -m tests.standins.relay --target IP:port``; it prints the ``IP:port`` it
listens on, then that of its control server, where ``POST /test/mode`` takes JSON
``{"mode": "freeze-open", "delay_ms": 0}``.
"""

from __future__ import annotations

import contextlib
import json
import socket
import struct
from enum import StrEnum
from threading import Event
from threading import Lock
from threading import Thread
from typing import NamedTuple

import click

from tests.standins.http_server import Handler
from tests.standins.http_server import HttpStandIn
from tests.standins.http_server import serve_until_terminated


_BUFFER_BYTES = 65_536
_HEADERS_END = b"\r\n\r\n"
# With a linger time of zero, closing a socket resets its connection.
_NO_LINGER = struct.pack("ii", 1, 0)


class RelayMode(StrEnum):
    """What the relay does with connections.

    ``cut`` closes open and new connections. ``freeze-open`` forwards nothing on the
    connections that are open, for good, and forwards new ones; ``freeze-all`` also
    accepts new ones without forwarding anything.
    """

    PASS = "pass"
    CUT = "cut"
    FREEZE_OPEN = "freeze-open"
    FREEZE_ALL = "freeze-all"


class _ConnectionPair:
    def __init__(self, near: socket.socket, *, frozen: bool) -> None:
        self.caller_socket = near
        self.target_socket: socket.socket | None = None
        self.is_frozen = frozen

    def close(self) -> None:
        for end in (self.caller_socket, self.target_socket):
            if end is not None:
                with contextlib.suppress(OSError):
                    end.shutdown(socket.SHUT_RDWR)
                end.close()


class Relay:
    def __init__(self, target: str, *, host: str = "127.0.0.1", port: int = 0) -> None:
        target_host, target_port = target.rsplit(":", 1)
        self._target = (target_host, int(target_port))
        self._listener = socket.create_server((host, port), backlog=256)
        self._stopping = Event()
        self._lock = Lock()
        self._pairs: list[_ConnectionPair] = []
        self._mode = RelayMode.PASS
        self._delay_ms = 0.0
        self._thread = Thread(target=self._accept, daemon=True)

    @property
    def address(self) -> str:
        host, port = self._listener.getsockname()
        return f"{host}:{port}"

    @property
    def url(self) -> str:
        return f"http://{self.address}"

    def start(self) -> None:
        self._thread.start()

    def stop(self) -> None:
        self._stopping.set()
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self._close_all()

    def set_mode(self, mode: RelayMode, *, delay_ms: float = 0.0) -> None:
        with self._lock:
            self._mode = mode
            self._delay_ms = delay_ms
            if mode in (RelayMode.FREEZE_OPEN, RelayMode.FREEZE_ALL):
                for pair in self._pairs:
                    pair.is_frozen = True
        if mode is RelayMode.CUT:
            self._close_all()

    def _close_all(self) -> None:
        with self._lock:
            pairs, self._pairs = self._pairs, []
        for pair in pairs:
            pair.close()

    def _accept(self) -> None:
        while not self._stopping.is_set():
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            with self._lock:
                mode = self._mode
                pair = _ConnectionPair(near, frozen=mode is RelayMode.FREEZE_ALL)
                if mode is not RelayMode.CUT:
                    self._pairs.append(pair)
            if mode is RelayMode.CUT:
                pair.close()
            else:
                Thread(target=self._connect_pair, args=(pair,), daemon=True).start()

    def _connect_pair(self, pair: _ConnectionPair) -> None:
        if pair.is_frozen:
            self._stopping.wait()
            return
        try:
            pair.target_socket = socket.create_connection(self._target)
            for end in (pair.caller_socket, pair.target_socket):
                end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            # The target is unreachable, or the pair was closed in the meantime.
            pair.close()
            return
        back = Thread(
            target=self._forward_bytes,
            args=(pair, pair.target_socket, pair.caller_socket),
            daemon=True,
        )
        back.start()
        self._forward_bytes(pair, pair.caller_socket, pair.target_socket)

    def _forward_bytes(
        self, pair: _ConnectionPair, source: socket.socket, sink: socket.socket
    ) -> None:
        data = b"-"
        while data:
            try:
                data = source.recv(_BUFFER_BYTES)
            except OSError:
                data = b""
            if self._delay_ms:
                self._stopping.wait(self._delay_ms / 1000)
            if pair.is_frozen:
                self._stopping.wait()
                return
            try:
                sink.sendall(data)
            except OSError:
                break
        pair.close()


class StopPoint(StrEnum):
    """How much of a stopped request is forwarded.

    ``headers`` leaves out the line that ends them, ``body`` the second half of the
    body. ``unread`` forwards the headers and reads no byte of the body, so that a large
    one stays with the caller. ``whole`` waits until the target has begun to answer.
    """

    START = "start"
    HEADERS = "headers"
    UNREAD = "unread"
    BODY = "body"
    WHOLE = "whole"


class StopAction(StrEnum):
    """What happens to the connection of a stopped request.

    ``hold`` keeps both ends open in silence. ``close-caller`` closes only the caller's
    end.
    """

    CLOSE = "close"
    RESET = "reset"
    HOLD = "hold"
    CLOSE_CALLER = "close-caller"


class _RequestStop(NamedTuple):
    point: StopPoint
    action: StopAction


class StoppingRelay(Relay):
    """Relay that stops one request at a chosen point.

    Other connections, also those to ``/engine/``, are forwarded as by ``Relay``.
    ``stopped`` is set once the request is stopped.
    """

    def __init__(self, target: str) -> None:
        super().__init__(target)
        self.stopped = Event()
        self._stop: _RequestStop | None = None
        self._pair: _ConnectionPair | None = None
        self._held_bytes = b""

    def stop_next_request(self, point: StopPoint, action: StopAction) -> None:
        self._stop = _RequestStop(point, action)

    def deliver_held(self) -> None:
        """Forward the rest of the stopped request; its answer is not relayed."""
        if self._pair is None or self._pair.target_socket is None:
            return
        rest = self._held_bytes + _read_available(self._pair.caller_socket)
        if rest:
            self._pair.target_socket.sendall(rest)

    def _connect_pair(self, pair: _ConnectionPair) -> None:
        stop = self._stop
        if stop is None or not _is_request(pair.caller_socket):
            super()._connect_pair(pair)
            return
        self._stop = None
        target = pair.target_socket = socket.create_connection(self._target)
        headers = _read_head(pair.caller_socket)
        body = b""
        if stop.point in (StopPoint.BODY, StopPoint.WHOLE):
            target.sendall(headers)
            if b"expect: 100-continue" in headers.lower():
                pair.caller_socket.sendall(_read_head(target))
            body = _read_body(pair.caller_socket, headers)
        forwarded_count = _count_forwarded(stop.point, headers, body)
        sent_count = len(headers) if body else 0
        target.sendall((headers + body)[sent_count:forwarded_count])
        if stop.point is StopPoint.WHOLE:
            target.recv(1, socket.MSG_PEEK)
        self._pair = pair
        self._held_bytes = (headers + body)[forwarded_count:]
        _apply_stop(pair, stop.action)
        self.stopped.set()


def _is_request(caller: socket.socket) -> bool:
    with contextlib.suppress(OSError):
        start = caller.recv(_BUFFER_BYTES, socket.MSG_PEEK)
        return start.startswith(b"POST ") and not start.startswith(b"POST /engine/")
    return False


def _read_head(source: socket.socket) -> bytes:
    head = b""
    while not head.endswith(_HEADERS_END):
        head += source.recv(1)
    return head


def _read_body(source: socket.socket, headers: bytes) -> bytes:
    length = headers.lower().partition(b"content-length:")[2].split(b"\r\n")[0]
    return source.recv(int(length), socket.MSG_WAITALL)


def _read_available(source: socket.socket) -> bytes:
    """Return what has arrived; nothing if the socket is closed."""
    data = b""
    with contextlib.suppress(OSError):
        source.setblocking(False)
        while chunk := source.recv(_BUFFER_BYTES):
            data += chunk
    return data


def _count_forwarded(point: StopPoint, headers: bytes, body: bytes) -> int:
    match point:
        case StopPoint.START:
            return 0
        case StopPoint.HEADERS:
            return len(headers) - 2
        case StopPoint.UNREAD:
            return len(headers)
        case StopPoint.BODY:
            return len(headers) + len(body) // 2
        case StopPoint.WHOLE:
            return len(headers) + len(body)


def _apply_stop(pair: _ConnectionPair, action: StopAction) -> None:
    match action:
        case StopAction.CLOSE:
            pair.close()
        case StopAction.RESET:
            for end in (pair.caller_socket, pair.target_socket):
                if end is not None:
                    end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
                    end.close()
        case StopAction.CLOSE_CALLER:
            pair.caller_socket.shutdown(socket.SHUT_RDWR)
            pair.caller_socket.close()
        case StopAction.HOLD:
            pass


class RelayControl(HttpStandIn):
    def __init__(self, relay: Relay, *, host: str = "127.0.0.1", port: int = 0) -> None:
        super().__init__(RelayControlHandler, host, port)
        self.relay = relay


class RelayControlHandler(Handler):
    stand_in: RelayControl

    def do_POST(self) -> None:  # noqa: N802
        order = json.loads(self.read_body())
        delay_ms = float(order.get("delay_ms", 0.0))
        self.stand_in.relay.set_mode(RelayMode(order["mode"]), delay_ms=delay_ms)
        self.reply_json({})


@click.command()
@click.option("--target", required=True)
@click.option("--host", default="127.0.0.1")
@click.option("--port", default=0)
@click.option("--control-port", default=0)
def main(target: str, host: str, port: int, control_port: int) -> None:
    relay = Relay(target, host=host, port=port)
    relay.start()
    print(relay.address, flush=True)
    serve_until_terminated(RelayControl(relay, host=host, port=control_port))


if __name__ == "__main__":
    main()
