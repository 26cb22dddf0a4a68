"""What bounds further sends: the shared budget, requests that crash, closed groups."""

from __future__ import annotations

from collections import deque
from threading import Lock
from time import monotonic
from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.decisions.crash_suspects import CrashSuspects
from kingcupwheel.decisions.crash_suspects import Quarantined
from kingcupwheel.decisions.crash_suspects import ServerIncarnation
from kingcupwheel.decisions.crash_suspects import Suspect
from kingcupwheel.decisions.hashing import stable_fraction
from kingcupwheel.decisions.retry_budget import SlidingWindowRetryBudget
from kingcupwheel.forwarding.closures import Closures


if TYPE_CHECKING:
    from collections.abc import Callable

# How long after a lost answer its server may be found gone, in seconds: a platform
# lists a dead server until it has missed three heartbeats.
DEATH_SHOWS_S = 8.0
# Lost answers remembered for that.
_LOST_AT_MOST = 512
# Part of the fleet's budget that the entries use together. All of them may be killed at
# once and forget what they have sent: a window then holds what two lives may send.
_BUDGET_PART = 0.5


class Budget(NamedTuple):
    """What the fleet may send again, for each service in any window.

    ``share`` of the requests for it, and ``floor`` besides.
    """

    share: float
    floor: float
    window_s: float


class Guards:
    """Safe from any thread; ``entries`` returns how many share the budget."""

    def __init__(self, budget: Budget, entries: Callable[[], int]) -> None:
        self._budget = budget
        self._entries = entries
        self._suspects = CrashSuspects()
        self._lost: deque[tuple[float, str, str]] = deque(maxlen=_LOST_AT_MOST)
        self._budgets_by_service: dict[str, SlidingWindowRetryBudget] = {}
        self._closures_by_service: dict[str, Closures] = {}
        self._lock = Lock()

    def verdict(self, fingerprint: str) -> Quarantined | Suspect | None:
        """Return what is held against a request."""
        if not fingerprint:
            return None
        with self._lock:
            verdict = self._suspects.get_status(fingerprint, monotonic())
        return verdict if isinstance(verdict, Quarantined | Suspect) else None

    def lost(self, fingerprint: str, life: str) -> None:
        """Note that an answer was lost; the server may have died of the request."""
        if fingerprint:
            with self._lock:
                self._lost.append((monotonic(), fingerprint, life))

    def gone(self, life: str) -> tuple[str, ...]:
        """Hold a server's death against what was lost on it; return fingerprints.

        Only deaths that show count: an answer that is lost on a server that lives says
        nothing against its request.
        """
        with self._lock:
            now = monotonic()
            death = ServerIncarnation(life, life).crash_id
            blamed = tuple(
                fingerprint
                for at, fingerprint, where in self._lost
                if where == life and now - at < DEATH_SHOWS_S
            )
            for fingerprint in blamed:
                self._suspects.record_crash_id(fingerprint, death, now)
        return blamed

    def cleared(self, fingerprint: str) -> None:
        """Forgive a request that ended whole on a living server."""
        if fingerprint:
            with self._lock:
                self._suspects.clear(fingerprint)

    def heard(self, crashed: tuple[tuple[str, int], ...]) -> None:
        """Take in deaths that a peer tells."""
        with self._lock:
            now = monotonic()
            for fingerprint, death in crashed:
                self._suspects.record_crash_id(fingerprint, death, now)

    @property
    def crashed(self) -> tuple[tuple[str, int], ...]:
        """Deaths of late, to tell peers."""
        with self._lock:
            return self._suspects.list_recent_crashes(monotonic())

    def first(self, service: str) -> None:
        """Count a first send."""
        with self._lock:
            self._of(service).record_first_attempt(monotonic())

    def may_send_again(self, service: str) -> bool:
        """Return whether the budget allows one more send, and count it if so."""
        with self._lock:
            return self._of(service).try_acquire(
                monotonic(),
                share=self._budget.share * _BUDGET_PART,
                floor=self._budget.floor * _BUDGET_PART / max(1, self._entries()),
            )

    def is_closed(self, service: str, server: str, *, quiet_s: float) -> bool:
        """Note a request turned away; return whether the whole service does that."""
        with self._lock:
            closures = self._closures_by_service.setdefault(service, Closures())
            return closures.turned_away(server, quiet_s=quiet_s, now=monotonic())

    def _of(self, service: str) -> SlidingWindowRetryBudget:
        found = self._budgets_by_service.get(service)
        if found is None:
            found = SlidingWindowRetryBudget(window_s=self._budget.window_s)
            self._budgets_by_service[service] = found
        return found


def spread(base_s: float, request_id: str) -> float:
    """Return a time to come back, spread so that callers don't return together."""
    return base_s * (1.0 + 0.5 * stable_fraction(request_id))
