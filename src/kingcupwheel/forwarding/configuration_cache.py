"""The configuration in use and its age since it was last confirmed.

Ages are measured on a clock that includes suspended time: a process that resumes must
not take what it knew before the suspension for current.
"""

from __future__ import annotations

import time
from threading import Lock
from typing import TYPE_CHECKING

from kingcupwheel.telemetry.json_logs import lines_of


if TYPE_CHECKING:
    from collections.abc import Callable

    from kingcupwheel.forwarding.configuration import Configuration

log = lines_of("configuration")

# Between two lines about times in the future, which each heartbeat may have.
_MIN_LOG_INTERVAL_S = 1.0


def boottime_s() -> float:
    """Return the seconds since boot, including suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class ConfigurationCache:
    """Holds the newest known configuration; thread-safe.

    ``as_of`` is the time of the request that returned a version, never of its answer:
    an answer may be delayed.
    """

    def __init__(self, clock: Callable[[], float] = boottime_s) -> None:
        self._clock = clock
        self._configuration: Configuration | None = None
        self._as_of = float("-inf")
        self._logged_at = float("-inf")
        self._lock = Lock()

    def now(self) -> float:
        """Return the current time on the clock of ``as_of``."""
        return self._clock()

    @property
    def current(self) -> Configuration | None:
        """The newest known configuration, None before the first."""
        return self._configuration

    @property
    def version(self) -> int:
        """The version of ``current``, 0 before the first."""
        current = self._configuration
        return 0 if current is None else current.version

    def age_s(self) -> float:
        """Return the time since it was last confirmed as newest; infinite if never."""
        return self._clock() - self._as_of

    def update(self, found: Configuration, as_of: float, *, source: str) -> bool:
        """Store a configuration that was the newest at ``as_of``.

        Returns whether its version is new. ``source`` says in logs who stated it.

        Failure: answers overtake each other, or a stale copy arrives late. Symptom: a
        removed route works again. Versions only increase, so a lower one is ignored.

        A newer version was published after the previous one, so ``as_of`` never
        decreases. Otherwise each change that came from a peer, or from a watch that
        waited long, would look too old for requests with keys.
        """
        with self._lock:
            if found.version < self.version:
                return False
            is_new = found.version > self.version
            if is_new:
                self._configuration = found
            self._record_as_of(as_of, source)
        return is_new

    def confirm(self, version: int, as_of: float, *, source: str) -> None:
        """Record that ``version`` was the newest at ``as_of``."""
        with self._lock:
            if version == self.version:
                self._record_as_of(as_of, source)

    def _record_as_of(self, as_of: float, source: str) -> None:
        """Record a time of confirmation, unless it lies ahead; the lock is held.

        Nothing was confirmed in the future: such a time is of another clock, and the
        version would stay current until this one reaches it.
        """
        now = self._clock()
        if as_of <= now:
            self._as_of = max(self._as_of, as_of)
        elif now - self._logged_at >= _MIN_LOG_INTERVAL_S:
            self._logged_at = now
            log.warning(
                "confirmed-in-future", source=source, ahead_s=round(as_of - now, 3)
            )
