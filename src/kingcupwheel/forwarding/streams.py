"""Relays a stream by events and resumes it at another server after a failure."""

from __future__ import annotations

from time import monotonic
from typing import TYPE_CHECKING

from kingcupwheel.entry.answers import BufferedAnswer
from kingcupwheel.entry.exceptions import AnswerTruncatedError
from kingcupwheel.entry.refusals import Refusal
from kingcupwheel.forwarding.exceptions import AnswerLostError
from kingcupwheel.forwarding.failed_send import lost_answer
from kingcupwheel.forwarding.liveness import STALL_THRESHOLD_S
from kingcupwheel.telemetry.json_logs import lines_of


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from kingcupwheel.entry.placement_tickets import Reservation
    from kingcupwheel.forwarding.events import StreamEvent
    from kingcupwheel.forwarding.failed_send import FailedSend
    from kingcupwheel.forwarding.placed_answer import PlacedAnswer
    from kingcupwheel.forwarding.request_state import RequestState

log = lines_of("requests")


class StreamRelay:
    """Relays one stream to its caller; not thread-safe.

    ``send_again`` sends the request to another server after a failure.
    ``abandon_hedge`` ends a hedge in progress.
    """

    def __init__(
        self,
        state: RequestState,
        placed: PlacedAnswer,
        send_again: Callable[
            [Reservation, FailedSend], PlacedAnswer | BufferedAnswer | Refusal
        ],
        abandon_hedge: Callable[[], None],
    ) -> None:
        self._state = state
        self._placed = placed
        self._send_again = send_again
        self._abandon_hedge = abandon_hedge
        self._event_count = 0
        self._byte_count = 0
        self._status = placed.answer.head.status
        self._began_at = monotonic()
        self._last_event_at = 0.0
        self._first_event_s = 0.0
        self._longest_gap_s = 0.0

    def body(self) -> Iterator[bytes]:
        """Yield complete events; raises AnswerTruncatedError if the rest is lost."""
        is_reserved = True
        try:
            while True:
                try:
                    events = self._placed.events.read()
                except AnswerLostError as error:
                    is_reserved = False
                    self._resume_elsewhere(error)
                    is_reserved = True
                    continue
                if events is None:
                    break
                if events:
                    yield self._record_events(events)
            self._record_completion()
        except GeneratorExit:
            last_sign_at = self._last_event_at or self._began_at
            if monotonic() - last_sign_at > STALL_THRESHOLD_S:
                self._state.record_abandoned_stream(self._placed.reservation)
            self._log_finished("caller-left")
            raise
        finally:
            self._abandon_hedge()
            if is_reserved:
                self._state.end_answer(self._placed.reservation, self._placed.answer)

    def _record_events(self, events: list[StreamEvent]) -> bytes:
        for event in events:
            self._state.record_event(event.id)
        raw = b"".join(event.raw for event in events)
        if any(not event.is_empty for event in events):
            self._record_times()
        self._event_count += len(events)
        self._byte_count += len(raw)
        return raw

    def _record_times(self) -> None:
        now = monotonic()
        if self._last_event_at:
            self._longest_gap_s = max(self._longest_gap_s, now - self._last_event_at)
        else:
            self._first_event_s = now - self._state.request.received_at
        self._last_event_at = now
        self._state.record_progress(now)

    def _log_finished(self, how: str, reason: str = "") -> None:
        self._state.log_finished(
            self._status,
            self._byte_count,
            how,
            reason,
            events=self._event_count,
            first_s=round(self._first_event_s, 3),
            longest_gap_s=round(self._longest_gap_s, 3),
        )

    def _record_completion(self) -> None:
        event_interval_s = (monotonic() - self._began_at) / max(1, self._event_count)
        self._state.record_success(
            self._placed.reservation, self._placed.answer.head, event_interval_s
        )
        self._log_finished("whole")

    def _resume_elsewhere(self, error: AnswerLostError) -> None:
        """Resume at another server; raises AnswerTruncatedError if none can."""
        self._state.end_answer(self._placed.reservation, self._placed.answer)
        result = self._send_again(self._placed.reservation, lost_answer(error))
        if not isinstance(result, Refusal | BufferedAnswer):
            log.info(
                "resumed",
                id=self._state.request.id,
                after=self._state.progress.last_event_id,
                server=result.reservation.server,
            )
            self._placed = result
            return
        self._log_finished("cut", str(error))
        raise AnswerTruncatedError(str(error))
