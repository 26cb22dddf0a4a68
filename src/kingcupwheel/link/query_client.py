"""One question to many processes at once, for the command line."""

from __future__ import annotations

from time import monotonic
from typing import TYPE_CHECKING
from typing import TypeVar

import zmq

from kingcupwheel.messages.codec import MsgpackCodec


if TYPE_CHECKING:
    from collections.abc import Mapping

    from kingcupwheel.messages.base import Message

Answer = TypeVar("Answer", bound="Message")

# Answers read from one process before it is taken to have none: a process that sends
# anything else without end must not hold up the command.
_MAX_FRAMES_PER_PROCESS = 8


class QueryClient:
    """Asks processes over their own sockets; belongs to one thread.

    A process that is gone, paused or cut off costs ``timeout_s`` once, however many
    of them there are, since all are asked at the same time.
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
        """Return the answers by process; who did not answer in time is left out."""
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
        found: dict[str, Answer] = {}
        end = monotonic() + self._timeout_s
        tries = _MAX_FRAMES_PER_PROCESS * len(process_by_dealer)
        while len(found) < len(process_by_dealer) and tries:
            left_ms = int((end - monotonic()) * 1000)
            ready = poller.poll(left_ms) if left_ms > 0 else []
            if not ready:
                break
            for dealer, _ in ready:
                tries -= 1
                received = self._codec.decode(dealer.recv())
                if received.is_ok() and isinstance(received.ok, answer):
                    found[process_by_dealer[dealer]] = received.ok
        return found


def _connect(
    context: zmq.Context[zmq.Socket[bytes]], address: str
) -> zmq.Socket[bytes]:
    dealer = context.socket(zmq.DEALER)
    dealer.setsockopt(zmq.LINGER, 0)
    dealer.connect(f"tcp://{address}")
    return dealer
