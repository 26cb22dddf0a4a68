"""Acquires the claim of an idempotency key, or resolves that of an earlier send.

Every resolution leads to the answer of the earlier run, to a run that is certain to be
the only one, or to a truthful ``unknown``.
"""

from __future__ import annotations

import time
from time import monotonic
from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec

from kingcupwheel.claims.claim_records import ClaimRecord
from kingcupwheel.claims.claim_records import StoredClaim
from kingcupwheel.claims.claim_records import compute_claim_id
from kingcupwheel.claims.claim_store import generate_write_nonce
from kingcupwheel.claims.exceptions import ClaimConflict
from kingcupwheel.claims.exceptions import ClaimUnavailable
from kingcupwheel.entry.agent_reference import AgentReference
from kingcupwheel.entry.answer_assembler import AttemptNeverSeen
from kingcupwheel.entry.answer_assembler import AttemptNotStarted
from kingcupwheel.entry.answer_reader import AnswerReader
from kingcupwheel.entry.attempt_inboxes import AgentGone
from kingcupwheel.entry.attempt_inboxes import AttemptInbox
from kingcupwheel.entry.attempt_inboxes import AttemptKey
from kingcupwheel.entry.attempt_inboxes import WaitTimedOut
from kingcupwheel.entry.refusals import EARLIER_SEND_RUNNING
from kingcupwheel.entry.refusals import IDEMPOTENCY_KEY_REUSED
from kingcupwheel.entry.refusals import Refusal
from kingcupwheel.entry.refusals import build_claim_refusal
from kingcupwheel.entry.refusals import build_earlier_send_refusal
from kingcupwheel.link.links import OutgoingLink
from kingcupwheel.messages.attempts import Outcome
from kingcupwheel.messages.attempts import TombstoneReply
from kingcupwheel.messages.attempts import TombstoneRequest
from kingcupwheel.trace.events import ClaimRecorded
from kingcupwheel.trace.events import ResendJoined


if TYPE_CHECKING:
    from collections.abc import Callable

    from kingcupwheel.entry.answer_assembler import AnswerStep
    from kingcupwheel.entry.caller_requests import CallerRequest
    from kingcupwheel.entry.context import EntryContext
    from kingcupwheel.entry.placement_tickets import Reservation

# Interval at which a thread checks whether another one still reads the answer.
_INBOX_POLL_INTERVAL_S = 0.1
# Interval at which an unanswered query is sent again, over the agent's current link.
_QUERY_RETRY_INTERVAL_S = 1.0
# Changes of a claim by other entries after which this entry stops competing for it.
# Each change means that another entry has made progress with the claim.
MAX_CLAIM_CHANGES = 4


class EarlierRun(NamedTuple):
    """The earlier run can be read from ``reader``; ``first_step`` was read already.

    ``close`` has to be called once the answer has been read or is abandoned.
    """

    reader: AnswerReader
    first_step: AnswerStep
    close: Callable[[], None]


class ClaimAvailable(NamedTuple):
    """The request may run under the claim; no earlier dispatch can start now."""

    held_claim: StoredClaim


class ClaimRefused(NamedTuple):
    """The request is refused: there is no answer to read and it must not run."""

    refusal: Refusal


class ClaimChanged(NamedTuple):
    """Another entry changed the claim meanwhile; it has to be resolved again."""


ClaimResolution = EarlierRun | ClaimAvailable | ClaimRefused | ClaimChanged


