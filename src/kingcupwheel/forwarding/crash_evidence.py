"""Evidence against requests that crash servers, shared by the entries of a fleet."""

from __future__ import annotations

from threading import BoundedSemaphore
from threading import Lock
from time import monotonic
from typing import TYPE_CHECKING

from kingcupwheel.decisions.crash_suspects import QUARANTINE_SHARED_CRASHES
from kingcupwheel.decisions.crash_suspects import CrashSuspects
from kingcupwheel.decisions.crash_suspects import NotSuspected
from kingcupwheel.decisions.crash_suspects import Suspect
from kingcupwheel.forwarding.crash_attribution import CrashAttribution
from kingcupwheel.messages.suspicions import build_suspicion_report
from kingcupwheel.messages.suspicions import read_suspicion_report
from kingcupwheel.telemetry.json_logs import lines_of


if TYPE_CHECKING:
    from collections.abc import Iterable

    from prometheus_client import Counter

    from kingcupwheel.decisions.crash_suspects import SuspicionStatus
    from kingcupwheel.forwarding.crash_attribution import Attribution
    from kingcupwheel.forwarding.crash_attribution import LostRun
    from kingcupwheel.messages.membership import SuspicionReport

log = lines_of("suspects")

# Fingerprints in one line; a server runs more requests at once only under load.
_MAX_LOGGED_FINGERPRINTS = 16
_LOGGED_DIGITS = 12
# Records in one heartbeat, about 20 kilobytes.
MAX_REPORTS = 256
# Requests that wait for the run of a suspect. Each takes a thread of the entry; more of
# them would keep other callers from being served.
MAX_WAITING = 8


class CrashEvidence:
    """Attributes crashes to requests and decides which may run; thread-safe.

    ``events`` counts by kind what is recorded.
    """

    def __init__(self, owner: str, events: Counter) -> None:
        self._suspects = CrashSuspects(owner, shared_crashes=QUARANTINE_SHARED_CRASHES)
        self._attribution = CrashAttribution()
        self._events = events
        self._has_changed = False
        self._waiting = BoundedSemaphore(MAX_WAITING)
        self._lock = Lock()

    def get_status(self, fingerprint: str) -> SuspicionStatus:
        """Return whether a request is clear, a suspect, held or quarantined."""
        with self._lock:
            return self._suspects.get_status(fingerprint, monotonic())

    def begin_run(self, fingerprint: str, request_id: str) -> SuspicionStatus:
        """Return the status; if the request is a suspect, its other runs are held."""
        with self._lock:
            status = self._suspects.begin_run(fingerprint, monotonic())
            self._has_changed |= isinstance(status, Suspect)
        if isinstance(status, Suspect):
            self._events.labels("probation").inc()
            log.info(
                "probation-began",
                id=request_id,
                fingerprint=fingerprint[:_LOGGED_DIGITS],
                crashes=status.crash_count,
                for_s=round(status.probation_s, 3),
            )
        return status

    def end_run(self, fingerprint: str) -> None:
        """End the probation of a suspect that has not run on any server."""
        with self._lock:
            self._suspects.end_run(fingerprint, monotonic())

    def try_begin_wait(self) -> bool:
        """Return whether one more request may wait for a suspect's run."""
        return self._waiting.acquire(blocking=False)

    def end_wait(self) -> None:
        """Record that a request waits no longer."""
        self._waiting.release()

    def record_lost_run(self, run: LostRun) -> None:
        """Record a lost run; its request may have crashed the server."""
        with self._lock:
            found = self._attribution.record_lost_run(run)
        if found is not None:
            self._record(run.incarnation, [found], cause="ended-before")

    def record_leaving(self, incarnation: str) -> None:
        """Record that a server has announced that it leaves."""
        with self._lock:
            self._attribution.record_leaving(incarnation, monotonic())

    def record_server_end(self, incarnation: str, *, cause: str) -> None:
        """Attribute a server's end to the runs that were lost with it.

        Only ends that are known count: a lost answer of a server that is still alive is
        no evidence against its request. ``cause`` is logged.
        """
        with self._lock:
            found = self._attribution.record_server_end(incarnation, monotonic())
        if found:
            self._record(incarnation, found, cause=cause)

    def _record(
        self, incarnation: str, found: list[Attribution], *, cause: str
    ) -> None:
        now = monotonic()
        with self._lock:
            for fingerprint, run in found:
                self._suspects.record_crash(fingerprint, run, now)
            self._has_changed = True
        self._events.labels("crash").inc(len(found))
        log.info(
            "crash-attributed",
            server=incarnation,
            known_from=cause,
            requests=len(found),
            fingerprints=sorted({one.fingerprint[:_LOGGED_DIGITS] for one in found})[
                :_MAX_LOGGED_FINGERPRINTS
            ],
        )

    def record_success(self, fingerprint: str, request_id: str) -> None:
        """Clear a request that a server has completed, or run for long enough."""
        with self._lock:
            now = monotonic()
            is_cleared = self._suspects.record_success(fingerprint, now, now)
            self._has_changed |= is_cleared
        if is_cleared:
            self._events.labels("cleared").inc()
            log.info(
                "suspicion-cleared",
                id=request_id,
                fingerprint=fingerprint[:_LOGGED_DIGITS],
            )

    def take_changed(self) -> bool:
        """Return whether something has changed since the last call."""
        with self._lock:
            changed, self._has_changed = self._has_changed, False
        return changed

    def list_reports(self, changed_within_s: float) -> tuple[SuspicionReport, ...]:
        """Return what has changed within that time, to report to a peer."""
        with self._lock:
            now = monotonic()
            records = self._suspects.list_changed(
                now - changed_within_s, limit=MAX_REPORTS
            )
        return tuple(build_suspicion_report(record, now) for record in records)

    def record_reports(
        self, peer: str, reports: Iterable[SuspicionReport], max_transit_s: float
    ) -> None:
        """Record what a peer reports, written at most ``max_transit_s`` ago."""
        now = monotonic()
        for report in reports:
            record = read_suspicion_report(report, now, max_transit_s)
            with self._lock:
                before = self._suspects.get_status(report.fingerprint, now)
                is_new = self._suspects.merge(record, now)
                after = self._suspects.get_status(report.fingerprint, now)
            if is_new:
                self._events.labels("peer-crash").inc()
                log.info(
                    "crash-reported",
                    peer=peer,
                    fingerprint=report.fingerprint[:_LOGGED_DIGITS],
                    crashes=len(report.runs),
                )
            if isinstance(after, NotSuspected) and not isinstance(before, NotSuspected):
                self._events.labels("cleared").inc()
                log.info(
                    "suspicion-cleared",
                    peer=peer,
                    fingerprint=report.fingerprint[:_LOGGED_DIGITS],
                )
