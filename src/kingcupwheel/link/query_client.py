"""Client that sends one query to many processes, for the command line."""

from __future__ import annotations

from time import monotonic
from typing import TYPE_CHECKING
from typing import TypeVar

import zmq

from kingcupwheel.link.hub import MAX_MESSAGE_BYTES
from kingcupwheel.messages.codec import MsgpackCodec


if TYPE_CHECKING:
    from collections.abc import Mapping

    from kingcupwheel.messages.base import Message

Answer = TypeVar("Answer", bound="Message")

# Bounds the command's run time when a process keeps sending other messages.
_MAX_FRAMES_PER_PROCESS = 8


class QueryClient:
    """Queries processes over their own sockets; not thread-safe.

    All processes are queried at the same time, so any number of stopped, paused or
    unreachable ones costs ``timeout_s`` once.
    """

    def __init__(self, *, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self._codec = MsgpackCodec()

    def ask(
        self,
        address_by_process: Mapping[str, str],
        question: Message,
        answer: type[Answer],
    ) -> dict[str, Answer]:
        """Return the replies by process, without those that did not reply in time."""
        frame = self._codec.encode(question)
        with zmq.Context() as context:
            poller = zmq.Poller()
            process_by_dealer = {}
            for process, address in address_by_process.items():
                dealer = _connect(context, address)
                dealer.send(frame)
                process_by_dealer[dealer] = process
                poller.register(dealer, zmq.POLLIN)
            try:
                return self._gather(poller, process_by_dealer, answer)
            finally:
                for dealer in process_by_dealer:
                    dealer.close()

    def _gather(
        self,
        poller: zmq.Poller,
        process_by_dealer: dict[zmq.Socket[bytes], str],
        answer: type[Answer],
    ) -> dict[str, Answer]:
        reply_by_process: dict[str, Answer] = {}
        deadline = monotonic() + self._timeout_s
        frames_left = _MAX_FRAMES_PER_PROCESS * len(process_by_dealer)
        while len(reply_by_process) < len(process_by_dealer) and frames_left:
            left_ms = int((deadline - monotonic()) * 1000)
            ready = poller.poll(left_ms) if left_ms > 0 else []
            if not ready:
                break
            for dealer, _ in ready:
                frames_left -= 1
                decoded = self._codec.decode(dealer.recv())
                if decoded.is_ok() and isinstance(decoded.ok, answer):
                    reply_by_process[process_by_dealer[dealer]] = decoded.ok
        return reply_by_process


def _connect(
    context: zmq.Context[zmq.Socket[bytes]], address: str
) -> zmq.Socket[bytes]:
    dealer = context.socket(zmq.DEALER)
    dealer.setsockopt(zmq.LINGER, 0)
    dealer.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
    dealer.connect(f"tcp://{address}")
    return dealer
