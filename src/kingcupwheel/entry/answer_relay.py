"""Relays an answer to the caller, complete or recognisably truncated."""

from __future__ import annotations

from time import monotonic
from typing import TYPE_CHECKING

import msgspec

from kingcupwheel.decisions.work_predictor import DEFAULT_BYTES_PER_TOKEN
from kingcupwheel.entry.answer_assembler import AnswerEnded
from kingcupwheel.entry.answer_assembler import BodyChunk
from kingcupwheel.entry.answers import BufferedAnswer
from kingcupwheel.entry.answers import StreamedAnswer
from kingcupwheel.entry.exceptions import AnswerTruncatedError
from kingcupwheel.messages.attempts import Outcome
from kingcupwheel.trace.events import CallerLeft
from kingcupwheel.trace.events import FirstByteRelayed
from kingcupwheel.trace.events import RequestFinished


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator

    from kingcupwheel.entry.answer_assembler import HeadReceived
    from kingcupwheel.entry.answer_reader import AnswerReader
    from kingcupwheel.entry.answers import Answer
    from kingcupwheel.entry.attempt_dispatcher import AdmittedRequest
    from kingcupwheel.entry.caller_connection import CallerConnection
    from kingcupwheel.entry.context import EntryContext
    from kingcupwheel.entry.placement_tickets import Reservation

# An unstreamed answer up to this size is read to its end before its head is sent, so
# that the head has the outcome. A larger one is sent while it is read, to bound the
# entry's memory.
MAX_BUFFERED_ANSWER_BYTES = 256 * 1024
# Longest wait for the next bytes before the caller's connection is checked again. The
# total wait has no limit: an agent that sends ``RunningAttempts`` is alive, however
# slow its answer.
_POLL_INTERVAL_S = 1.0
_EVENT_STREAM = "text/event-stream"
_CALLER_LEFT = AnswerEnded(Outcome.UNKNOWN, "the caller left")


