"""Waits for the head of an answer and cancels abandoned attempts."""

from __future__ import annotations

from time import monotonic
from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.entry.answer_assembler import AnswerEnded
from kingcupwheel.entry.answer_assembler import AttemptNeverSeen
from kingcupwheel.entry.answer_assembler import AttemptNotStarted
from kingcupwheel.entry.answer_assembler import AttemptStarted
from kingcupwheel.entry.answer_assembler import HeadReceived
from kingcupwheel.entry.attempt_dispatcher import CALLER_POLL_INTERVAL_S
from kingcupwheel.messages.attempts import DispatchRefusal as AgentRefusal
from kingcupwheel.messages.attempts import Outcome
from kingcupwheel.trace.events import AttemptForwarded as StartedEvent
from kingcupwheel.trace.events import CallerLeft


if TYPE_CHECKING:
    from kingcupwheel.entry.answer_assembler import AnswerStep
    from kingcupwheel.entry.answer_reader import AnswerReader
    from kingcupwheel.entry.caller_connection import CallerConnection
    from kingcupwheel.entry.caller_requests import CallerRequest
    from kingcupwheel.entry.context import EntryContext

# Time for the agent to report the outcome of a cancelled attempt. It replies at once; a
# caller that is to get its final answer does not wait longer for a silent agent.
_CANCEL_TIMEOUT_S = 2.0


class WaitAbandoned(NamedTuple):
    """The caller's wait has ended; the attempt may go on, its outcome is unknown."""


HeadWaitResult = HeadReceived | AnswerEnded | AttemptNotStarted | WaitAbandoned


class AnswerHeadWaiter:
    """Waits for the head of one request's answer; not thread-safe."""

    def __init__(
        self,
        context: EntryContext,
        request: CallerRequest,
        connection: CallerConnection,
    ) -> None:
        self._context = context
        self._request = request
        self._connection = connection

    def wait(
        self, reader: AnswerReader, first_step: AnswerStep | None = None
    ) -> HeadWaitResult:
        """Return once the head is received, the attempt has ended or the wait has.

        ``first_step`` is a step that was read before.
        """
        is_running = isinstance(first_step, AttemptStarted) and first_step.is_running
        abandoned_at: float | None = None
        while True:
            step = reader.read_step(CALLER_POLL_INTERVAL_S)
            match step:
                case HeadReceived() | AnswerEnded() | AttemptNotStarted():
                    return step
                case AttemptNeverSeen():
                    result = self._handle_never_seen(reader, step)
                    if result is not None:
                        return result
                case AttemptStarted(now_running):
                    is_running = is_running or now_running
                    self._record_started(reader, now_running)
            if self._should_retry_elsewhere(reader):
                reader.cancel()
                return AnswerEnded(Outcome.UNKNOWN, "the server's instance is silent")
            abandoned_at = abandoned_at or self._cancel_if_abandoned(reader, is_running)
            if (
                abandoned_at is not None
                and monotonic() - abandoned_at > _CANCEL_TIMEOUT_S
            ):
                return WaitAbandoned()

    def _should_retry_elsewhere(self, reader: AnswerReader) -> bool:
        """Return whether to retry elsewhere because the agent is silent.

        A silent agent is declared lost only after ``give_up_s`` (20 s by default),
        because a request that must not be repeated can't run elsewhere. A repeatable
        request does not wait that long, as another server can send its first token
        within a second.
        """
        if not self._request.route.repeatable:
            return False
        server = self._context.servers.find_by_address(reader.inbox.address)
        gone_s = self._context.settings.timings.gone_s
        return server is not None and monotonic() - server.last_heard_at > gone_s

    def _handle_never_seen(
        self, reader: AnswerReader, step: AttemptNeverSeen
    ) -> AnswerEnded | AttemptNotStarted | None:
        """Return the result of the wait, or None if the agent is queried again.

        The dispatch was lost, or is still in transit on an old link. Cancelling makes
        the agent write a tombstone; the next query confirms that it is in place.
        """
        if step.incarnation != reader.inbox.incarnation:
            return AnswerEnded(Outcome.UNKNOWN, "the agent restarted")
        if step.is_cancelled:
            return AttemptNotStarted(AgentRefusal.CANCELLED)
        reader.cancel()
        reader.request_resume(reason="the dispatch did not arrive")
        return None

    def _record_started(self, reader: AnswerReader, is_running: bool) -> None:
        if is_running:
            event = StartedEvent(reader.server, reader.inbox.key.attempt)
            self._context.recorder.record(self._request.request_id, event)

    def _cancel_if_abandoned(
        self, reader: AnswerReader, is_running: bool
    ) -> float | None:
        """Cancel an abandoned attempt; return when the wait ended, None if it goes on.

        A run that must not be repeated is not cancelled: the caller gets its result by
        sending the same Idempotency-Key again.
        """
        request = self._request
        is_late = monotonic() >= request.deadline_at
        is_caller_gone = self._connection.is_closed()
        if request.route.repeatable or not is_running:
            if is_late or is_caller_gone:
                reader.cancel()
                return monotonic()
            return None
        if is_caller_gone:
            event = CallerLeft(0)
            self._context.recorder.record(request.request_id, event)
        if is_caller_gone or (is_late and request.has_own_deadline):
            return monotonic() - _CANCEL_TIMEOUT_S
        return None
