"""Waits, when an entry stops as planned, until its requests are answered."""

from __future__ import annotations

from threading import Event
from time import monotonic
from typing import TYPE_CHECKING

from kingcupwheel.telemetry.json_logs import lines_of


if TYPE_CHECKING:
    from kingcupwheel.decisions.stopping import Stopping
    from kingcupwheel.entry.gateway import HttpServer
    from kingcupwheel.forwarding.application import ForwardApplication

log = lines_of("requests")

_POLL_INTERVAL_S = 0.05
# How long a stop waits for the last bytes of answers: a caller that has connected and
# sends nothing must not hold it up.
_FLUSH_TIMEOUT_S = 0.5


class GracefulShutdown:
    """One stop of the ``application`` behind the HTTP server ``callers`` use."""

    def __init__(
        self,
        stopping: Stopping,
        application: ForwardApplication,
        http_server: HttpServer,
    ) -> None:
        self._stopping = stopping
        self._application = application
        self._http_server = http_server

    def wait(self) -> int:
        """Return once the process may end; log and count the requests that it cuts."""
        while monotonic() < self._stopping.stays_until:
            Event().wait(_POLL_INTERVAL_S)
        self._wait_for_answers()
        # A request may have come since nothing was in progress; it is answered too.
        self._application.refuse_new_requests()
        self._wait_for_answers()
        self._wait_for_flush()
        return self._log_cut()

    def _wait_for_answers(self) -> None:
        while self._application.in_progress and monotonic() < self._stopping.ends_at:
            Event().wait(_POLL_INTERVAL_S)

    def _wait_for_flush(self) -> None:
        """Wait until the HTTP server has written what the application is done with.

        Failure: the process ends between the last event of a stream and the mark that
        ends it. Symptom: the caller has it all and must take it for cut.
        """
        until = min(monotonic() + _FLUSH_TIMEOUT_S, self._stopping.ends_at)
        while not self._http_server.is_idle and monotonic() < until:
            Event().wait(_POLL_INTERVAL_S)

    def _log_cut(self) -> int:
        """Log requests that the end of the process cuts; their threads can't any more.

        ``came_after_s`` counts from the signal to stop, negative before it.
        """
        now = monotonic()
        came_at_by_id = self._application.received_at_by_id
        for request_id, came_at in came_at_by_id.items():
            log.warning(
                "cut-by-stop",
                id=request_id,
                came_after_s=round(came_at - self._stopping.began_at, 3),
                took_s=round(now - came_at, 3),
            )
        return len(came_at_by_id)
