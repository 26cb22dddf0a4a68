"""Store of the agent's buffered answers, within one memory limit."""

from __future__ import annotations

from threading import Condition
from typing import TYPE_CHECKING

from kingcupwheel.agent.answer_buffer import AnswerBuffer
from kingcupwheel.agent.answer_buffer import AnswerHead
from kingcupwheel.agent.answer_buffer import Subscriber
from kingcupwheel.agent.expiring_map import ExpiringMap
from kingcupwheel.messages.attempts import AttemptRefused


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from kingcupwheel.agent.adapters.cancellation import Cancellation
    from kingcupwheel.agent.answer_buffer import EndedAnswer
    from kingcupwheel.agent.attempts import AttemptKey
    from kingcupwheel.link.links import Link
    from kingcupwheel.messages.attempts import DispatchRefusal
    from kingcupwheel.messages.attempts import Outcome
    from kingcupwheel.messages.base import Message

# How long the end of a non-repeatable attempt's answer is kept after its bytes were
# freed: as long as its claim can be found.
_CLAIMED_END_RETENTION_S = 48 * 3600.0
# How long the bytes of such an answer are kept for a caller that repeats its request.
_RETAINED_ANSWER_S = 3600.0
# Memory share of one unread answer; without this bound a single stuck caller would slow
# every other stream of this server.
_MAX_ANSWER_SHARE = 0.25
# A waiting ``append`` checks for room again after this time even if nothing was freed.
_ROOM_CHECK_INTERVAL_S = 1.0


