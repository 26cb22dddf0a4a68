"""Log lines and metrics of one request while it is forwarded."""

from __future__ import annotations

from time import monotonic
from typing import TYPE_CHECKING

from kingcupwheel.telemetry.json_logs import lines_of


if TYPE_CHECKING:
    from kingcupwheel.entry.placement_tickets import Reservation
    from kingcupwheel.forwarding.failed_send import FailedSend
    from kingcupwheel.forwarding.outcomes import AttemptCounts
    from kingcupwheel.forwarding.requests import ForwardRequest
    from kingcupwheel.telemetry.metrics import EntryMetrics

log = lines_of("requests")

# Digits of a fingerprint or a part's id in a log line.
_LOGGED_DIGITS = 12


class RequestLog:
    """Logs and counts what becomes of one request."""

    def __init__(self, metrics: EntryMetrics, request: ForwardRequest) -> None:
        self._metrics = metrics
        self._request = request

    def placed(self, reservation: Reservation, counts: AttemptCounts) -> None:
        """Log a reservation, after the sends in ``counts``."""
        request = self._request
        self._metrics.queue_wait_seconds.observe(reservation.waited_s)
        if reservation.permit_expires_at is not None:
            self._metrics.limited_sends.labels("placed").inc()
        log.info(
            "placed",
            id=request.id,
            server=reservation.server,
            why=reservation.decision.reason,
            weighed=[list(one) for one in reservation.decision.alternatives],
            waited_s=round(reservation.waited_s, 3),
            limited=reservation.permit_expires_at is not None,
            send=counts.possibly_run + counts.rejected + 1,
            version=request.version,
            version_age_s=round(request.version_age_s, 2),
            fingerprint=request.fingerprint[:_LOGGED_DIGITS],
            parts=[part[:_LOGGED_DIGITS] for part in request.head.prompt_parts],
        )

    def withheld(self, reservation: Reservation) -> None:
        """Log that nothing was sent, since the server may get no requests any more."""
        self._metrics.ended_sends.labels("withheld").inc()
        log.info("send-withheld", id=self._request.id, server=reservation.incarnation)

    def send_ended(
        self,
        reservation: Reservation,
        failure: FailedSend,
        counts: AttemptCounts,
        **details: object,
    ) -> None:
        """Log a send without an answer that is used; ``counts`` includes it."""
        request = self._request
        notice, limit = failure.notice, failure.limit
        self._metrics.ended_sends.labels(failure.outcome.value).inc()
        if limit is not None:
            self._metrics.record_response_limit("server", limit)
        log.info(
            "send-ended",
            id=request.id,
            server=reservation.server,
            came=failure.outcome.value,
            why=failure.reason,
            limit=None if limit is None else limit.value,
            rest_s=notice.backoff_s,
            leaving=notice.is_leaving,
            limit_per_s=notice.rate_limit,
            fingerprint=request.fingerprint[:_LOGGED_DIGITS],
            ran=counts.possibly_run,
            turned_away=counts.rejected,
            **details,
        )

    def hedge_began(
        self, reservation: Reservation, reason: str, last_event_id: str
    ) -> None:
        """Log that another server is sought while this one is kept."""
        log.info(
            "hedged",
            id=self._request.id,
            server=reservation.server,
            why=reason,
            after=last_event_id,
        )

    def hedge_ended(self, result: str, reason: str, took_s: float) -> None:
        """Log how a hedge ended: ``used``, ``withdrawn`` or ``failed``."""
        self._metrics.hedges.labels(result).inc()
        log.info(
            "hedge-ended",
            id=self._request.id,
            result=result,
            why=reason,
            took_s=round(took_s, 3),
        )

    def finished(
        self,
        status: int,
        body_bytes: int,
        how: str,
        reason: str,
        counts: AttemptCounts,
        **times: object,
    ) -> None:
        """Log and count the result that the caller gets."""
        request = self._request
        took_s = monotonic() - request.received_at
        self._metrics.record_answer(request.service, status, how, took_s)
        log.info(
            "finished",
            id=request.id,
            status=status,
            how=how,
            why=reason,
            bytes=body_bytes,
            took_s=round(took_s, 3),
            ran=counts.possibly_run,
            route=request.route.name,
            organisation=request.organisation,
            version=request.version,
            **times,
        )
