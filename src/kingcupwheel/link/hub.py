"""Message hub: one thread that owns all zmq sockets to other processes.

zmq sockets are not thread-safe, so other threads queue messages and the hub's thread
sends them. Handlers run on the hub's thread and must not block.
"""

from __future__ import annotations

import contextlib
import logging
import socket
from collections import deque
from threading import Event
from threading import Thread
from time import monotonic
from typing import TYPE_CHECKING
from typing import NamedTuple

import zmq

from kingcupwheel.link.exceptions import CannotListenError
from kingcupwheel.link.links import IncomingLink
from kingcupwheel.link.links import OutgoingLink
from kingcupwheel.link.links import TrafficCounts
from kingcupwheel.messages.codec import MsgpackCodec


if TYPE_CHECKING:
    from collections.abc import Callable

    from kingcupwheel.link.links import Link
    from kingcupwheel.messages.base import Message

logger = logging.getLogger("kingcupwheel.link")

# Messages read from one socket before the next socket is served: a flood on one link
# must not delay the heartbeats of the others.
_MAX_MESSAGES_PER_TURN = 64
# Messages queued for one peer. Beyond it a DEALER refuses and a ROUTER drops messages;
# streams recover by resuming at an offset, so the bound only limits memory.
_HIGH_WATER_MARK_MESSAGES = 4096
# Several times the largest body of a request or object of the platform. A peer that
# announces a larger message is disconnected before any memory is taken for it.
MAX_MESSAGE_BYTES = 32_000_000
# Time for the last frames of responses to be sent when the hub stops.
_LINGER_MS = 1000


class _SendCommand(NamedTuple):
    link: Link
    message: Message


class _ReconnectCommand(NamedTuple):
    address: str


class _DisconnectCommand(NamedTuple):
    address: str


_Command = _SendCommand | _ReconnectCommand | _DisconnectCommand


