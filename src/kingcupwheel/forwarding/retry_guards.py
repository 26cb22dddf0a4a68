"""Guards for retries: the shared budget, crash suspects and closed services."""

from __future__ import annotations

from collections import deque
from threading import Lock
from time import monotonic
from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.decisions.crash_suspects import CrashSuspects
from kingcupwheel.decisions.crash_suspects import NotSuspected
from kingcupwheel.decisions.crash_suspects import Quarantined
from kingcupwheel.decisions.crash_suspects import ServerIncarnation
from kingcupwheel.decisions.crash_suspects import Suspect
from kingcupwheel.decisions.hashing import stable_fraction
from kingcupwheel.decisions.retry_budget import SlidingWindowRetryBudget
from kingcupwheel.forwarding.closed_services import ClosedServiceDetector
from kingcupwheel.telemetry.json_logs import lines_of


if TYPE_CHECKING:
    from collections.abc import Callable

log = lines_of("suspects")

# Time after a lost answer within which the crash of its server is attributed to the
# request. A platform lists a dead server until it has missed three heartbeats.
CRASH_DETECTION_S = 8.0
# Lost answers kept for CRASH_DETECTION_S.
_MAX_LOST_ANSWERS = 512
# Fingerprints in one line; a server runs more requests at once only under load.
_MAX_LOGGED_FINGERPRINTS = 16
# Fraction of the fleet's budget that the entries use together. If all of them are
# killed at once, they forget their retries, and one window then contains the retries of
# two incarnations.
_ENTRY_BUDGET_FRACTION = 0.5


class RetryBudgetLimits(NamedTuple):
    """Retries that the fleet may send for each service in any window.

    It is the fraction ``share`` of the service's requests, and ``floor`` in addition.
    """

    share: float
    floor: float
    window_s: float


class RetryGuards:
    """Decides on retries; thread-safe.

    ``count_entries`` returns the number of entries that share the budget.
    """

    def __init__(
        self, budget_limits: RetryBudgetLimits, count_entries: Callable[[], int]
    ) -> None:
        self._budget_limits = budget_limits
        self._count_entries = count_entries
        self._suspects = CrashSuspects()
        self._lost_answers: deque[tuple[float, str, str]] = deque(
            maxlen=_MAX_LOST_ANSWERS
        )
        self._budgets_by_service: dict[str, SlidingWindowRetryBudget] = {}
        self._closed_detectors_by_service: dict[str, ClosedServiceDetector] = {}
        self._lock = Lock()

    def quarantine_verdict(self, fingerprint: str) -> Quarantined | Suspect | None:
        """Return whether a request is quarantined or suspect, None if neither."""
        if not fingerprint:
            return None
        with self._lock:
            verdict = self._suspects.get_status(fingerprint, monotonic())
        return verdict if isinstance(verdict, Quarantined | Suspect) else None

    def record_lost_answer(self, fingerprint: str, incarnation: str) -> None:
        """Record a lost answer; its request may have crashed the server."""
        if fingerprint:
            with self._lock:
                self._lost_answers.append((monotonic(), fingerprint, incarnation))

    def record_server_crash(self, incarnation: str) -> tuple[str, ...]:
        """Attribute a server's crash to its lost answers; return their fingerprints.

        Only observed crashes count: a lost answer of a server that is still alive is no
        evidence against its request.
        """
        with self._lock:
            now = monotonic()
            crash_id = ServerIncarnation(incarnation, incarnation).crash_id
            blamed = tuple(
                fingerprint
                for at, fingerprint, server in self._lost_answers
                if server == incarnation and now - at < CRASH_DETECTION_S
            )
            for fingerprint in blamed:
                self._suspects.record_crash_id(fingerprint, crash_id, now)
        log.info(
            "crash-attributed",
            server=incarnation,
            requests=len(blamed),
            fingerprints=[one[:12] for one in blamed[:_MAX_LOGGED_FINGERPRINTS]],
        )
        return blamed

    def clear_suspicion(self, fingerprint: str, request_id: str) -> None:
        """Clear a request that a server has answered completely."""
        if not fingerprint:
            return
        with self._lock:
            status = self._suspects.get_status(fingerprint, monotonic())
            self._suspects.clear(fingerprint)
        if not isinstance(status, NotSuspected):
            log.info("suspicion-cleared", id=request_id, fingerprint=fingerprint[:12])

    def record_peer_crashes(self, crashes: tuple[tuple[str, int], ...]) -> None:
        """Record crashes that a peer reports."""
        with self._lock:
            now = monotonic()
            for fingerprint, crash_id in crashes:
                self._suspects.record_crash_id(fingerprint, crash_id, now)

    @property
    def recent_crashes(self) -> tuple[tuple[str, int], ...]:
        """Recent crashes, which are reported to peers."""
        with self._lock:
            return self._suspects.list_recent_crashes(monotonic())

    def count_first_attempt(self, service: str) -> None:
        """Count the first send of a request."""
        with self._lock:
            self._budget_of(service).record_first_attempt(monotonic())

    def consume_retry(self, service: str) -> bool:
        """Return whether the budget allows a retry, and count it if so."""
        with self._lock:
            return self._budget_of(service).try_acquire(
                monotonic(),
                share=self._budget_limits.share * _ENTRY_BUDGET_FRACTION,
                floor=self._budget_limits.floor
                * _ENTRY_BUDGET_FRACTION
                / max(1, self._count_entries()),
            )

    def record_rejection(self, service: str, server: str, *, idle_s: float) -> bool:
        """Record a rejection; return whether the whole service rejects requests."""
        with self._lock:
            detector = self._closed_detectors_by_service.setdefault(
                service, ClosedServiceDetector()
            )
            return detector.record_rejection(server, idle_s=idle_s, now=monotonic())

    def _budget_of(self, service: str) -> SlidingWindowRetryBudget:
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = SlidingWindowRetryBudget(window_s=self._budget_limits.window_s)
            self._budgets_by_service[service] = budget
        return budget


def with_jitter(base_s: float, request_id: str) -> float:
    """Return a retry delay with jitter, so that callers don't retry all at once."""
    return base_s * (1.0 + 0.5 * stable_fraction(request_id))
