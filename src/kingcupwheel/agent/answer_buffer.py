"""Buffer of one attempt's answer and the subscribers it is sent to.

Offsets are in bytes from the start of the body. This module uses no sockets, clocks or
locks; ``AnswerStore`` adds them.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.messages.attempts import AttemptEnd
from kingcupwheel.messages.attempts import Outcome
from kingcupwheel.messages.attempts import ResponseData
from kingcupwheel.messages.attempts import ResponseHead


if TYPE_CHECKING:
    from kingcupwheel.agent.attempts import AttemptKey
    from kingcupwheel.link.links import Link
    from kingcupwheel.messages.base import Message

# Small enough that a heartbeat queued behind a frame is not delayed.
_MAX_FRAME_BYTES = 65_536
BYTES_FREED_DETAIL = "the answer's bytes are no longer held"


class AnswerHead(NamedTuple):
    """Status and headers of the server's answer."""

    status: int
    headers: tuple[tuple[str, str], ...]


class AnswerEnd(NamedTuple):
    """End of an answer; ``length_bytes`` is the length of the whole body."""

    length_bytes: int
    outcome: Outcome
    detail: str

    def to_message(self, attempt_key: AttemptKey, detail: str) -> AttemptEnd:
        """Return the ``AttemptEnd`` message for this end."""
        return AttemptEnd(
            attempt_key.request_id,
            attempt_key.attempt,
            self.length_bytes,
            self.outcome,
            detail,
        )


class EndedAnswer(NamedTuple):
    """Head and end of an answer whose bytes were freed."""

    head: AnswerHead | None
    end: AnswerEnd

    def to_messages(self, attempt_key: AttemptKey, offset: int) -> list[Message]:
        """Return the messages for a subscriber that has ``offset`` bytes.

        An entry with fewer bytes than the answer's length detects the truncation from
        the length. It is sent no head, so that it can still refuse the request instead
        of starting a response that it can't complete.
        """
        end = self.end
        if offset != end.length_bytes:
            return [end.to_message(attempt_key, BYTES_FREED_DETAIL)]
        head = [] if self.head is None else [ResponseHead(*attempt_key, *self.head)]
        return [*head, end.to_message(attempt_key, end.detail)]


@dataclass(slots=True)
class Subscriber:
    """Entry that receives the answer under ``attempt_key``.

    Bytes before ``acked_offset`` have reached the caller. At most ``credit_bytes``
    beyond it may be sent.
    """

    attempt_key: AttemptKey
    link: Link
    sent_offset: int
    acked_offset: int
    credit_bytes: int
    is_head_sent: bool = False
    is_end_sent: bool = False

    @property
    def identity(self) -> tuple[AttemptKey, Link]:
        """The unique identity of the subscriber."""
        return self.attempt_key, self.link

    def resume_from(self, replaced: Subscriber) -> None:
        """Continue from the acknowledged offset of the replaced subscriber."""
        self.acked_offset = max(self.acked_offset, replaced.acked_offset)
        self.sent_offset = self.acked_offset


class AnswerBuffer:
    """Buffer of one attempt's answer, from the first byte that was not freed.

    ``is_retained`` is True for non-repeatable attempts: their acknowledged bytes are
    kept for a caller that sends the request again.
    """

    def __init__(self, key: AttemptKey, *, is_retained: bool) -> None:
        self.key = key
        self.is_retained = is_retained
        self.head: AnswerHead | None = None
        self.end: AnswerEnd | None = None
        self.ended_at = 0.0
        self.subscribers: dict[tuple[AttemptKey, Link], Subscriber] = {}
        self._base_offset = 0
        self._body = bytearray()

    @property
    def held_bytes(self) -> int:
        """The number of bytes in memory."""
        return len(self._body)

    @property
    def length_bytes(self) -> int:
        """The number of bytes received so far."""
        return self._base_offset + len(self._body)

    @property
    def acked_offset(self) -> int:
        """The offset below which no subscriber needs bytes."""
        acked = [subscriber.acked_offset for subscriber in self.subscribers.values()]
        return min(acked, default=self.length_bytes)

    @property
    def unacked_bytes(self) -> int:
        """The number of bytes that at least one subscriber has not acknowledged."""
        return self.length_bytes - max(self._base_offset, self.acked_offset)

    @property
    def is_delivered(self) -> bool:
        """Whether the answer has ended and every subscriber acknowledged all of it."""
        return self.end is not None and all(
            subscriber.is_end_sent and subscriber.acked_offset >= self.end.length_bytes
            for subscriber in self.subscribers.values()
        )

    def append(self, data: bytes) -> None:
        """Append bytes to the body."""
        self._body += data

    def finish(self, outcome: Outcome, detail: str, *, now: float) -> None:
        """Record the end of the answer."""
        self.end = AnswerEnd(self.length_bytes, outcome, detail)
        self.ended_at = now

    def free_acked(self) -> int:
        """Free the bytes that all subscribers acknowledged; return their number."""
        freed = max(0, min(self.acked_offset, self.length_bytes) - self._base_offset)
        del self._body[:freed]
        self._base_offset += freed
        return freed

    def to_ended_answer(self) -> EndedAnswer | None:
        """Return the head and end to keep once the bytes are freed, if it ended."""
        return None if self.end is None else EndedAnswer(self.head, self.end)

    def take_due_messages(self, subscriber: Subscriber) -> list[Message]:
        """Return the messages to send to the subscriber now, and mark them as sent."""
        if subscriber.is_end_sent:
            return []
        if subscriber.sent_offset < self._base_offset:
            return self._end_without_start(subscriber)
        messages: list[Message] = []
        if self.head is not None and not subscriber.is_head_sent:
            subscriber.is_head_sent = True
            messages.append(ResponseHead(*subscriber.attempt_key, *self.head))
        messages += self._take_due_data(subscriber)
        if self.end is not None and subscriber.sent_offset >= self.end.length_bytes:
            subscriber.is_end_sent = True
            messages.append(
                self.end.to_message(subscriber.attempt_key, self.end.detail)
            )
        return messages

    def _take_due_data(self, subscriber: Subscriber) -> list[Message]:
        messages: list[Message] = []
        end_offset = min(
            self.length_bytes, subscriber.acked_offset + subscriber.credit_bytes
        )
        while subscriber.sent_offset < end_offset:
            start = subscriber.sent_offset
            stop = min(end_offset, start + _MAX_FRAME_BYTES)
            data = bytes(
                self._body[start - self._base_offset : stop - self._base_offset]
            )
            messages.append(ResponseData(*subscriber.attempt_key, start, data))
            subscriber.sent_offset = stop
        return messages

    def _end_without_start(self, subscriber: Subscriber) -> list[Message]:
        # The requested bytes were acknowledged before and freed. The length tells the
        # entry that bytes are missing; waiting would not bring them back.
        subscriber.is_end_sent = True
        outcome = Outcome.UNKNOWN if self.end is None else self.end.outcome
        return [
            AttemptEnd(
                *subscriber.attempt_key, self.length_bytes, outcome, BYTES_FREED_DETAIL
            )
        ]
