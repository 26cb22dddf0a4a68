from __future__ import annotations

from types import SimpleNamespace
from typing import TYPE_CHECKING
from typing import Any
from typing import cast

import pytest

from kingcupwheel.entry.answer_assembler import AnswerEnded
from kingcupwheel.entry.answer_assembler import BodyChunk
from kingcupwheel.entry.answer_assembler import HeadReceived
from kingcupwheel.entry.answer_relay import MAX_BUFFERED_ANSWER_BYTES
from kingcupwheel.entry.answer_relay import AnswerRelay
from kingcupwheel.entry.answers import StreamedAnswer
from kingcupwheel.entry.attempt_dispatcher import AdmittedRequest
from kingcupwheel.entry.exceptions import AnswerTruncatedError
from kingcupwheel.messages.attempts import Outcome
from kingcupwheel.trace.events import RequestFinished
from tests.burn.builders import build_caller_request


if TYPE_CHECKING:
    from kingcupwheel.entry.answer_assembler import AnswerStep
    from kingcupwheel.entry.answer_reader import AnswerReader
    from kingcupwheel.entry.caller_connection import CallerConnection
    from kingcupwheel.entry.context import EntryContext

EVENT_STREAM_HEAD = HeadReceived(200, (("Content-Type", "text/event-stream"),))
COMPLETE_END = AnswerEnded(Outcome.RAN, "")


class RelayHarness:
    """Relay of an answer with the given steps; records ends, cancels and outcomes."""

    def __init__(self, *steps: AnswerStep, streamed: bool = True) -> None:
        self.steps = list(steps)
        self.offset = 0
        self.started_at = 0.0
        self.server = "server-1"
        self.inbox = SimpleNamespace(key=SimpleNamespace(attempt=1))
        self.end_count = 0
        self.cancel_count = 0
        self.outcomes: list[str] = []
        request = build_caller_request()._replace(is_streamed=streamed)
        nothing = SimpleNamespace(settle_run=_ignore, count_answer=_ignore)
        context = SimpleNamespace(
            limiter=nothing,
            outcome_counter=nothing,
            recorder=SimpleNamespace(record=self.record),
        )
        self.relay = AnswerRelay(
            cast("EntryContext", context),
            AdmittedRequest(request, 1.0, is_suspect=False),
            cast("AnswerReader", self),
            cast("CallerConnection", SimpleNamespace(is_closed=lambda: False)),
            None,
            self.end,
        )

    def read_step(self, timeout_s: float) -> AnswerStep:
        step = self.steps.pop(0)
        if isinstance(step, BodyChunk):
            self.offset += len(step.data)
        return step

    def cancel(self) -> None:
        self.cancel_count += 1

    def end(self) -> None:
        self.end_count += 1

    def record(self, request_id: str, event: object) -> None:
        if isinstance(event, RequestFinished):
            self.outcomes.append(event.outcome)

    def relay_event_stream(self) -> Any:
        answer = self.relay.relay(EVENT_STREAM_HEAD)
        assert isinstance(answer, StreamedAnswer)
        return answer.body


def _ignore(*_: object, **__: object) -> None:
    pass


def test_a_caller_that_leaves_with_the_last_bytes_keeps_its_outcome() -> None:
    """Guards against a second final outcome in the trace of a request.

    The answer is complete; the caller closes while its last event is written.
    """
    harness = RelayHarness(BodyChunk(b"token"), COMPLETE_END)
    body = harness.relay_event_stream()
    assert next(body) == b"token"
    assert b"kingcupwheel" in next(body)

    body.close()

    assert harness.outcomes == ["ran"]
    assert (harness.end_count, harness.cancel_count) == (1, 0)


def test_caller_leaving_mid_stream_releases_the_reservation_once() -> None:
    harness = RelayHarness(BodyChunk(b"token"), BodyChunk(b"token"), COMPLETE_END)
    body = harness.relay_event_stream()
    next(body)

    body.close()

    assert harness.outcomes == ["unknown"]
    assert (harness.end_count, harness.cancel_count) == (1, 1)


def test_a_caller_that_leaves_a_long_plain_answer_frees_its_place() -> None:
    """Guards against a leaked reservation.

    The answer is larger than what is buffered, so its first bytes are sent before the
    rest is read; the caller closes the connection during those.
    """
    long_chunk = BodyChunk(bytes(MAX_BUFFERED_ANSWER_BYTES + 1))
    harness = RelayHarness(long_chunk, COMPLETE_END, streamed=False)
    answer = harness.relay.relay(HeadReceived(200, ()))
    assert isinstance(answer, StreamedAnswer)
    body: Any = answer.body
    next(body)

    body.close()

    assert harness.end_count == 1


def test_truncated_answer_reports_unknown_and_raises() -> None:
    harness = RelayHarness(
        BodyChunk(b"token"), AnswerEnded(Outcome.UNKNOWN, "server died")
    )
    body = harness.relay_event_stream()
    next(body)

    assert b"unknown" in next(body)
    with pytest.raises(AnswerTruncatedError):
        next(body)
    assert harness.outcomes == ["unknown"]
