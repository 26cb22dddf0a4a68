"""Follows one attempt's answer: the next offset only, resuming where a gap shows.

Pure: messages in, steps out. Frames can arrive late, twice or from an old link; only
bytes at the next offset of this attempt are passed on, so that a caller never gets
bytes of another answer, a hole or a repetition.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.messages.attempts import AttemptAccepted
from kingcupwheel.messages.attempts import AttemptEnd
from kingcupwheel.messages.attempts import AttemptRefused
from kingcupwheel.messages.attempts import AttemptUnknown
from kingcupwheel.messages.attempts import DispatchRefusal
from kingcupwheel.messages.attempts import Outcome
from kingcupwheel.messages.attempts import ResponseData
from kingcupwheel.messages.attempts import ResponseHead


if TYPE_CHECKING:
    from kingcupwheel.messages.base import Message

# Resumes in a row that bring no new byte before the rest is held to be gone: a few
# lost frames are mended by one or two, and a freed buffer by none.
MAX_RESUMES_WITHOUT_PROGRESS = 5


class AttemptStarted(NamedTuple):
    """The agent holds the attempt; ``running`` tells that its server has it."""

    is_running: bool


class HeadReceived(NamedTuple):
    """Status and headers of the answer."""

    status: int
    headers: tuple[tuple[str, str], ...]


class BodyChunk(NamedTuple):
    """The next bytes of the body."""

    data: bytes


class AnswerEnded(NamedTuple):
    """The last step: nothing more will come."""

    outcome: Outcome
    detail: str


class AttemptNotStarted(NamedTuple):
    """The last step: the agent did not run it and never will."""

    reason: DispatchRefusal


class AttemptNeverSeen(NamedTuple):
    """The agent's life ``incarnation`` never saw the attempt.

    ``cancelled`` tells that it will not run there any more either.
    """

    incarnation: str
    is_cancelled: bool


class ResumeNeeded(NamedTuple):
    """Ask the agent again from ``offset``; ``why`` is a short reason."""

    offset: int
    reason: str


class NoStep(NamedTuple):
    """The message changes nothing."""


AnswerStep = (
    AttemptStarted
    | HeadReceived
    | BodyChunk
    | AnswerEnded
    | AttemptNotStarted
    | AttemptNeverSeen
    | ResumeNeeded
    | NoStep
)


class AnswerAssembler:
    """The state of one answer being followed; belongs to one thread."""

    def __init__(self) -> None:
        self._offset = 0
        self._has_head = False
        self._resume_count = 0

    @property
    def offset(self) -> int:
        """Bytes of the body passed on so far."""
        return self._offset

    @property
    def has_head(self) -> bool:
        """Whether status and headers have been passed on."""
        return self._has_head

    def process_message(self, message: Message) -> AnswerStep:
        """Return what ``message`` brings."""
        match message:
            case ResponseData(offset=offset, data=data):
                return self._on_data(offset, data)
            case AttemptAccepted(running=running):
                return AttemptStarted(running)
            case ResponseHead(status=status, headers=headers):
                return self._on_head(status, headers)
            case AttemptEnd(length=length, outcome=outcome, detail=detail):
                return self._on_end(length, outcome, detail)
            case AttemptRefused(reason=reason):
                return AttemptNotStarted(reason)
            case AttemptUnknown(incarnation=incarnation, cancelled=cancelled):
                return AttemptNeverSeen(incarnation, cancelled)
        return NoStep()

    def resume_on_new_link(self) -> ResumeNeeded:
        """Return the step to take after the link was replaced."""
        return ResumeNeeded(self._offset, "link replaced")

    def _on_head(self, status: int, headers: tuple[tuple[str, str], ...]) -> AnswerStep:
        if self._has_head:
            return NoStep()
        self._has_head = True
        return HeadReceived(status, headers)

    def _on_data(self, offset: int, data: bytes) -> AnswerStep:
        if offset > self._offset or not self._has_head:
            return self._resume("frames missing")
        fresh = data[self._offset - offset :]
        if not fresh:
            return NoStep()
        self._resume_count = 0
        self._offset += len(fresh)
        return BodyChunk(fresh)

    def _on_end(self, length: int, outcome: Outcome, detail: str) -> AnswerStep:
        whole = self._offset == length and self._has_head
        if whole or outcome is not Outcome.RAN:
            return AnswerEnded(outcome, detail)
        return self._resume("end before its frames")

    def _resume(self, why: str) -> AnswerStep:
        self._resume_count += 1
        if self._resume_count > MAX_RESUMES_WITHOUT_PROGRESS:
            return AnswerEnded(Outcome.UNKNOWN, "the rest of the answer is gone")
        return ResumeNeeded(self._offset, why)
