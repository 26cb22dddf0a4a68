"""Assembles one attempt's answer in order and requests missing parts.

Performs no I/O: it takes messages and returns steps. Frames can arrive late, twice or
from an old link. Only bytes at the next offset of this attempt are returned, so that a
caller never gets bytes of another answer, a gap or a duplicate.
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

# Consecutive resumes without new bytes after which the rest of the answer counts as
# lost. One or two recover a few lost frames; no number recovers a freed buffer.
MAX_RESUMES_WITHOUT_PROGRESS = 5


class AttemptStarted(NamedTuple):
    """The agent has accepted the attempt; if ``is_running``, its server has it."""

    is_running: bool


class HeadReceived(NamedTuple):
    """Status and headers of the answer arrived."""

    status: int
    headers: tuple[tuple[str, str], ...]


class BodyChunk(NamedTuple):
    """The next bytes of the body arrived."""

    data: bytes


class AnswerEnded(NamedTuple):
    """The last step: the answer has ended or is lost."""

    outcome: Outcome
    detail: str


class AttemptNotStarted(NamedTuple):
    """The last step: the agent refused the attempt and will not run it."""

    reason: DispatchRefusal


class AttemptNeverSeen(NamedTuple):
    """The agent's ``incarnation`` never received the attempt.

    ``is_cancelled`` means that a tombstone keeps it from running there later.
    """

    incarnation: str
    is_cancelled: bool


class ResumeNeeded(NamedTuple):
    """The answer has to be requested again from ``offset`` on."""

    offset: int
    reason: str


class NoStep(NamedTuple):
    """The message is a duplicate or irrelevant."""


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
    """Assembles the frames of one answer; not thread-safe."""

    def __init__(self) -> None:
        self._offset = 0
        self._has_head = False
        self._resume_count = 0

    @property
    def offset(self) -> int:
        """Number of bytes of the body returned so far."""
        return self._offset

    @property
    def has_head(self) -> bool:
        """Whether status and headers have been returned."""
        return self._has_head

    def process_message(self, message: Message) -> AnswerStep:
        """Return the step that follows from a message."""
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
        """Return the step that follows the replacement of the link."""
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
        is_complete = self._offset == length and self._has_head
        if is_complete or outcome is not Outcome.RAN:
            return AnswerEnded(outcome, detail)
        return self._resume("end before its frames")

    def _resume(self, reason: str) -> AnswerStep:
        self._resume_count += 1
        if self._resume_count > MAX_RESUMES_WITHOUT_PROGRESS:
            return AnswerEnded(Outcome.UNKNOWN, "the rest of the answer is gone")
        return ResumeNeeded(self._offset, reason)