class AnswerRelay:
    """Relays the body of an answer after its head was received; not thread-safe.

    ``on_end`` releases the reservation and the inbox; it is called exactly once.
    ``reservation`` is None for the answer of an earlier send's run.
    """

    def __init__(
        self,
        context: EntryContext,
        admitted: AdmittedRequest,
        reader: AnswerReader,
        connection: CallerConnection,
        reservation: Reservation | None,
        on_end: Callable[[], None],
    ) -> None:
        self._context = context
        self._admitted = admitted
        self._reader = reader
        self._connection = connection
        self._reservation = reservation
        self._on_end = on_end
        self._status = 0
        self._first_byte_s: float | None = None
        self._first_byte_at: float | None = None
        self._gaps_s: list[float] = []
        self._last_chunk_at = 0.0
        self._is_finished = False

    def relay(self, head: HeadReceived) -> Answer:
        """Return the answer: buffered if short and unstreamed, else as a stream."""
        self._status = head.status
        if _is_event_stream(head) or self._admitted.request.is_streamed:
            body = self._stream_body((), sends_outcome_event=_is_event_stream(head))
            return StreamedAnswer(head.status, head.headers, body)
        return self._read_buffered(head)

    def _read_buffered(self, head: HeadReceived) -> Answer:
        parts: list[bytes] = []
        while self._reader.offset <= MAX_BUFFERED_ANSWER_BYTES:
            match self._read_next():
                case BodyChunk(data):
                    parts.append(data)
                case AnswerEnded() as ended:
                    self._finish(ended)
                    body = b"".join(parts)
                    return self._build_buffered_answer(head, body, ended)
                case None:
                    return self._build_caller_left_answer(head)
        body_stream = self._stream_body(parts, sends_outcome_event=False)
        return StreamedAnswer(head.status, head.headers, body_stream)

    def _build_buffered_answer(
        self, head: HeadReceived, body: bytes, ended: AnswerEnded
    ) -> Answer:
        if ended.outcome is Outcome.RAN:
            return BufferedAnswer(head.status, head.headers, body, ended.outcome)
        message = f"The answer was cut short: {ended.detail}.".encode()
        return BufferedAnswer(502, (), message, ended.outcome)

    def _build_caller_left_answer(self, head: HeadReceived) -> Answer:
        return BufferedAnswer(head.status, (), b"", Outcome.UNKNOWN)

    def _stream_body(
        self, parts: Iterable[bytes], *, sends_outcome_event: bool
    ) -> Iterator[bytes]:
        """Yield the chunks read so far, then the rest as it arrives."""
        try:
            yield from parts
            while True:
                match self._read_next():
                    case BodyChunk(data):
                        yield data
                    case AnswerEnded() as ended:
                        self._finish(ended)
                        if sends_outcome_event:
                            yield self._encode_outcome_event(ended)
                        self._raise_if_truncated(ended)
                        return
                    case None:
                        return
        except GeneratorExit:
            self._handle_caller_left()
            raise

    def _raise_if_truncated(self, ended: AnswerEnded) -> None:
        if ended.outcome is not Outcome.RAN:
            raise AnswerTruncatedError(ended.detail)

    def _encode_outcome_event(self, ended: AnswerEnded) -> bytes:
        payload = {
            "request_id": self._admitted.request.request_id,
            "outcome": ended.outcome.value,
            "reason": ended.detail,
        }
        return b"event: kingcupwheel\ndata: " + msgspec.json.encode(payload) + b"\n\n"

    def _read_next(self) -> BodyChunk | AnswerEnded | None:
        """Return the next chunk or the end, None once the caller has left."""
        while True:
            step = self._reader.read_step(_POLL_INTERVAL_S)
            match step:
                case BodyChunk():
                    self._record_chunk_time()
                    return step
                case AnswerEnded():
                    return step
            if self._connection.is_closed():
                self._handle_caller_left()
                return None

    def _record_chunk_time(self) -> None:
        now = monotonic()
        if self._first_byte_s is None:
            self._first_byte_s = now - self._admitted.request.received_at
            self._first_byte_at = now
            self._record(
                FirstByteRelayed(self._reader.server, self._reader.inbox.key.attempt)
            )
        else:
            self._gaps_s.append(now - self._last_chunk_at)
        self._last_chunk_at = now

    def _handle_caller_left(self) -> None:
        """Cancel the attempt of a caller that left, if it may be repeated.

        Does nothing if the answer has ended: the outcome of a caller that leaves while
        the last bytes are written is already recorded.
        """
        if self._is_finished:
            return
        if self._admitted.request.route.repeatable:
            self._reader.cancel()
        self._record(CallerLeft(self._reader.offset))
        self._finish(_CALLER_LEFT)

    def _finish(self, ended: AnswerEnded) -> None:
        request = self._admitted.request
        self._is_finished = True
        self._on_end()
        self._record_server_latency(ended)
        length = self._reader.offset
        self._record(
            RequestFinished(
                ended.outcome.value, self._status, length, ended.detail or "whole"
            )
        )
        is_complete = ended.outcome is Outcome.RAN
        self._context.limiter.settle_run(
            request,
            self._admitted.predicted_work,
            self._token_count,
            is_complete=is_complete,
            is_survivor=200 <= self._status < 300,
        )
        self._context.outcome_counter.count_answer(
            request,
            server=self._reader.server,
            outcome=ended.outcome,
            status=self._status,
            first_byte_s=self._first_byte_s,
            gaps_s=self._gaps_s,
            caller_left=ended is _CALLER_LEFT,
        )

    @property
    def _token_count(self) -> int:
        if self._admitted.request.is_streamed:
            return len(self._gaps_s) + 1
        return int(self._reader.offset / DEFAULT_BYTES_PER_TOKEN)

    def _record_server_latency(self, ended: AnswerEnded) -> None:
        """Record the time per token and the first-byte latency of a complete answer.

        Total times say little about a server, because prompts and answers differ in
        length. The wait in this entry's queue says nothing about it and is left out.
        """
        if self._reservation is None or ended.outcome is not Outcome.RAN:
            return
        dispatcher = self._context.dispatchers.get(self._admitted.request.group)
        duration_s = monotonic() - self._reader.started_at
        dispatcher.record_success(
            self._reservation, duration_s / max(1, self._token_count)
        )
        first_byte_s = (self._first_byte_at or monotonic()) - self._reader.started_at
        dispatcher.record_first_byte_latency(
            first_byte_s, len(self._admitted.request.body)
        )

    def _record(self, event: FirstByteRelayed | CallerLeft | RequestFinished) -> None:
        self._context.recorder.record(self._admitted.request.request_id, event)


def _is_event_stream(head: HeadReceived) -> bool:
    return any(
        name.lower() == "content-type" and value.startswith(_EVENT_STREAM)
        for name, value in head.headers
    )
