"""Evidence against requests that crash servers, shared by the entries of a fleet."""

from __future__ import annotations

from collections import OrderedDict
from threading import BoundedSemaphore
from threading import Lock
from time import monotonic
from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.decisions.crash_suspects import QUARANTINE_SHARED_CRASHES
from kingcupwheel.decisions.crash_suspects import CrashSuspects
from kingcupwheel.decisions.suspicion_status import Held
from kingcupwheel.decisions.suspicion_status import NotSuspected
from kingcupwheel.decisions.suspicion_status import Quarantined
from kingcupwheel.decisions.suspicion_status import Suspect
from kingcupwheel.decisions.suspicion_status import choose_strictest
from kingcupwheel.decisions.trial_claims import CLAIM_LEASE_S
from kingcupwheel.decisions.trial_claims import settle_time_s
from kingcupwheel.forwarding.crash_attribution import CrashAttribution
from kingcupwheel.forwarding.pending_completions import MAX_PROOF_S
from kingcupwheel.forwarding.pending_completions import PendingCompletions
from kingcupwheel.messages.suspicions import build_suspicion_report
from kingcupwheel.messages.suspicions import read_suspicion_report
from kingcupwheel.telemetry.json_logs import lines_of


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from prometheus_client import Counter

    from kingcupwheel.decisions.suspicion_status import SuspicionStatus
    from kingcupwheel.forwarding.crash_attribution import Attribution
    from kingcupwheel.forwarding.crash_attribution import LostRun
    from kingcupwheel.forwarding.pending_completions import Completion
    from kingcupwheel.messages.membership import SuspicionReport

log = lines_of("suspects")

# Keys in one line; a server runs more requests at once only under load.
_MAX_LOGGED_KEYS = 24
# Enough for a part's prefix and as many digits of its id as other lines show.
_LOGGED_CHARACTERS = 17
# Servers that were probed last.
_MAX_ACCEPTED = 256
# Quarantines shown as metrics; each is a time series of its own.
_MAX_SHOWN_QUARANTINES = 16
# Records in one heartbeat, about 20 kilobytes.
MAX_REPORTS = 256
# Requests that wait for the run of a suspect. Each takes a thread of the entry; more of
# them would keep other callers from being served.
MAX_WAITING = 8


class ClaimedRun(NamedTuple):
    """A claim to run a suspect, which begins after ``settle_s``.

    It survives if it writes its answer for ``probation_s``.
    """

    keys: tuple[str, ...]
    crash_count: int
    probation_s: float
    settle_s: float


ClaimResult = NotSuspected | Held | Quarantined | ClaimedRun


