"""The configuration in force and how old the knowledge of it is.

Ages count on a clock that goes on while the machine is suspended: a process that wakes
up must not take what it knew before for fresh.
"""

from __future__ import annotations

import time
from threading import Lock
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Callable

    from kingcupwheel.forwarding.configuration import Configuration


def boottime_s() -> float:
    """Return seconds of the clock that counts suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class ConfigurationCache:
    """Holds the newest configuration; safe from any thread.

    ``as_of`` times are of the question that brought the answer, never of the answer:
    an answer may be held up on its way.
    """

    def __init__(self, clock: Callable[[], float] = boottime_s) -> None:
        self._clock = clock
        self._configuration: Configuration | None = None
        self._as_of = float("-inf")
        self._lock = Lock()

    def now(self) -> float:
        """Return the time that ``as_of`` is counted on."""
        return self._clock()

    @property
    def current(self) -> Configuration | None:
        """The newest configuration known, None before the first."""
        return self._configuration

    @property
    def version(self) -> int:
        """Its version, 0 before the first."""
        current = self._configuration
        return 0 if current is None else current.version

    def age_s(self) -> float:
        """Return how long ago it was surely the newest; infinite if never."""
        return self._clock() - self._as_of

    def update(self, found: Configuration, as_of: float) -> bool:
        """Take a configuration that was the newest at ``as_of``; tell if it is new.

        Failure: answers overtake each other, or a stale copy comes late. Symptom: a
        route that was dropped works again. Versions only rise, so a lower one is never
        taken.

        A newer version became the newest after the one before it was, so it is known to
        be at least as new. Without that each change would make knowledge that came by a
        peer, or by a watch that waited long, look too old for requests with keys.
        """
        with self._lock:
            if found.version < self.version:
                return False
            is_new = found.version > self.version
            if is_new:
                self._configuration = found
            self._as_of = max(self._as_of, as_of)
        return is_new

    def confirm(self, version: int, as_of: float) -> None:
        """Note that ``version`` was the newest at ``as_of``."""
        with self._lock:
            if version == self.version:
                self._as_of = max(self._as_of, as_of)
