"""A TCP relay that forwards, closes, freezes or delays connections.

Run as ``python -m tests.standins.relay --target IP:port``; it prints the ``IP:port`` it
listens on, then that of its control server, where ``POST /test/mode`` takes JSON
``{"mode": "freeze-open", "delay_ms": 0}``.
"""

from __future__ import annotations

import contextlib
import json
import socket
from enum import StrEnum
from threading import Event
from threading import Lock
from threading import Thread

import click

from tests.standins.http_server import Handler
from tests.standins.http_server import HttpStandIn
from tests.standins.http_server import serve_until_terminated


_BUFFER_BYTES = 65_536


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
