"""Which requests were running when the server died."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Iterable

# Made for a request that kills each server it runs on. Every death names at most the
# server's concurrency of fingerprints, so the table holds the last few deaths; the
# entries add up what several agents report and decide who is to blame.
_LIMIT = 64
# A bystander is cleared after this long; the guilty one is sent again and counted anew.
_DECAY_S = 600.0


class _Deaths(NamedTuple):
    total: int
    last_at: float


class CrashTable:
    """Deaths of the server by fingerprint of what ran, bounded and decaying."""

    def __init__(self) -> None:
        self._by_fingerprint: dict[str, _Deaths] = {}

    def died(self, fingerprints: Iterable[str], *, now: float) -> None:
        """Count one death for each fingerprint that was running."""
        for fingerprint in set(fingerprints):
            deaths = self._by_fingerprint.pop(fingerprint, _Deaths(0, now))
            self._by_fingerprint[fingerprint] = _Deaths(deaths.total + 1, now)
        while len(self._by_fingerprint) > _LIMIT:
            del self._by_fingerprint[next(iter(self._by_fingerprint))]

    def counts(self, *, now: float) -> tuple[tuple[str, int], ...]:
        """Return each fingerprint with its deaths, leaving out what has decayed."""
        old = [
            fingerprint
            for fingerprint, deaths in self._by_fingerprint.items()
            if now - deaths.last_at > _DECAY_S
        ]
        for fingerprint in old:
            del self._by_fingerprint[fingerprint]
        return tuple(
            (fingerprint, deaths.total)
            for fingerprint, deaths in self._by_fingerprint.items()
        )

    def count(self, fingerprint: str) -> int:
        """Return the deaths counted for the fingerprint."""
        deaths = self._by_fingerprint.get(fingerprint)
        return 0 if deaths is None else deaths.total
