"""Decides whether another server is sought while the current one is late."""

from __future__ import annotations

from time import monotonic
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from kingcupwheel.entry.placement_tickets import Reservation
    from kingcupwheel.forwarding.context import ForwardContext
    from kingcupwheel.forwarding.request_progress import RequestProgress
    from kingcupwheel.forwarding.requests import ForwardRequest


class LateServerPolicy:
    """The conditions for a further send of one request, and its retry; not thread-safe.

    A retry of the shared budget is reserved before the send, and kept until it is
    consumed.
    """

    def __init__(
        self,
        context: ForwardContext,
        request: ForwardRequest,
        progress: RequestProgress,
    ) -> None:
        self._context = context
        self._request = request
        self._progress = progress
        self.has_reserved_retry = False

    def may_leave_silent(
        self,
        reservation: Reservation,
        *,
        has_answer_begun: bool,
        is_sending_partial_data: bool,
    ) -> bool:
        """Return whether another server is to get the request of a silent one.

        Called once the silence timeout has passed. A server may be silent because its
        whole group of ranks stalls, or because all callers retry at once after a power
        outage and first events take seconds everywhere. Another server is then as late,
        and a retry only adds to its load. One that ``is_sending_partial_data`` is not
        stalled: it sends bytes that complete nothing.
        """
        context, service = self._context, self._request.service
        now = monotonic()
        if self._request.route.is_streamed and not is_sending_partial_data:
            if not context.liveness.for_service(service).is_other_server_active(
                reservation.server, now
            ):
                return False
            if not has_answer_begun and context.server_registry.is_reported_full(
                reservation, now
            ):
                return False
        return self.may_leave_slow(reservation)

    def may_leave_slow(self, reservation: Reservation) -> bool:
        """Return whether another server is to get the stream of a slow one."""
        now = monotonic()
        progress, service = self._progress, self._request.service
        dispatcher = self._context.dispatchers.get(self._context.group_of(service))
        return (
            progress.may_send_again(now)
            and dispatcher.may_place_before(
                progress.next_byte_deadline_at(now),
                progress.tried_servers | {reservation.server},
            )
            and self._reserve_retry()
        )

    def _reserve_retry(self) -> bool:
        self.has_reserved_retry = (
            self.has_reserved_retry
            or self._context.retry_guards.consume_retry(self._request.service)
        )
        return self.has_reserved_retry

    def consume_retry(self) -> bool:
        """Consume the reserved retry or one of the budget; return if there was one."""
        reserved, self.has_reserved_retry = self.has_reserved_retry, False
        return reserved or self._context.retry_guards.consume_retry(
            self._request.service
        )