class AnswerStore:
    """Buffers answers until they are acknowledged; safe from any thread.

    ``send`` is called with the lock held, so that the frames of an answer are sent in
    order; it must not block. ``limit_bytes`` bounds the bytes in memory: beyond it
    ``append`` waits, which applies backpressure to the server's stream, and no bytes
    that an entry may still request are dropped. The end of an answer is kept for
    ``end_retention_s`` after its bytes were freed.
    """

    def __init__(
        self,
        *,
        limit_bytes: int,
        end_retention_s: float,
        send: Callable[[Link, Message], None],
    ) -> None:
        self._limit_bytes = limit_bytes
        self._send = send
        self._changed = Condition()
        self._by_key: dict[AttemptKey, AnswerBuffer] = {}
        self._by_subscriber: dict[tuple[AttemptKey, Link], AnswerBuffer] = {}
        self._held_bytes = 0
        self._ended: ExpiringMap[AttemptKey, EndedAnswer] = ExpiringMap(
            ttl_s=end_retention_s
        )
        self._ended_claims: ExpiringMap[AttemptKey, EndedAnswer] = ExpiringMap(
            ttl_s=_CLAIMED_END_RETENTION_S
        )

    @property
    def held_bytes(self) -> int:
        """The number of bytes in memory."""
        return self._held_bytes

    @property
    def undelivered_count(self) -> int:
        """The number of answers that have not ended or are not fully acknowledged."""
        with self._changed:
            return sum(not answer.is_delivered for answer in self._by_key.values())

    def create_buffer(self, key: AttemptKey, *, is_retained: bool) -> None:
        """Create the buffer of an accepted attempt's answer."""
        with self._changed:
            self._by_key[key] = AnswerBuffer(key, is_retained=is_retained)

    def subscribe(
        self,
        key: AttemptKey,
        subscriber: Subscriber,
        *,
        older_links: Iterable[Link] = (),
        continue_from_ack: bool = False,
    ) -> bool:
        """Subscribe an entry to the answer of ``key``.

        ``older_links`` are links of the same entry that this one replaces. With
        ``continue_from_ack`` the answer is sent from the offset that the entry
        acknowledged on one of them. Return False if the attempt is unknown.
        """
        with self._changed:
            answer = self._by_key.get(key)
            if answer is None:
                return self._send_end(key, subscriber)
            # No bytes are freed until the new subscriber is added: in between, no
            # subscriber would hold the bytes that were lost on the old link.
            for link in (subscriber.link, *older_links):
                identity = (subscriber.attempt_key, link)
                replaced = answer.subscribers.pop(identity, None)
                self._by_subscriber.pop(identity, None)
                if continue_from_ack and replaced is not None:
                    subscriber.resume_from(replaced)
            answer.subscribers[subscriber.identity] = subscriber
            self._by_subscriber[subscriber.identity] = answer
            self._flush(answer)
            return True

    def is_known(self, key: AttemptKey) -> bool:
        """Return whether the attempt's answer, or only its end, is held."""
        with self._changed:
            is_buffered = key in self._by_key
            return is_buffered or self._find_ended_answer(key) is not None

    def is_awaited(self, key: AttemptKey) -> bool:
        """Return whether the attempt was accepted and its answer has not begun."""
        with self._changed:
            answer = self._by_key.get(key)
            return answer is not None and answer.head is None and answer.end is None

    def find_key(self, attempt_key: AttemptKey, link: Link) -> AttemptKey | None:
        """Return the key of the answer sent to ``link`` as ``attempt_key``, or None."""
        with self._changed:
            answer = self._by_subscriber.get((attempt_key, link))
            return None if answer is None else answer.key

    def unsubscribe(self, attempt_key: AttemptKey, link: Link) -> int:
        """Remove a subscriber; return how many the answer still has."""
        with self._changed:
            answer = self._remove_subscriber((attempt_key, link))
            return 0 if answer is None else len(answer.subscribers)

    def remove_links(self, links: Iterable[Link]) -> list[AttemptKey]:
        """Remove subscribers on dead links; return the attempts left without any."""
        dead_links = set(links)
        orphaned_keys = []
        with self._changed:
            for identity in [
                identity
                for identity in self._by_subscriber
                if identity[1] in dead_links
            ]:
                answer = self._remove_subscriber(identity)
                if answer is not None and not answer.subscribers:
                    orphaned_keys.append(answer.key)
        return orphaned_keys

    def set_head(self, key: AttemptKey, head: AnswerHead) -> None:
        """Set the answer's status and headers, and send them."""
        with self._changed:
            answer = self._by_key.get(key)
            if answer is not None:
                answer.head = head
                self._flush(answer)

    def append(self, key: AttemptKey, data: bytes, cancellation: Cancellation) -> None:
        """Append bytes to the body; wait while there is no room, unless cancelled."""
        with self._changed:
            answer = self._by_key.get(key)
            if answer is None:
                return
            while not self._has_room(answer, len(data)) and not cancellation.is_set():
                self._changed.wait(_ROOM_CHECK_INTERVAL_S)
            answer.append(data)
            self._held_bytes += len(data)
            self._flush(answer)

    def finish(
        self, key: AttemptKey, outcome: Outcome, detail: str, *, now: float
    ) -> int:
        """Record the end; return the body's length in bytes.

        Answers of repeatable attempts are freed once delivered.
        """
        with self._changed:
            answer = self._by_key.get(key)
            if answer is None:
                return 0
            answer.finish(outcome, detail, now=now)
            length = answer.length_bytes
            self._flush(answer)
            return length

    def refuse(self, key: AttemptKey, reason: DispatchRefusal) -> None:
        """Report to every subscriber that the attempt never ran, and remove it."""
        with self._changed:
            answer = self._by_key.pop(key, None)
            if answer is None:
                return
            for subscriber in list(answer.subscribers.values()):
                self._by_subscriber.pop(subscriber.identity, None)
                self._send(
                    subscriber.link, AttemptRefused(*subscriber.attempt_key, reason)
                )

    def acknowledge(self, attempt_key: AttemptKey, link: Link, offset: int) -> None:
        """Free acknowledged bytes and send more within the credit."""
        with self._changed:
            answer = self._by_subscriber.get((attempt_key, link))
            if answer is None:
                return
            subscriber = answer.subscribers[(attempt_key, link)]
            subscriber.acked_offset = max(
                subscriber.acked_offset, min(offset, answer.length_bytes)
            )
            self._flush(answer)

    def list_unfinished_by_link(self) -> dict[Link, list[AttemptKey]]:
        """Return the attempts whose end was not sent yet, by link."""
        by_link: dict[Link, list[AttemptKey]] = {}
        with self._changed:
            for (attempt_key, link), answer in self._by_subscriber.items():
                if not answer.subscribers[(attempt_key, link)].is_end_sent:
                    by_link.setdefault(link, []).append(attempt_key)
        return by_link

    def expire(self, *, now: float) -> None:
        """Remove expired retained answers and expired ends."""
        with self._changed:
            for answer in list(self._by_key.values()):
                if answer.is_delivered and now - answer.ended_at > _RETAINED_ANSWER_S:
                    self._release_answer(answer)
            self._ended.expire(now=now)
            self._ended_claims.expire(now=now)

    def _send_end(self, key: AttemptKey, subscriber: Subscriber) -> bool:
        ended = self._find_ended_answer(key)
        if ended is None:
            return False
        for message in ended.to_messages(
            subscriber.attempt_key, subscriber.sent_offset
        ):
            self._send(subscriber.link, message)
        return True

    def _find_ended_answer(self, key: AttemptKey) -> EndedAnswer | None:
        return self._ended.get(key) or self._ended_claims.get(key)

    def _flush(self, answer: AnswerBuffer) -> None:
        for subscriber in answer.subscribers.values():
            for message in answer.take_due_messages(subscriber):
                self._send(subscriber.link, message)
        if answer.is_retained:
            return
        self._record_freed(answer.free_acked())
        if answer.is_delivered:
            self._release_answer(answer)

    def _remove_subscriber(
        self, identity: tuple[AttemptKey, Link]
    ) -> AnswerBuffer | None:
        answer = self._by_subscriber.pop(identity, None)
        if answer is not None:
            answer.subscribers.pop(identity, None)
            self._flush(answer)
        return answer

    def _release_answer(self, answer: AnswerBuffer) -> None:
        ended = answer.to_ended_answer()
        if ended is None:
            return
        del self._by_key[answer.key]
        for identity in answer.subscribers:
            self._by_subscriber.pop(identity, None)
        ended_by_key = self._ended_claims if answer.is_retained else self._ended
        ended_by_key.put(answer.key, ended, now=answer.ended_at)
        self._record_freed(answer.held_bytes)

    def _record_freed(self, count_bytes: int) -> None:
        if count_bytes:
            self._held_bytes -= count_bytes
            self._changed.notify_all()

    def _has_room(self, answer: AnswerBuffer, size_bytes: int) -> bool:
        if self._held_bytes + size_bytes > self._limit_bytes:
            self._reclaim(size_bytes)
        if answer.unacked_bytes >= self._limit_bytes * _MAX_ANSWER_SHARE:
            return False
        return (
            self._held_bytes == 0 or self._held_bytes + size_bytes <= self._limit_bytes
        )

    def _reclaim(self, size_bytes: int) -> None:
        """Free retained bytes for ``size_bytes`` more.

        Delivered answers go first, oldest first, then the acknowledged bytes of others.
        """
        retained = [answer for answer in self._by_key.values() if answer.is_retained]
        delivered = [answer for answer in retained if answer.is_delivered]
        for answer in sorted(delivered, key=lambda answer: answer.ended_at):
            if self._held_bytes + size_bytes <= self._limit_bytes:
                return
            self._release_answer(answer)
        for answer in retained:
            if self._held_bytes + size_bytes <= self._limit_bytes:
                return
            self._record_freed(answer.free_acked())
