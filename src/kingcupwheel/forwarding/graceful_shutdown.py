"""Waits during a planned stop until the requests in progress are answered."""

from __future__ import annotations

from threading import Event
from time import monotonic
from typing import TYPE_CHECKING

from kingcupwheel.telemetry.json_logs import lines_of


if TYPE_CHECKING:
    from kingcupwheel.decisions.shutdown_schedule import ShutdownSchedule
    from kingcupwheel.entry.http_server import HttpServer
    from kingcupwheel.forwarding.application import ForwardApplication

log = lines_of("requests")

_POLL_INTERVAL_S = 0.05
# Bounds the wait for the last bytes of answers: a caller that has connected and sends
# nothing must not delay the stop.
_FLUSH_TIMEOUT_S = 0.5


class GracefulShutdown:
    """One planned stop of the application behind the callers' HTTP server."""

    def __init__(
        self,
        schedule: ShutdownSchedule,
        application: ForwardApplication,
        http_server: HttpServer,
    ) -> None:
        self._schedule = schedule
        self._application = application
        self._http_server = http_server

    def wait(self) -> int:
        """Wait until the process may end; return the number of aborted requests."""
        while monotonic() < self._schedule.earliest_exit_at:
            Event().wait(_POLL_INTERVAL_S)
        self._wait_for_answers()
        # A request may have arrived in the meantime; it is answered too.
        self._application.refuse_new_requests()
        self._wait_for_answers()
        self._wait_for_flush()
        return self._log_aborted()

    def close(self) -> None:
        """Read nothing more; return once what was read is answered.

        Failure: a request is read just before the process ends. Symptom: its connection
        ends without a complete answer, late if the process has many threads to end. A
        request that was not read may be sent again.
        """
        self._http_server.stop_reading()
        self._wait_for_flush()

    def _wait_for_answers(self) -> None:
        while (
            self._application.in_progress_count
            and monotonic() < self._schedule.latest_exit_at
        ):
            Event().wait(_POLL_INTERVAL_S)

    def _wait_for_flush(self) -> None:
        """Wait until the HTTP server has written what the application returned.

        Failure: the process ends between the last event of a stream and its terminating
        chunk. Symptom: the caller has every event but must treat the stream as aborted.
        """
        until = min(monotonic() + _FLUSH_TIMEOUT_S, self._schedule.latest_exit_at)
        while not self._http_server.is_idle and monotonic() < until:
            Event().wait(_POLL_INTERVAL_S)

    def _log_aborted(self) -> int:
        """Log the requests that the end of the process aborts and return their number.

        Their own threads can't log any more. ``came_after_s`` counts from the signal to
        stop and is negative before it.
        """
        now = monotonic()
        received_at_by_id = self._application.received_at_by_id
        for request_id, arrived_at in received_at_by_id.items():
            log.warning(
                "cut-by-stop",
                id=request_id,
                came_after_s=round(arrived_at - self._schedule.started_at, 3),
                took_s=round(now - arrived_at, 3),
            )
        return len(received_at_by_id)
