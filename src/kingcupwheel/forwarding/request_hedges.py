"""Hedges of one request: a second send while its server is late."""

from __future__ import annotations

from functools import partial
from time import monotonic
from typing import TYPE_CHECKING

from kingcupwheel.forwarding.hedging import Hedge
from kingcupwheel.forwarding.hedging import Hedging
from kingcupwheel.forwarding.outcomes import AttemptCounts
from kingcupwheel.forwarding.placed_answer import PlacedAnswer
from kingcupwheel.forwarding.watchdog import AbortReason


if TYPE_CHECKING:
    from collections.abc import Callable

    from kingcupwheel.entry.answers import BufferedAnswer
    from kingcupwheel.entry.placement_tickets import Reservation
    from kingcupwheel.forwarding.request_state import RequestState


class RequestHedges:
    """Begins hedges of one request and takes over their answers; not thread-safe.

    ``send_hedge`` sends one until its answer has begun and is used; it returns None if
    there is none.
    """

    def __init__(
        self,
        state: RequestState,
        send_hedge: Callable[[RequestState], PlacedAnswer | BufferedAnswer | None],
    ) -> None:
        self._state = state
        self._send_hedge = send_hedge
        self._hedging = Hedging(state.watched, self._join_unused_hedge)

    def use_first(self) -> bool:
        """Return whether data of the first server is used; ends a hedge if so."""
        return self._hedging.use_first()

    def take(self) -> Hedge | None:
        """Return the hedge in progress, which is the caller's from now on."""
        return self._hedging.take()

    def prepare_watch(self, reservation: Reservation) -> float:
        """Tell the watchdog what to do about a late server; return the silence limit.

        It is infinite if no other server may get the request.
        """
        is_retry_allowed = self._state.progress.may_send_again(monotonic())
        self._state.watched.is_resumable_elsewhere = (
            is_retry_allowed and self._state.request.route.is_resumable
        )
        if not self._state.is_hedge:
            self._state.watched.leave_slow_server = partial(
                self._leave_slow, reservation
            )
        if not is_retry_allowed:
            return float("inf")
        return self._state.request.deadlines.silence_timeout_s

    def leave_silent(self, reservation: Reservation) -> bool:
        """Return whether the read from a silent server is aborted.

        The request's own send is not: its server may be sound, so it is kept until a
        hedge is answered.
        """
        may_leave = partial(
            self._state.late_servers.may_leave_silent,
            reservation,
            has_answer_begun=self._state.has_answer_begun,
            is_sending_partial_data=self._state.watched.is_sending_partial_data(
                monotonic()
            ),
        )
        if self._state.is_hedge:
            return may_leave()
        self._hedging.begin(
            lambda: self._state.watched.is_server_silent(monotonic()) and may_leave(),
            partial(self._create_hedge, reservation, AbortReason.SERVER_SILENT),
        )
        return False

    def _leave_slow(self, reservation: Reservation) -> bool:
        """Begin a hedge of a stream on a slow server; return whether one has begun."""
        return self._hedging.begin(
            partial(self._state.late_servers.may_leave_slow, reservation),
            partial(self._create_hedge, reservation, AbortReason.SERVER_SLOW),
        )

    def _create_hedge(self, reservation: Reservation, reason: AbortReason) -> Hedge:
        """Return a hedge that goes on where this request is now."""
        is_silent = (
            reason is AbortReason.SERVER_SILENT
            and not self._state.watched.is_sending_partial_data(monotonic())
        )
        if is_silent and not self._state.is_silence_recorded:
            self._state.is_silence_recorded = True
            self._state.dispatcher.record_failure(reservation)
        # The reserved retry is that of the hedge.
        self._state.late_servers.has_reserved_retry = False
        forked = self._state.fork(reservation.server)
        hedge = Hedge(
            reason,
            forked,
            partial(self._send_hedge, forked),
            partial(self._state.watched.abort, reason),
        )
        forked.claim_answer = hedge.claim
        self._state.context.watchdog.watch(forked.watched)
        self._state.log.hedge_began(
            reservation, reason.value, self._state.progress.last_event_id
        )
        return hedge

    def wait_for(self, hedge: Hedge) -> PlacedAnswer | BufferedAnswer | None:
        """Return the answer of a hedge once it has begun, None if it gets none."""
        if self._state.watched.is_over and hedge.withdraw():
            return None
        answer = hedge.wait()
        if answer is None:
            self._join_unused_hedge(hedge)
            return None
        forked = hedge.state
        self._state.progress.join(forked.progress, is_used=True)
        self._state.sent_at = forked.sent_at
        self._state.evidence = forked.evidence
        self._state.evidence.watch_with(self._state.watched)
        if isinstance(answer, PlacedAnswer):
            self._read_hedge(answer)
            forked.stop_watching()
        return answer

    def _read_hedge(self, placed: PlacedAnswer) -> None:
        """Read the answer of a hedge as that of the request's own send."""
        self._state.has_answer_begun = self._state.progress.is_sending = True
        self._state.is_silence_recorded = False
        reservation = placed.reservation
        placed.answer.may_use = self._hedging.use_first
        placed.answer.watch_with(
            self._state.watched,
            self.prepare_watch(reservation),
            reservation.server,
            partial(self.leave_silent, reservation),
        )

    def _join_unused_hedge(self, hedge: Hedge) -> None:
        """Count the sends of a hedge whose answer is not used."""
        state, forked = self._state, hedge.state
        state.progress.join(forked.progress, is_used=False)
        state.server_error = state.server_error or forked.server_error
        # The retry is still available if no server got the hedge.
        is_unsent = forked.progress.own_counts == AttemptCounts()
        state.late_servers.has_reserved_retry = is_unsent

    def abandon(self) -> None:
        """End a hedge whose answer will not be read."""
        hedge = self._hedging.take()
        if hedge is not None:
            self.end(hedge)

    def end(self, hedge: Hedge) -> None:
        """End a hedge; release its server, also if its answer has been claimed."""
        if hedge.withdraw():
            return
        answer = hedge.wait()
        if isinstance(answer, PlacedAnswer):
            hedge.state.end_answer(answer.reservation, answer.answer)
            hedge.state.stop_watching()
