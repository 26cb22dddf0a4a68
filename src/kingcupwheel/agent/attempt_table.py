"""Table of attempts: decides which run, wait, join an earlier one or are refused.

It uses no sockets and reads no clock; ``now`` is the agent's monotonic time in seconds.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from kingcupwheel.agent.attempt_history import AttemptHistory
from kingcupwheel.agent.attempt_queue import AttemptQueue
from kingcupwheel.agent.attempts import AttemptKey
from kingcupwheel.agent.attempts import ForgottenDecision
from kingcupwheel.agent.attempts import IgnoreDecision
from kingcupwheel.agent.attempts import JoinDecision
from kingcupwheel.agent.attempts import QueueDecision
from kingcupwheel.agent.attempts import RefusalDecision
from kingcupwheel.agent.attempts import StartDecision
from kingcupwheel.agent.attempts import StopDecision
from kingcupwheel.agent.attempts import get_attempt_key
from kingcupwheel.agent.attempts import is_valid_http_request
from kingcupwheel.agent.claim_fences import ClaimFences
from kingcupwheel.decisions.memory_admission import count_body_bytes
from kingcupwheel.decisions.memory_admission import may_hold_body
from kingcupwheel.messages.attempts import DispatchRefusal
from kingcupwheel.messages.attempts import TombstoneReply


if TYPE_CHECKING:
    from kingcupwheel.agent.attempts import CancelDecision
    from kingcupwheel.agent.attempts import DispatchDecision
    from kingcupwheel.messages.attempts import Dispatch
    from kingcupwheel.messages.attempts import TombstoneRequest

_NO_ATTEMPT = AttemptKey("", 0)


class AttemptTable:
    """Attempts of one agent incarnation.

    ``capacity`` bounds the running attempts and ``queue_limit`` the queued ones. The
    queue absorbs bursts and keeps the server busy between two dispatches. It is short,
    because a queued attempt can no longer be placed on an idle server; when it is full,
    a refusal lets the entry choose another server. ``requests_bytes`` limits the bodies
    of all of them.
    """

    def __init__(
        self,
        *,
        incarnation: str,
        capacity: int,
        queue_limit: int,
        token_s: float,
        requests_bytes: float = float("inf"),
    ) -> None:
        self._incarnation = incarnation
        self._requests_bytes = requests_bytes
        self._capacity = capacity
        self._token_s = token_s
        self._queue = AttemptQueue(limit=queue_limit)
        self._running: dict[AttemptKey, Dispatch] = {}
        # Further attempts that joined a running or queued one.
        self._joined_by_key: dict[AttemptKey, set[AttemptKey]] = {}
        self._history = AttemptHistory(token_s=token_s)
        self._claim_fences = ClaimFences()
        self._leaving = False

    @property
    def incarnation(self) -> str:
        """The id of this agent incarnation."""
        return self._incarnation

    @property
    def capacity(self) -> int:
        """The maximum number of attempts that run at once."""
        return self._capacity

    @property
    def ended_retention_s(self) -> float:
        """How long an ended attempt is kept, in seconds."""
        return self._history.ended_retention_s

    @property
    def is_leaving(self) -> bool:
        """Whether the agent is draining and refuses new attempts."""
        return self._leaving

    @property
    def running_dispatches(self) -> tuple[Dispatch, ...]:
        """The dispatches of the running attempts."""
        return tuple(self._running.values())

    @property
    def queued_dispatches(self) -> tuple[Dispatch, ...]:
        """The dispatches of the queued attempts, next one first."""
        return self._queue.dispatches

    def get_token(self, *, now: float) -> int:
        """Return the clock token for heartbeats: the agent's clock in milliseconds."""
        return int(now * 1000)

    def set_capacity(self, capacity: int) -> None:
        """Change the maximum of running attempts; those already running continue."""
        self._capacity = capacity

    def get_accepted_key(self, claim_id: str) -> AttemptKey | None:
        """Return the key of the claim's accepted attempt, or None."""
        return self._claim_fences.get_accepted_key(claim_id)

    def get_refusal(self, key: AttemptKey) -> DispatchRefusal | None:
        """Return the reason of the attempt's refusal, or None."""
        return self._history.get_refusal(key)

    def is_running(self, key: AttemptKey) -> bool:
        """Return whether the attempt is running."""
        return key in self._running

    def is_cancelled(self, key: AttemptKey) -> bool:
        """Return whether a cancel was recorded before the attempt's dispatch."""
        return self._history.is_cancelled(key)

    def handle_dispatch(self, dispatch: Dispatch, *, now: float) -> DispatchDecision:
        """Decide on a dispatch; a refusal also holds for all its copies."""
        self._expire(now)
        key = get_attempt_key(dispatch)
        earlier = self._find_earlier_attempt(dispatch)
        if earlier is not None:
            return JoinDecision(earlier)
        if self._is_beyond_retention(dispatch, now):
            return ForgottenDecision(key)
        reason = self._find_refusal(dispatch, now)
        if reason is not None:
            return self._refuse(key, reason, now)
        return self._accept(dispatch, now)

    def set_tombstone(self, request: TombstoneRequest, *, now: float) -> TombstoneReply:
        """Refuse lower fences of the claim from now on; report the accepted attempt."""
        is_same_incarnation = request.incarnation == self._incarnation
        accepted_key = None
        if is_same_incarnation:
            accepted_key = self._claim_fences.set_tombstone(
                request.claim_id, request.fence, now=now
            )
        key = accepted_key or _NO_ATTEMPT
        return TombstoneReply(
            claim_id=request.claim_id,
            fence=request.fence,
            incarnation=self._incarnation,
            accepted=is_same_incarnation,
            ran=accepted_key is not None,
            request_id=key.request_id,
            attempt=key.attempt,
        )

    def cancel(self, key: AttemptKey, *, now: float) -> CancelDecision:
        """Decide on the cancel of an attempt whose caller left.

        An unknown attempt is refused if its dispatch arrives, which may still be in
        transit on an older link. It may also have run in an earlier incarnation, so it
        is not reported as refused now. A non-repeatable attempt runs on: if aborted, it
        could be neither completed nor repeated when the caller sends it again.
        """
        running = self._running.get(key)
        if running is not None:
            return StopDecision(key) if running.claim is None else IgnoreDecision()
        waiting = self._queue.remove(key)
        if waiting is not None:
            self._refuse_accepted(waiting, DispatchRefusal.CANCELLED, now)
            return RefusalDecision(key, DispatchRefusal.CANCELLED)
        if not self._history.has_ended(key):
            self._history.record_cancel(key, now=now)
        return IgnoreDecision()

    def finish(self, key: AttemptKey, *, now: float) -> None:
        """Record that the attempt ran on the server and ended."""
        if self._running.pop(key, None) is not None:
            self._joined_by_key.pop(key, None)
            self._history.record_end(key, now=now)

    def record_not_run(
        self, key: AttemptKey, reason: DispatchRefusal, *, now: float
    ) -> list[RefusalDecision]:
        """Refuse an attempt that counts as running but never reached the server."""
        dispatch = self._running.pop(key, None)
        if dispatch is None:
            return []
        return self._refuse_accepted(dispatch, reason, now)

    def begin_leaving(self, *, now: float) -> list[RefusalDecision]:
        """Refuse new attempts from now on, and all queued ones."""
        self._leaving = True
        refusals = []
        for dispatch in self._queue.clear():
            refusals += self._refuse_accepted(dispatch, DispatchRefusal.LEAVING, now)
        return refusals

    def advance(self, *, now: float) -> list[StartDecision | RefusalDecision]:
        """Start queued attempts as capacity allows; refuse the expired ones."""
        steps: list[StartDecision | RefusalDecision] = []
        for expired in self._queue.expire(now=now):
            steps += self._refuse_accepted(expired, DispatchRefusal.EXPIRED, now)
        while len(self._running) < self._capacity:
            dispatch = self._queue.pop()
            if dispatch is None:
                break
            self._running[get_attempt_key(dispatch)] = dispatch
            steps.append(StartDecision(dispatch))
        return steps

    def _find_earlier_attempt(self, dispatch: Dispatch) -> AttemptKey | None:
        """Return the accepted attempt that this one is a copy of or joins, if any.

        A claim's second dispatch joins the first regardless of its fence: the claim's
        request already runs or ran, and its answer is the valid one.
        """
        key = get_attempt_key(dispatch)
        if self._is_pending(key) or self._history.has_ended(key):
            return key
        if self._history.get_refusal(key) or dispatch.claim is None:
            return None
        if dispatch.incarnation != self._incarnation:
            return None
        earlier = self._claim_fences.get_accepted_key(dispatch.claim.claim_id)
        if earlier is not None and self._is_pending(earlier):
            self._joined_by_key.setdefault(earlier, set()).add(key)
        return earlier

    def _is_beyond_retention(self, dispatch: Dispatch, now: float) -> bool:
        if dispatch.incarnation != self._incarnation:
            return False
        age_ms = self.get_token(now=now) - dispatch.token
        return age_ms > self._history.ended_retention_s * 1000

    def _is_pending(self, key: AttemptKey) -> bool:
        return key in self._running or key in self._queue

    def _find_refusal(self, dispatch: Dispatch, now: float) -> DispatchRefusal | None:
        key = get_attempt_key(dispatch)
        reason = self._history.get_refusal(key)
        reason = reason or self._find_staleness_refusal(dispatch, now)
        if reason is None and self._history.is_cancelled(key):
            reason = DispatchRefusal.CANCELLED
        if reason is None and dispatch.claim is not None:
            reason = self._claim_fences.raise_fence(dispatch.claim, now=now)
        return reason or self._find_admission_refusal(dispatch)

    def _find_staleness_refusal(
        self, dispatch: Dispatch, now: float
    ) -> DispatchRefusal | None:
        if dispatch.incarnation != self._incarnation:
            return DispatchRefusal.WRONG_INCARNATION
        # A delayed copy (on a link presumed dead, or while this process was paused)
        # carries an old token. Without this check it would run long after the entry
        # gave it up, and refusals would have to be kept forever.
        age_ms = self.get_token(now=now) - dispatch.token
        if age_ms < 0 or age_ms > self._token_s * 1000:
            return DispatchRefusal.STALE_TOKEN
        return None

    def _find_admission_refusal(self, dispatch: Dispatch) -> DispatchRefusal | None:
        if self._leaving:
            return DispatchRefusal.LEAVING
        if not is_valid_http_request(dispatch):
            return DispatchRefusal.BAD_REQUEST
        if dispatch.deadline_s is not None and dispatch.deadline_s <= 0:
            return DispatchRefusal.EXPIRED
        # At most one request that is suspected of crashing its server runs here: with
        # two, a crash could not be attributed to either of them.
        if dispatch.suspect and self._has_suspect():
            return DispatchRefusal.SUSPECT_BUSY
        if len(self._running) >= self._capacity and self._queue.is_full:
            return DispatchRefusal.FULL
        if not may_hold_body(
            len(dispatch.body),
            used_bytes=self._count_body_bytes(),
            limit_bytes=self._requests_bytes,
        ):
            return DispatchRefusal.FULL
        return None

    def _count_body_bytes(self) -> int:
        held = (*self.running_dispatches, *self.queued_dispatches)
        return sum(count_body_bytes(len(one.body)) for one in held)

    def _has_suspect(self) -> bool:
        return any(
            other.suspect
            for other in (*self.running_dispatches, *self.queued_dispatches)
        )

    def _accept(self, dispatch: Dispatch, now: float) -> DispatchDecision:
        key = get_attempt_key(dispatch)
        if dispatch.claim is not None:
            self._claim_fences.accept(dispatch.claim.claim_id, key, now=now)
        if len(self._running) < self._capacity:
            self._running[key] = dispatch
            return StartDecision(dispatch)
        return QueueDecision(self._queue.push(dispatch, now=now))

    def _refuse(
        self, key: AttemptKey, reason: DispatchRefusal, now: float
    ) -> RefusalDecision:
        self._history.record_refusal(key, reason, now=now)
        return RefusalDecision(key, reason)

    def _refuse_accepted(
        self, dispatch: Dispatch, reason: DispatchRefusal, now: float
    ) -> list[RefusalDecision]:
        """Refuse an accepted attempt that never ran, and all that joined it."""
        if dispatch.claim is not None:
            self._claim_fences.release(dispatch.claim.claim_id, now=now)
        key = get_attempt_key(dispatch)
        joined = self._joined_by_key.pop(key, set())
        return [self._refuse(each, reason, now) for each in (key, *sorted(joined))]

    def _expire(self, now: float) -> None:
        self._history.expire(now=now)
        self._claim_fences.expire(now=now)
