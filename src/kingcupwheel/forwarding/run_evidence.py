"""Evidence for and against one request while it is forwarded."""

from __future__ import annotations

from time import monotonic
from typing import TYPE_CHECKING

from kingcupwheel.decisions.crash_suspects import MAX_PROBATION_S
from kingcupwheel.decisions.suspicion_status import NotSuspected
from kingcupwheel.decisions.trial_claims import CLAIM_LEASE_S
from kingcupwheel.decisions.trial_claims import CLAIM_SETTLE_S
from kingcupwheel.entry.refusals import Refusal
from kingcupwheel.forwarding.crash_attribution import LostRun
from kingcupwheel.forwarding.pending_completions import Completion
from kingcupwheel.forwarding.suspect_admission import admit_suspect
from kingcupwheel.forwarding.watchdog import AbortReason
from kingcupwheel.messages.attempts import Outcome


if TYPE_CHECKING:
    from kingcupwheel.entry.placement_tickets import Reservation
    from kingcupwheel.forwarding.context import ForwardContext
    from kingcupwheel.forwarding.requests import ForwardRequest
    from kingcupwheel.forwarding.watchdog import WatchedRequest
    from kingcupwheel.utils.response_limits import ResponseLimit


class RunEvidence:
    """Records how the runs of one request end; not thread-safe.

    ``is_suspect`` tells that it ran on a server that crashed and has not completed
    since, or that a part of its prompt did.
    """

    def __init__(
        self, context: ForwardContext, request: ForwardRequest, watched: WatchedRequest
    ) -> None:
        self._context = context
        self._evidence = context.crash_evidence
        self._request = request
        self._watched = watched
        self.is_suspect = False
        self._trial_keys: tuple[str, ...] = ()
        # Time after which a suspect's run counts as survived, 0 if it is none.
        self._probation_s = 0.0
        self._sent_at = 0.0
        # When the server began to write the answer, 0 before.
        self._writing_since = 0.0

    def watch_with(self, watched: WatchedRequest) -> None:
        """Take the reason of an abort from ``watched`` from now on."""
        self._watched = watched

    def admit(self, *, has_run: bool) -> Refusal | None:
        """Return a refusal if the request may not run now.

        Called before each send: what is known of the request may have changed while it
        waited, or by its own last run. A request that ``has_run`` is refused without
        the statement that it has not.
        """
        if self.may_run():
            return None
        self._trial_keys = ()
        admitted = admit_suspect(
            self._evidence,
            self._request,
            self._watched,
            has_run=has_run,
        )
        if isinstance(admitted, Refusal):
            if not has_run:
                return admitted
            return admitted._replace(
                status=502, retry_after_s=0.0, outcome=Outcome.UNKNOWN
            )
        if admitted is not None:
            self.is_suspect = True
            self._trial_keys = admitted.keys
            self._probation_s = admitted.probation_s
        return None

    def may_run(self) -> bool:
        """Return whether nothing speaks against the next send; renews a trial."""
        if self._trial_keys and not self._evidence.hold_claimed_run(
            self._trial_keys, CLAIM_LEASE_S
        ):
            return False
        other_keys = set(self._request.evidence_keys) - set(self._trial_keys)
        return not other_keys or isinstance(
            self._evidence.get_status(other_keys), NotSuspected
        )

    def begin_send(self, now: float) -> None:
        """Record that the request is sent to a server."""
        self._sent_at = now
        self._writing_since = 0.0
        if self._trial_keys:
            self._evidence.hold_claimed_run(self._trial_keys, MAX_PROBATION_S)

    def end_trial(self) -> None:
        """Let the other runs of a suspect begin: this one ended, and proves nothing."""
        if self._trial_keys:
            self._evidence.end_run(self._trial_keys)
            self._trial_keys = ()

    def record_lost(
        self, reservation: Reservation, limit: ResponseLimit | None = None
    ) -> None:
        """Record a run whose answer is lost, however the wait for it has ended.

        A server whose answer exceeded a limit has not closed its connection.
        """
        abort_reason = self._watched.abort_reason
        if abort_reason is AbortReason.SERVER_SLOW:
            return
        is_closed = abort_reason is None and limit is None
        run = self._build_lost_run(reservation, is_closed=is_closed)
        self._context.record_lost_run(run, reservation.address)
        if self._trial_keys:
            # Until the server is known to be dead or alive.
            self._evidence.hold_claimed_run(self._trial_keys, CLAIM_SETTLE_S)
            self._trial_keys = ()

    def wait_for_probe(self, reservation: Reservation) -> None:
        """Wait until a server that closed the connection is known to be dead or alive.

        Otherwise a request that crashes its servers is sent on before its first crash
        is known.
        """
        if self._watched.abort_reason is None:
            self._context.crash_prober.wait_for_result(reservation.incarnation)

    def record_completion(
        self, reservation: Reservation, *, status: int, is_framed: bool
    ) -> None:
        """Record a complete answer; a refusal or an error proves no run."""
        if not 200 <= status < 300:
            self.end_trial()
            return
        unframed_run = None
        if not is_framed:
            unframed_run = self._build_lost_run(reservation, is_closed=True)
        self._evidence.record_completion(
            Completion(
                monotonic(),
                self._request.evidence_keys,
                reservation.incarnation,
                self._request.id,
                unframed_run,
            )
        )
        if unframed_run is not None:
            self._context.crash_prober.probe(
                reservation.incarnation, reservation.address
            )

    def _build_lost_run(self, reservation: Reservation, *, is_closed: bool) -> LostRun:
        return LostRun(
            self._request.evidence_keys,
            reservation.incarnation,
            self._sent_at,
            monotonic(),
            is_closed=is_closed,
            is_suspect=self.is_suspect,
            trial_keys=frozenset(self._trial_keys),
        )

    def record_progress(self, now: float) -> None:
        """Clear a suspect that has written for longer than it ran on crashed servers.

        Time in a server's queue or for reading the prompt proves nothing.
        """
        if not self._writing_since:
            self._writing_since = now
        elif self._probation_s and now - self._writing_since > self._probation_s:
            self._probation_s = 0.0
            self._evidence.record_survival(
                self._request.evidence_keys, self._request.id
            )
