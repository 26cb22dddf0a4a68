"""Fake entry that sends messages to one agent and records the replies."""

from __future__ import annotations

import time
from threading import Condition
from threading import Event
from typing import TYPE_CHECKING
from typing import TypeVar

from kingcupwheel.link.hub import MessageHub
from kingcupwheel.link.links import OutgoingLink
from kingcupwheel.messages.attempts import Ack
from kingcupwheel.messages.attempts import AttemptEnd
from kingcupwheel.messages.attempts import AttemptRefused
from kingcupwheel.messages.attempts import Outcome
from kingcupwheel.messages.attempts import ResponseData
from kingcupwheel.messages.attempts import ResumeRequest
from kingcupwheel.messages.base import Message
from kingcupwheel.messages.membership import AgentHeartbeat
from kingcupwheel.messages.membership import Hello


if TYPE_CHECKING:
    from collections.abc import Callable

    from kingcupwheel.link.links import Link

TIMEOUT_S = 15.0
M = TypeVar("M", bound="Message")


class FakeEntry:
    """Fake entry; clear ``auto_ack_enabled`` to stop acknowledging frames."""

    def __init__(self, address: str, *, name: str = "entry-1") -> None:
        self.address = address
        self.received: list[Message] = []
        self.auto_ack_enabled = Event()
        self.auto_ack_enabled.set()
        self._name = name
        self._changed = Condition()
        self._bodies: dict[tuple[str, int], bytearray] = {}
        self._hub = MessageHub(
            listen="127.0.0.1:0", on_message=self._receive, on_tick=self._send_hello
        )
        self._hub.start()

    def stop(self) -> None:
        self._hub.stop()

    def send(self, message: Message) -> None:
        self._hub.send(OutgoingLink(self.address, 0), message)

    def replace_link(self) -> None:
        self._hub.reconnect(self.address)
        self._send_hello(0.0)

    def wait_for(
        self, message_type: type[M], predicate: Callable[[M], bool] = lambda _: True
    ) -> M:
        def find() -> M | None:
            for message in reversed(self.received):
                if isinstance(message, message_type) and predicate(message):
                    return message
            return None

        with self._changed:
            found = self._changed.wait_for(find, timeout=TIMEOUT_S)
        assert found is not None, f"no {message_type.__name__} in {self.received[-5:]}"
        return found

    def wait_for_heartbeat(self) -> AgentHeartbeat:
        """Return the next heartbeat, not one received before."""
        with self._changed:
            self.received = [
                m for m in self.received if not isinstance(m, AgentHeartbeat)
            ]
        return self.wait_for(AgentHeartbeat)

    def get_body(self, request_id: str, attempt: int = 1) -> bytes:
        with self._changed:
            return bytes(self._bodies.get((request_id, attempt), b""))

    def wait_for_bytes(self, request_id: str, count: int) -> None:
        with self._changed:
            assert self._changed.wait_for(
                lambda: len(self._bodies.get((request_id, 1), b"")) >= count,
                timeout=TIMEOUT_S,
            )

    def wait_for_end(self, request_id: str, attempt: int = 1) -> AttemptEnd:
        return self.wait_for(
            AttemptEnd,
            lambda end: (end.request_id, end.attempt) == (request_id, attempt),
        )

    def wait_for_refusal(self, request_id: str) -> AttemptRefused:
        return self.wait_for(
            AttemptRefused, lambda refusal: refusal.request_id == request_id
        )

    def wait_for_outcome(self, request_id: str) -> Outcome:
        """Return what the caller is told; a refusal is ``NOT_RUN``."""
        message = self.wait_for(
            Message,
            lambda message: (
                isinstance(message, AttemptEnd | AttemptRefused)
                and message.request_id == request_id
            ),
        )
        return message.outcome if isinstance(message, AttemptEnd) else Outcome.NOT_RUN

    def resume(self, request_id: str, *, credit: int, attempt: int = 1) -> None:
        offset = len(self.get_body(request_id, attempt))
        self.send(ResumeRequest(request_id, attempt, offset, credit, None))

    def _receive(self, _: Link, message: Message) -> None:
        with self._changed:
            self.received.append(message)
            if isinstance(message, ResponseData):
                self._store_data(message)
            if isinstance(message, AttemptEnd) and self.auto_ack_enabled.is_set():
                self._acknowledge(message)
            self._changed.notify_all()

    def _store_data(self, data: ResponseData) -> None:
        body = self._bodies.setdefault((data.request_id, data.attempt), bytearray())
        # As in an entry: a frame from before a resume may overlap what it brought.
        if data.offset <= len(body):
            body += data.data[len(body) - data.offset :]
        if self.auto_ack_enabled.is_set():
            self._acknowledge(data)

    def _acknowledge(self, message: ResponseData | AttemptEnd) -> None:
        name = (message.request_id, message.attempt)
        self.send(Ack(*name, len(self._bodies.get(name, b""))))

    def _send_hello(self, _: float) -> None:
        self.send(Hello(self._name, "heredia", 1, "", False))


def wait_until(predicate: Callable[[], bool], description: str) -> None:
    deadline = time.monotonic() + TIMEOUT_S
    while not predicate():
        assert time.monotonic() < deadline, f"not in time: {description}"
        time.sleep(0.01)