class MessageHub:
    """Sends and receives messages; its public methods are thread-safe.

    ``on_message`` and ``on_tick`` are called on the hub's thread, ``on_tick`` about
    every ``tick_s`` seconds with the monotonic time.
    """

    def __init__(
        self,
        *,
        listen: str,
        on_message: Callable[[Link, Message], None],
        on_tick: Callable[[float], None],
        tick_s: float = 0.25,
    ) -> None:
        self._on_message = on_message
        self._on_tick = on_tick
        self._tick_s = tick_s
        self._context = zmq.Context()
        self._router = self._bind(listen)
        self._dealers_by_address: dict[str, zmq.Socket[bytes]] = {}
        self._generation_by_address: dict[str, int] = {}
        self._codec = MsgpackCodec()
        self._commands: deque[_Command] = deque()
        self._wake_in, self._wake_out = socket.socketpair()
        self._wake_in.setblocking(False)
        self._wake_out.setblocking(False)
        self._poller = zmq.Poller()
        self._poller.register(self._router, zmq.POLLIN)
        self._poller.register(self._wake_out, zmq.POLLIN)
        self._stopping = Event()
        self._thread = Thread(target=self._run, name="hub", daemon=True)
        self._traffic_counts = [0, 0, 0, 0]

    @property
    def traffic(self) -> TrafficCounts:
        """Counts of messages and bytes received and sent so far."""
        return TrafficCounts(*self._traffic_counts)

    @property
    def port(self) -> int:
        """The port of the listening socket."""
        endpoint = self._router.getsockopt_string(zmq.LAST_ENDPOINT)
        return int(endpoint.rsplit(":", 1)[1])

    def start(self) -> None:
        """Start the hub's thread."""
        self._thread.start()

    def stop(self) -> None:
        """Send queued messages, close every socket and stop the thread."""
        self._stopping.set()
        self._wake()
        self._thread.join()

    def send(self, link: Link, message: Message) -> None:
        """Queue ``message``; an outgoing link is opened if necessary.

        A message for an older generation of a link is sent on the newest one.
        """
        self._commands.append(_SendCommand(link, message))
        self._wake()

    def reconnect(self, address: str) -> None:
        """Close the outgoing link to ``address`` and open a new connection."""
        self._commands.append(_ReconnectCommand(address))
        self._wake()

    def disconnect(self, address: str) -> None:
        """Close the outgoing link to ``address``."""
        self._commands.append(_DisconnectCommand(address))
        self._wake()

    def _bind(self, listen: str) -> zmq.Socket[bytes]:
        router = self._context.socket(zmq.ROUTER)
        router.setsockopt(zmq.LINGER, _LINGER_MS)
        router.setsockopt(zmq.SNDHWM, _HIGH_WATER_MARK_MESSAGES)
        router.setsockopt(zmq.RCVHWM, _HIGH_WATER_MARK_MESSAGES)
        router.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        try:
            router.bind(f"tcp://{listen}")
        except zmq.ZMQError as error:
            router.close()
            raise CannotListenError(listen, str(error)) from error
        return router

    def _wake(self) -> None:
        # A full buffer means that a wake-up is already pending.
        with contextlib.suppress(BlockingIOError, OSError):
            self._wake_in.send(b"\0")

    def _run(self) -> None:
        next_tick = monotonic()
        while not self._stopping.is_set():
            next_tick = self._tick(next_tick)
            self._run_commands()
            timeout_ms = max(0, int((next_tick - monotonic()) * 1000))
            self._receive(dict(self._poller.poll(timeout_ms)))
        self._run_commands()
        self._close_sockets()

    def _tick(self, next_tick: float) -> float:
        now = monotonic()
        if now < next_tick:
            return next_tick
        try:
            self._on_tick(now)
        except Exception:
            logger.exception("Unhandled exception in the tick callback.")
        return now + self._tick_s

    def _run_commands(self) -> None:
        with contextlib.suppress(BlockingIOError):
            self._wake_out.recv(4096)
        while self._commands:
            match self._commands.popleft():
                case _SendCommand(link, message):
                    self._send(link, message)
                case _ReconnectCommand(address):
                    self._close_dealer(address)
                    self._open_dealer(address)
                case _DisconnectCommand(address):
                    self._close_dealer(address)

    def _send(self, link: Link, message: Message) -> None:
        frame = self._codec.encode(message)
        self._traffic_counts[1] += 1
        self._traffic_counts[3] += len(frame)
        try:
            match link:
                case OutgoingLink(address, _):
                    self._open_dealer(address).send(frame, zmq.NOBLOCK)
                case IncomingLink(identity):
                    self._router.send_multipart((identity, frame), zmq.NOBLOCK)
        except zmq.ZMQError:
            logger.debug("Could not send a message to %s; message dropped.", link)

    def _open_dealer(self, address: str) -> zmq.Socket[bytes]:
        dealer = self._dealers_by_address.get(address)
        if dealer is not None:
            return dealer
        dealer = self._context.socket(zmq.DEALER)
        dealer.setsockopt(zmq.LINGER, 0)
        dealer.setsockopt(zmq.SNDHWM, _HIGH_WATER_MARK_MESSAGES)
        dealer.setsockopt(zmq.RCVHWM, _HIGH_WATER_MARK_MESSAGES)
        dealer.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        dealer.setsockopt(zmq.RECONNECT_IVL, 100)
        dealer.setsockopt(zmq.RECONNECT_IVL_MAX, 2000)
        dealer.connect(f"tcp://{address}")
        self._dealers_by_address[address] = dealer
        generation = self._generation_by_address.get(address, 0) + 1
        self._generation_by_address[address] = generation
        self._poller.register(dealer, zmq.POLLIN)
        return dealer

    def _close_dealer(self, address: str) -> None:
        dealer = self._dealers_by_address.pop(address, None)
        if dealer is not None:
            self._poller.unregister(dealer)
            dealer.close()

    def _receive(self, ready: dict[object, int]) -> None:
        if self._router in ready:
            self._receive_router()
        for address, dealer in list(self._dealers_by_address.items()):
            if dealer in ready:
                link = OutgoingLink(address, self._generation_by_address[address])
                self._receive_dealer(link, dealer)

    def _receive_router(self) -> None:
        for _ in range(_MAX_MESSAGES_PER_TURN):
            try:
                identity, *frames = self._router.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            if len(frames) == 1:
                self._deliver(IncomingLink(identity), frames[0])

    def _receive_dealer(self, link: OutgoingLink, dealer: zmq.Socket[bytes]) -> None:
        for _ in range(_MAX_MESSAGES_PER_TURN):
            if dealer.closed:
                return
            try:
                frame = dealer.recv(zmq.NOBLOCK)
            except zmq.Again:
                return
            self._deliver(link, frame)

    def _deliver(self, link: Link, frame: bytes) -> None:
        self._traffic_counts[0] += 1
        self._traffic_counts[2] += len(frame)
        result = self._codec.decode(frame)
        if result.is_error():
            logger.warning(
                "Could not decode a message from %s: %s.", link, result.error.detail
            )
            return
        try:
            self._on_message(link, result.ok)
        except Exception:
            logger.exception("Unhandled exception in the message handler.")

    def _close_sockets(self) -> None:
        for address in list(self._dealers_by_address):
            self._close_dealer(address)
        self._router.close()
        self._wake_in.close()
        self._wake_out.close()
        self._context.term()
