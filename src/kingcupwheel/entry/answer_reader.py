"""Reads one attempt's answer from its inbox, with resumes and acknowledgements."""

from __future__ import annotations

from time import monotonic
from typing import TYPE_CHECKING

from kingcupwheel.entry.answer_assembler import AnswerAssembler
from kingcupwheel.entry.answer_assembler import AnswerEnded
from kingcupwheel.entry.answer_assembler import BodyChunk
from kingcupwheel.entry.answer_assembler import NoStep
from kingcupwheel.entry.answer_assembler import ResumeNeeded
from kingcupwheel.entry.attempt_inboxes import AgentGone
from kingcupwheel.entry.attempt_inboxes import LinkReplaced
from kingcupwheel.entry.attempt_inboxes import WaitTimedOut
from kingcupwheel.link.links import OutgoingLink
from kingcupwheel.messages.attempts import Ack
from kingcupwheel.messages.attempts import CancelRequest
from kingcupwheel.messages.attempts import Outcome
from kingcupwheel.messages.attempts import ResumeRequest
from kingcupwheel.trace.events import AttemptResumed


if TYPE_CHECKING:
    from kingcupwheel.entry.answer_assembler import AnswerStep
    from kingcupwheel.entry.attempt_inboxes import AttemptInbox
    from kingcupwheel.link.hub import MessageHub
    from kingcupwheel.messages.base import Message
    from kingcupwheel.trace.recorder import TraceRecorder

# Unacknowledged bytes of an answer that an agent may send. Many frames of tokens fit,
# so that acknowledgements are rare; a slow caller's answer still takes little memory.
FLOW_CREDIT_BYTES = 256 * 1024


class AnswerReader:
    """Reads the answer of one attempt from its inbox; not thread-safe.

    Resumes are recorded in the trace of ``trace_request_id``. After
    ``silence_timeout_s`` without a message the answer is requested again.
    """

    def __init__(
        self,
        inbox: AttemptInbox,
        hub: MessageHub,
        recorder: TraceRecorder,
        *,
        trace_request_id: str,
        server: str,
        claim_id: str | None,
        silence_timeout_s: float,
    ) -> None:
        self._inbox = inbox
        self._hub = hub
        self._recorder = recorder
        self._trace_request_id = trace_request_id
        self._server = server
        self._claim_id = claim_id
        self._assembler = AnswerAssembler()
        self._acked_offset = 0
        self._silence_timeout_s = silence_timeout_s
        self._last_heard_at = monotonic()
        self._started_at = self._last_heard_at

    @property
    def inbox(self) -> AttemptInbox:
        """Inbox that gets the attempt's messages."""
        return self._inbox

    @property
    def server(self) -> str:
        """Name of the backend server's instance."""
        return self._server

    @property
    def started_at(self) -> float:
        """Time when the attempt was sent, monotonic."""
        return self._started_at

    @property
    def offset(self) -> int:
        """Number of bytes of the body read so far."""
        return self._assembler.offset

    def read_step(self, timeout_s: float) -> AnswerStep | WaitTimedOut:
        """Return the next step other than ``NoStep``, or ``WaitTimedOut``."""
        deadline = monotonic() + timeout_s
        while True:
            item = self._inbox.get(deadline - monotonic())
            self._resume_if_silent(item)
            step = self._process_item(item)
            if not isinstance(step, NoStep):
                return step

    def _resume_if_silent(
        self, item: Message | LinkReplaced | AgentGone | WaitTimedOut
    ) -> None:
        """Request the answer again if the agent sends it to an old connection.

        The transport replaces a broken connection unnoticed. Heartbeats arrive again,
        but the agent still sends the answer to the old connection: the link is alive,
        yet no message of the attempt arrives, not even ``RunningAttempts``. The request
        tells the agent the new connection; a needless one does no harm.
        """
        now = monotonic()
        if not isinstance(item, WaitTimedOut):
            self._last_heard_at = now
        elif now - self._last_heard_at > self._silence_timeout_s:
            self._last_heard_at = now
            self.request_resume(reason="nothing was heard of it")

    def _process_item(
        self, item: Message | LinkReplaced | AgentGone | WaitTimedOut
    ) -> AnswerStep | WaitTimedOut:
        match item:
            case WaitTimedOut():
                return item
            case AgentGone(detail):
                return AnswerEnded(Outcome.UNKNOWN, detail)
            case LinkReplaced():
                return self._resume_at(self._assembler.resume_on_new_link())
            case message:
                return self._process_step(self._assembler.process_message(message))

    def _process_step(self, step: AnswerStep) -> AnswerStep:
        match step:
            case ResumeNeeded():
                return self._resume_at(step)
            case BodyChunk():
                self._acknowledge_if_due()
            case AnswerEnded():
                self._send(Ack(*self._inbox.key, self._assembler.offset))
        return step

    def _resume_at(self, step: ResumeNeeded) -> AnswerStep:
        self.request_resume(reason=step.reason)
        return NoStep()

    def request_resume(self, *, reason: str) -> None:
        """Request the answer from the next byte on from the agent."""
        offset = self._assembler.offset
        event = AttemptResumed(self._server, self._inbox.key.attempt, offset, reason)
        self._recorder.record(self._trace_request_id, event)
        self._send(
            ResumeRequest(*self._inbox.key, offset, FLOW_CREDIT_BYTES, self._claim_id)
        )

    def _acknowledge_if_due(self) -> None:
        offset = self._assembler.offset
        if offset - self._acked_offset >= FLOW_CREDIT_BYTES // 2:
            self._acked_offset = offset
            self._send(Ack(*self._inbox.key, offset))

    def cancel(self) -> None:
        """Tell the agent that the answer is no longer needed."""
        self._send(CancelRequest(*self._inbox.key))

    def _send(self, message: Message) -> None:
        self._hub.send(OutgoingLink(self._inbox.address, 0), message)
