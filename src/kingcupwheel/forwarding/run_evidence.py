"""Evidence for and against one request while it is forwarded."""

from __future__ import annotations

from time import monotonic
from typing import TYPE_CHECKING

from kingcupwheel.decisions.crash_suspects import Quarantined
from kingcupwheel.entry.refusals import Refusal
from kingcupwheel.forwarding.crash_attribution import LostRun
from kingcupwheel.forwarding.suspect_admission import admit_suspect
from kingcupwheel.forwarding.suspect_admission import quarantine_refusal
from kingcupwheel.forwarding.watchdog import AbortReason
from kingcupwheel.messages.attempts import Outcome


if TYPE_CHECKING:
    from kingcupwheel.entry.placement_tickets import Reservation
    from kingcupwheel.forwarding.context import ForwardContext
    from kingcupwheel.forwarding.requests import ForwardRequest
    from kingcupwheel.forwarding.watchdog import WatchedRequest


class RunEvidence:
    """Records how the runs of one request end; not thread-safe.

    ``is_suspect`` tells that it ran on a server that crashed and has not completed
    since.
    """

    def __init__(
        self, context: ForwardContext, request: ForwardRequest, watched: WatchedRequest
    ) -> None:
        self._context = context
        self._evidence = context.crash_evidence
        self._request = request
        self._watched = watched
        self.is_suspect = False
        # Time after which a suspect's run counts as survived, 0 if it is none.
        self._probation_s = 0.0
        self._sent_at = 0.0

    def admit(self) -> Refusal | None:
        """Return a refusal if the request may not run now."""
        admitted = admit_suspect(self._evidence, self._request, self._watched)
        if isinstance(admitted, Refusal):
            return admitted
        if admitted is not None:
            self.is_suspect = True
            self._probation_s = admitted.probation_s
        return None

    def refuse_quarantined_retry(self) -> Refusal | None:
        """Refuse to send a request again that is quarantined since its first send."""
        status = self._evidence.get_status(self._request.fingerprint)
        if not isinstance(status, Quarantined):
            return None
        return quarantine_refusal(status, self._request.id)._replace(
            status=502, retry_after_s=0.0, outcome=Outcome.UNKNOWN
        )

    def begin_send(self, now: float) -> None:
        """Record that the request is sent to a server."""
        self._sent_at = now

    def end_unsent(self) -> None:
        """Let the other runs of a suspect begin, since this one has not run."""
        if self.is_suspect:
            self._evidence.end_run(self._request.fingerprint)

    def record_lost(self, reservation: Reservation) -> None:
        """Record a run whose answer is lost, however the wait for it has ended."""
        abort_reason = self._watched.abort_reason
        if abort_reason is AbortReason.SERVER_SLOW:
            return
        run = LostRun(
            self._request.fingerprint,
            reservation.incarnation,
            self._sent_at,
            monotonic(),
            is_closed=abort_reason is None,
            is_suspect=self.is_suspect,
        )
        self._context.record_lost_run(run, reservation.address)

    def record_survival(self) -> None:
        """Record that a server has run the request and is alive."""
        self._probation_s = 0.0
        self._evidence.record_success(self._request.fingerprint, self._request.id)

    def record_progress(self, now: float) -> None:
        """Clear a suspect that has run for longer than on the servers that ended."""
        if self._probation_s and now - self._sent_at > self._probation_s:
            self.record_survival()