class ClaimResolver:
    """Acquires and resolves the claim of one request; not thread-safe."""

    def __init__(self, context: EntryContext, request: CallerRequest) -> None:
        self._context = context
        self._request = request
        self._claim_id = compute_claim_id(
            request.organisation.name, request.idempotency_key
        )

    @property
    def claim_id(self) -> str:
        """Digest that identifies the claim."""
        return self._claim_id

    def read(self) -> StoredClaim | Refusal | None:
        """Return the claim stored by the platform, None if there is none."""
        result = self._context.claims.read(self._claim_id)
        if result.is_error():
            return build_claim_refusal(result.error, is_claimed=True)
        return result.ok

    def acquire(
        self, reservation: Reservation, attempt: int, held_claim: StoredClaim | None
    ) -> StoredClaim | ClaimChanged | Refusal:
        """Create the claim for the reserved server, or move ``held_claim`` to it."""
        record = self._build_record(reservation, attempt, held_claim)
        if held_claim is None:
            result = self._context.claims.create(self._claim_id, record)
        else:
            result = self._context.claims.update(held_claim, record)
        if result.is_ok():
            self._record_claim(result.ok, "made" if held_claim is None else "moved")
            self._context.expired_claim_remover.schedule_removal(result.ok)
            return result.ok
        match result.error:
            case ClaimConflict():
                return ClaimChanged()
            case ClaimUnavailable() as error:
                return build_claim_refusal(error)

    def _build_record(
        self, reservation: Reservation, attempt: int, held_claim: StoredClaim | None
    ) -> ClaimRecord:
        request = self._request
        return ClaimRecord(
            organisation=request.organisation.name,
            request_id=request.request_id,
            attempt=attempt,
            nonce=generate_write_nonce(),
            body_digest=request.body_digest,
            entry=self._context.settings.name,
            agent=reservation.server,
            address=reservation.address,
            incarnation=reservation.incarnation,
            fence=1 if held_claim is None else held_claim.record.fence + 1,
            created_at=time.time()
            if held_claim is None
            else held_claim.record.created_at,
        )

    def record_final_outcome(
        self, held_claim: StoredClaim, outcome: Outcome, reason: str
    ) -> None:
        """Record the outcome of the claim's dispatches; a failed write is harmless.

        The next reader of the claim queries the same agent. ``NOT_RUN`` is recorded
        because that agent may have restarted by then, and its refusals with it.
        """
        record = msgspec.structs.replace(
            held_claim.record,
            nonce=generate_write_nonce(),
            final_outcome=outcome,
            reason=reason,
        )
        self._context.claims.update(held_claim, record)

    def resolve(self, held_claim: StoredClaim) -> ClaimResolution:
        """Determine the state of the run under an earlier send's claim."""
        record = held_claim.record
        if record.body_digest != self._request.body_digest:
            return ClaimRefused(IDEMPOTENCY_KEY_REUSED)
        if record.final_outcome is Outcome.NOT_RUN:
            return ClaimAvailable(held_claim)
        if record.final_outcome is not None:
            return ClaimRefused(
                build_earlier_send_refusal(record.final_outcome, record.reason)
            )
        self._context.recorder.record(
            self._request.request_id, ResendJoined(record.request_id)
        )
        inbox = self._open_inbox(record)
        if inbox is None:
            return ClaimRefused(EARLIER_SEND_RUNNING)
        reference = AgentReference(self._context.servers, record)

        def close() -> None:
            self._context.inboxes.close(inbox)
            reference.release()

        resolution = self._resolve_at_agent(held_claim, inbox, close)
        if not isinstance(resolution, EarlierRun):
            close()
        return resolution

    def _resolve_at_agent(
        self, held_claim: StoredClaim, inbox: AttemptInbox, close: Callable[[], None]
    ) -> ClaimResolution:
        reader = AnswerReader(
            inbox,
            self._context.hub,
            self._context.recorder,
            trace_request_id=self._request.request_id,
            server=held_claim.record.agent,
            claim_id=held_claim.claim_id,
            silence_timeout_s=self._context.settings.timings.silence_s,
        )
        step = self._query_agent(reader)
        match step:
            case AttemptNeverSeen(incarnation, _) if (
                incarnation == held_claim.record.incarnation
            ):
                return self._take_over(held_claim, inbox)
            case AttemptNeverSeen():
                return self._finish_as_unknown(
                    held_claim, "the agent restarted after the claim"
                )
            case AttemptNotStarted():
                return ClaimAvailable(held_claim)
            case WaitTimedOut():
                return self._finish_as_unknown(held_claim, "the agent does not answer")
            case _:
                return EarlierRun(reader, step, close)

    def _query_agent(self, reader: AnswerReader) -> AnswerStep | WaitTimedOut:
        # A new connection to an agent takes time, and one message may be lost.
        deadline = monotonic() + self._context.settings.timings.give_up_s
        while monotonic() < deadline:
            reader.request_resume(reason="joined by a resend")
            step = reader.read_step(_QUERY_RETRY_INTERVAL_S)
            if not isinstance(step, WaitTimedOut):
                return step
        return WaitTimedOut()

    def _open_inbox(self, record: ClaimRecord) -> AttemptInbox | None:
        # Another thread of this entry may read the same answer. The agent sends it to
        # one reader at a time, so this thread waits until the other one has read it.
        key = AttemptKey(record.request_id, record.attempt)
        inboxes = self._context.inboxes
        while monotonic() < self._request.deadline_at:
            inbox = inboxes.open(key, record.address, record.incarnation)
            if inbox is not None:
                return inbox
            time.sleep(_INBOX_POLL_INTERVAL_S)
        return None

    def _finish_as_unknown(
        self, held_claim: StoredClaim, reason: str
    ) -> ClaimResolution:
        self.record_final_outcome(held_claim, Outcome.UNKNOWN, reason)
        return ClaimRefused(build_earlier_send_refusal(Outcome.UNKNOWN, reason))

    def _take_over(
        self, held_claim: StoredClaim, inbox: AttemptInbox
    ) -> ClaimResolution:
        """Keep the earlier dispatch from starting, then make the claim available.

        The first entry may be paused between claim and dispatch. The claim's fence is
        raised while it still names the same agent, then a tombstone at that agent
        refuses the lower fence. In the reverse order, a crash in between would leave a
        claim that names an agent which never received the dispatch.
        """
        record = msgspec.structs.replace(
            held_claim.record,
            nonce=generate_write_nonce(),
            entry=self._context.settings.name,
            fence=held_claim.record.fence + 1,
        )
        result = self._context.claims.update(held_claim, record)
        if result.is_error():
            match result.error:
                case ClaimConflict():
                    return ClaimChanged()
                case ClaimUnavailable() as error:
                    return ClaimRefused(build_claim_refusal(error, is_claimed=True))
        updated_claim = result.ok
        self._record_claim(updated_claim, "raised the fence of")
        return self._write_tombstone(updated_claim, inbox)

    def _write_tombstone(
        self, held_claim: StoredClaim, inbox: AttemptInbox
    ) -> ClaimResolution:
        record = held_claim.record
        request = TombstoneRequest(
            held_claim.claim_id, record.fence, record.incarnation
        )
        self._context.inboxes.subscribe_to_claim(held_claim.claim_id, inbox)
        try:
            reply = self._request_tombstone(request, inbox, record)
        finally:
            self._context.inboxes.unsubscribe_from_claim(held_claim.claim_id)
        match reply:
            case TombstoneReply(accepted=True, ran=False):
                return ClaimAvailable(held_claim)
            case TombstoneReply(accepted=True):
                # The earlier dispatch arrived meanwhile, so its run has to be resolved.
                return ClaimChanged()
            case TombstoneReply():
                return self._finish_as_unknown(
                    held_claim, "the agent restarted after the claim"
                )
        return self._finish_as_unknown(held_claim, "the agent does not answer")

    def _request_tombstone(
        self, request: TombstoneRequest, inbox: AttemptInbox, record: ClaimRecord
    ) -> TombstoneReply | None:
        deadline = monotonic() + self._context.settings.timings.give_up_s
        while monotonic() < deadline:
            self._context.hub.send(OutgoingLink(record.address, 0), request)
            match inbox.get(_QUERY_RETRY_INTERVAL_S):
                case TombstoneReply() as answer:
                    return answer
                case AgentGone():
                    return None
        return None

    def _record_claim(self, held_claim: StoredClaim, detail: str) -> None:
        event = ClaimRecorded(held_claim.claim_id, held_claim.record.fence, detail)
        self._context.recorder.record(self._request.request_id, event)
