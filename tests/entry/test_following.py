from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from kingcupwheel.entry.answer_assembler import MAX_RESUMES_WITHOUT_PROGRESS
from kingcupwheel.entry.answer_assembler import AnswerAssembler
from kingcupwheel.entry.answer_assembler import AnswerEnded
from kingcupwheel.entry.answer_assembler import BodyChunk
from kingcupwheel.entry.answer_assembler import ResumeNeeded
from kingcupwheel.messages.attempts import AttemptEnd
from kingcupwheel.messages.attempts import Outcome
from kingcupwheel.messages.attempts import ResponseData
from kingcupwheel.messages.attempts import ResponseHead


BODY = bytes(range(200))
HEAD = ResponseHead("request", 1, 200, ())
END = AttemptEnd("request", 1, len(BODY), Outcome.RAN, "")

spans = st.tuples(st.integers(0, len(BODY)), st.integers(1, 60))
messages = st.one_of(
    spans.map(
        lambda span: ResponseData("request", 1, span[0], BODY[span[0] : sum(span)])
    ),
    st.just(HEAD),
    st.just(END),
)


@given(st.lists(messages, max_size=40))
def test_only_the_next_bytes_pass_and_the_end_comes_only_after_all_of_them(
    arrived: list[ResponseData | ResponseHead | AttemptEnd],
) -> None:
    """Guards against gaps, duplicates and an early end in a caller's answer.

    Frames arrive late, twice, overlapping, with gaps and before the head. When a step
    requires a resume, the agent sends the answer from its offset on.
    """
    assembler = AnswerAssembler()
    body = b""
    ended: AnswerEnded | None = None
    queue = list(arrived)
    while queue and ended is None:
        step = assembler.process_message(queue.pop(0))
        match step:
            case BodyChunk(data):
                body += data
            case ResumeNeeded(offset):
                assert offset == len(body)
                rest = ResponseData("request", 1, offset, BODY[offset:])
                queue = [HEAD, rest, END] if offset < len(BODY) else [HEAD, END]
            case AnswerEnded():
                ended = step

    assert BODY.startswith(body)
    if ended is not None:
        assert ended.outcome is Outcome.RAN
        assert body == BODY


def test_answer_with_freed_bytes_ends_as_unknown() -> None:
    """Guards against an endless wait, or a truncated answer reported as complete.

    The agent has freed the bytes; each resume returns the same end without frames.
    """
    assembler = AnswerAssembler()
    assembler.process_message(HEAD)
    steps = [
        assembler.process_message(END) for _ in range(MAX_RESUMES_WITHOUT_PROGRESS + 1)
    ]

    assert all(isinstance(step, ResumeNeeded) for step in steps[:-1])
    last = steps[-1]
    assert isinstance(last, AnswerEnded)
    assert last.outcome is Outcome.UNKNOWN