class CrashEvidence:
    """Attributes crashes to requests and decides which may run; thread-safe.

    ``events`` counts by kind what is recorded. ``is_alone`` returns whether no other
    entry may begin a trial.
    """

    def __init__(
        self, owner: str, events: Counter, *, is_alone: Callable[[], bool]
    ) -> None:
        self._suspects = CrashSuspects(owner, shared_crashes=QUARANTINE_SHARED_CRASHES)
        self._attribution = CrashAttribution()
        self._completions = PendingCompletions()
        self._accepted_at: OrderedDict[str, float] = OrderedDict()
        self._events = events
        self._is_alone = is_alone
        self._has_changed = False
        self._waiting = BoundedSemaphore(MAX_WAITING)
        self._lock = Lock()

    def get_status(self, keys: Iterable[str]) -> SuspicionStatus:
        """Return whether a request is clear, a suspect, held or quarantined."""
        with self._lock:
            now = monotonic()
            return choose_strictest(self._suspects.get_status(key, now) for key in keys)

    def claim_run(self, keys: Iterable[str], request_id: str) -> ClaimResult:
        """Return the status; if the request is a suspect, its next run is claimed.

        A claimed run begins with ``begin_claimed_run`` after ``settle_s``.
        """
        with self._lock:
            now = monotonic()
            status_by_key = {key: self._suspects.get_status(key, now) for key in keys}
            status = choose_strictest(status_by_key.values())
            if not isinstance(status, Suspect):
                return status
            claimed = tuple(
                key for key, one in status_by_key.items() if isinstance(one, Suspect)
            )
            for key in claimed:
                self._suspects.claim_run(key, now)
            self._has_changed = True
        self._events.labels("claim").inc()
        log.info(
            "trial-claimed",
            id=request_id,
            keys=shorten_keys(claimed),
            crashes=status.crash_count,
        )
        return ClaimedRun(
            claimed,
            status.crash_count,
            status.probation_s,
            0.0 if self._is_alone() else settle_time_s(claimed),
        )

    def begin_claimed_run(self, claimed: ClaimedRun, request_id: str) -> bool:
        """Begin a claimed run; return False if another entry has claimed it as well."""
        if not self.hold_claimed_run(claimed.keys, CLAIM_LEASE_S):
            self.end_run(claimed.keys)
            return False
        self._events.labels("probation").inc()
        log.info(
            "probation-began",
            id=request_id,
            keys=shorten_keys(claimed.keys),
            crashes=claimed.crash_count,
            for_s=round(claimed.probation_s, 3),
        )
        return True

    def hold_claimed_run(self, keys: Iterable[str], duration_s: float) -> bool:
        """Hold other runs for so long; return False if a claim is no longer valid."""
        with self._lock:
            now = monotonic()
            if not all(self._suspects.is_claimed(key, now) for key in keys):
                return False
            for key in keys:
                self._has_changed |= self._suspects.hold_run(key, now, duration_s)
        return True

    def end_run(self, keys: Iterable[str]) -> None:
        """End the trial of a suspect that has not run on any server."""
        with self._lock:
            for key in keys:
                self._suspects.end_run(key, monotonic())
            self._has_changed = True

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
        if found:
            self._record(run.incarnation, found, cause="ended-before")

    def record_completion(self, completion: Completion) -> None:
        """Record a complete answer; it counts if its server does not end just then."""
        with self._lock:
            self._completions.add(completion)
        if completion.unframed_run is not None:
            self.record_lost_run(completion.unframed_run)

    def settle_completions(self) -> None:
        """Count the completions whose servers have lived on; called several times a s.

        A server that crashes in the last bytes of an answer has not survived it.
        """
        cleared: list[Completion] = []
        with self._lock:
            now = monotonic()
            for completion in self._completions.take_settled(now):
                if self._attribution.has_ended(completion.incarnation):
                    continue
                if completion.unframed_run is not None:
                    if not self._is_proven_alive(completion):
                        if now - completion.completed_at < MAX_PROOF_S:
                            self._completions.add(completion)
                        continue
                    self._attribution.withdraw_lost_run(completion.unframed_run)
                if self._clear(completion.keys, completion.completed_at):
                    cleared.append(completion)
        for completion in cleared:
            self._log_cleared(completion.keys, completion.request_id)

    def record_server_alive(self, incarnation: str) -> None:
        """Record that a server has accepted a connection."""
        with self._lock:
            self._accepted_at[incarnation] = monotonic()
            self._accepted_at.move_to_end(incarnation)
            while len(self._accepted_at) > _MAX_ACCEPTED:
                self._accepted_at.popitem(last=False)

    def _is_proven_alive(self, completion: Completion) -> bool:
        """Return whether the server has accepted a connection since; lock held."""
        accepted_at = self._accepted_at.get(completion.incarnation, 0.0)
        return 0.0 < accepted_at - completion.completed_at < MAX_PROOF_S

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
            for key, run in found:
                self._suspects.record_crash(key, run, now)
            self._has_changed = True
        self._events.labels("crash").inc(len(found))
        log.info(
            "crash-attributed",
            server=incarnation,
            known_from=cause,
            runs=len(found),
            keys=shorten_keys(sorted({one.key for one in found})),
        )

    def record_survival(self, keys: tuple[str, ...], request_id: str) -> None:
        """Clear a request that a server has run for long enough."""
        with self._lock:
            is_cleared = self._clear(keys, monotonic())
        if is_cleared:
            self._log_cleared(keys, request_id)

    def _clear(self, keys: Iterable[str], succeeded_at: float) -> bool:
        """Return whether a key was suspected until now; the lock is held."""
        now = monotonic()
        cleared = [
            self._suspects.record_success(key, succeeded_at, now) for key in keys
        ]
        self._has_changed |= any(cleared)
        return any(cleared)

    def _log_cleared(self, keys: Iterable[str], request_id: str) -> None:
        self._events.labels("cleared").inc()
        log.info("suspicion-cleared", id=request_id, keys=shorten_keys(keys))

    def take_changed(self) -> bool:
        """Return whether something has changed since the last call."""
        with self._lock:
            changed, self._has_changed = self._has_changed, False
        return changed

    def list_quarantined(self) -> dict[str, float]:
        """Return the seconds left by key, of the quarantines that changed last."""
        with self._lock:
            return self._suspects.list_quarantined(
                monotonic(), limit=_MAX_SHOWN_QUARANTINES
            )

    def list_reports(self, changed_since: float) -> tuple[SuspicionReport, ...]:
        """Return what has changed since then (monotonic), to report to a peer."""
        with self._lock:
            now = monotonic()
            records = self._suspects.list_changed(changed_since, limit=MAX_REPORTS)
        return tuple(build_suspicion_report(record, now) for record in records)

    def record_reports(
        self, peer: str, reports: Iterable[SuspicionReport], max_transit_s: float
    ) -> None:
        """Record what a peer reports, written at most ``max_transit_s`` ago."""
        now = monotonic()
        for report in reports:
            record = read_suspicion_report(report, now, max_transit_s)
            with self._lock:
                before = self._suspects.get_status(report.key, now)
                is_new = self._suspects.merge(record, now)
                after = self._suspects.get_status(report.key, now)
            if is_new:
                self._events.labels("peer-crash").inc()
                log.info(
                    "crash-reported",
                    peer=peer,
                    keys=shorten_keys([report.key]),
                    crashes=len(report.runs),
                )
            if isinstance(after, NotSuspected) and not isinstance(before, NotSuspected):
                self._events.labels("cleared").inc()
                log.info(
                    "suspicion-cleared",
                    peer=peer,
                    keys=shorten_keys([report.key]),
                )


def shorten_keys(keys: Iterable[str]) -> list[str]:
    """Return keys as log lines show them."""
    return [key[:_LOGGED_CHARACTERS] for key in keys][:_MAX_LOGGED_KEYS]
