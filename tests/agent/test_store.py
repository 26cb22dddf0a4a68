"""Answer store: the answer that an entry receives is complete or visibly truncated."""

from __future__ import annotations

from typing import TYPE_CHECKING

import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from kingcupwheel.agent.adapters.cancellation import Cancellation
from kingcupwheel.agent.answer_buffer import BYTES_FREED_DETAIL
from kingcupwheel.agent.answer_buffer import AnswerHead
from kingcupwheel.agent.answer_buffer import Subscriber
from kingcupwheel.agent.answer_store import AnswerStore
from kingcupwheel.agent.attempts import AttemptKey
from kingcupwheel.link.links import IncomingLink
from kingcupwheel.messages.attempts import AttemptEnd
from kingcupwheel.messages.attempts import Outcome
from kingcupwheel.messages.attempts import ResponseData


if TYPE_CHECKING:
    from kingcupwheel.link.links import Link
    from kingcupwheel.messages.base import Message

LIMIT_BYTES = 1000
KEY = AttemptKey("a", 1)
HEAD = AnswerHead(200, ())


class AnswerReader:
    """Reader that accepts only data at the next offset, as an entry does."""

    def __init__(self, link: Link) -> None:
        self.link = link
        self.body = b""
        self.max_sent_offset = 0
        self.end: AttemptEnd | None = None

    def receive(self, message: Message) -> None:
        match message:
            case ResponseData(offset=offset, data=data):
                self.max_sent_offset = max(self.max_sent_offset, offset + len(data))
                if offset == len(self.body):
                    self.body += data
            case AttemptEnd():
                self.end = message

    @property
    def is_complete(self) -> bool:
        ran = self.end is not None and self.end.outcome is Outcome.RAN
        return ran and self.end is not None and self.end.length == len(self.body)


class StoreMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.link_count = 0
        self.is_link_broken = False
        self.body = b""
        self.is_ended = False
        self.acked_offset = 0
        self.credit_bytes = 40
        self.store = AnswerStore(
            limit_bytes=LIMIT_BYTES, end_retention_s=60.0, send=self.deliver
        )
        self.store.create_buffer(KEY, is_retained=False)
        self.reader = AnswerReader(self.new_link())
        self.store.subscribe(KEY, self.build_subscriber(0))
        self.store.set_head(KEY, HEAD)

    def new_link(self) -> Link:
        self.link_count += 1
        return IncomingLink(b"%d" % self.link_count)

    def build_subscriber(self, offset: int) -> Subscriber:
        return Subscriber(KEY, self.reader.link, offset, offset, self.credit_bytes)

    def deliver(self, link: Link, message: Message) -> None:
        if link == self.reader.link and not self.is_link_broken:
            self.reader.receive(message)

    @precondition(lambda self: not self.is_ended and len(self.body) < LIMIT_BYTES // 8)
    @rule(data=st.binary(min_size=1, max_size=30))
    def append(self, data: bytes) -> None:
        self.body += data
        self.store.append(KEY, data, Cancellation())

    @precondition(lambda self: not self.is_ended)
    @rule()
    def finish(self) -> None:
        self.is_ended = True
        self.store.finish(KEY, Outcome.RAN, "", now=0.0)

    @rule()
    def acknowledge(self) -> None:
        self.acked_offset = len(self.reader.body)
        self.store.acknowledge(KEY, self.reader.link, self.acked_offset)

    @rule(lost=st.booleans())
    def lose_frames(self, lost: bool) -> None:
        self.is_link_broken = lost

    @rule(credit=st.integers(1, 60))
    def resume_on_a_new_link(self, credit: int) -> None:
        older = self.reader.link
        self.reader.link = self.new_link()
        self.is_link_broken = False
        self.credit_bytes = credit
        self.acked_offset = len(self.reader.body)
        self.reader.max_sent_offset = self.acked_offset
        known = self.store.subscribe(
            KEY, self.build_subscriber(self.acked_offset), older_links=[older]
        )
        assert known

    @invariant()
    def answer_is_correct_and_within_its_credit(self) -> None:
        assert self.body.startswith(self.reader.body)
        assert self.reader.max_sent_offset <= self.acked_offset + self.credit_bytes
        if self.reader.is_complete:
            assert self.is_ended
            assert self.reader.body == self.body

    def teardown(self) -> None:
        if not self.is_ended:
            self.finish()
        self.resume_on_a_new_link(1)
        for _ in range(len(self.body) + 1):
            self.acknowledge()
        assert self.reader.is_complete
        assert self.store.held_bytes == 0
        assert self.store.undelivered_count == 0


TestStore = StoreMachine.TestCase


def store_retained_answer(
    store: AnswerStore, name: str, size: int, *, ended_at: float
) -> None:
    key = AttemptKey(name, 1)
    link = IncomingLink(name.encode())
    store.create_buffer(key, is_retained=True)
    store.subscribe(key, Subscriber(key, link, 0, 0, LIMIT_BYTES))
    store.append(key, b"x" * size, Cancellation())
    store.finish(key, Outcome.RAN, "", now=ended_at)
    store.acknowledge(key, link, size)


def test_retained_answers_are_evicted_oldest_first() -> None:
    """Guards against an evicted answer that looks complete.

    Delivered answers of non-repeatable requests are retained until a new answer needs
    their memory. The oldest is then reported without its bytes; a newer one is
    complete.
    """
    sent: list[Message] = []
    store = AnswerStore(
        limit_bytes=LIMIT_BYTES,
        end_retention_s=60.0,
        send=lambda _, message: sent.append(message),
    )
    store_retained_answer(store, "old", 240, ended_at=1.0)
    store_retained_answer(store, "young", 240, ended_at=2.0)
    assert store.held_bytes == 480

    store_retained_answer(store, "newest", 240, ended_at=3.0)
    store_retained_answer(store, "last", 240, ended_at=4.0)
    store_retained_answer(store, "over", 240, ended_at=5.0)
    sent.clear()
    for name in ("old", "young"):
        again = Subscriber(
            AttemptKey(name, 1), IncomingLink(b"again"), 0, 0, LIMIT_BYTES
        )
        assert store.subscribe(again.attempt_key, again)

    assert store.held_bytes == 960
    ends = [message for message in sent if isinstance(message, AttemptEnd)]
    assert [(end.request_id, end.length, end.detail) for end in ends] == [
        ("old", 240, BYTES_FREED_DETAIL),
        ("young", 240, ""),
    ]
    assert [m.request_id for m in sent if isinstance(m, ResponseData)] == ["young"]


def test_kept_answers_are_forgotten_after_their_time() -> None:
    store = AnswerStore(
        limit_bytes=LIMIT_BYTES, end_retention_s=60.0, send=lambda *_: None
    )
    store_retained_answer(store, "a", 100, ended_at=0.0)

    store.expire(now=3600.0)
    assert store.held_bytes == 100
    store.expire(now=3601.0)

    assert store.held_bytes == 0
    assert store.is_known(AttemptKey("a", 1))
