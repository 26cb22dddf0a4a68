"""Which requests were running when the server died."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Iterable

# Made for a request that kills each server it runs on. Every death names at most the
# server's concurrency of fingerprints, so the table holds the last few deaths; the
# entries add up what several agents report and decide who is to blame.
_MAX_FINGERPRINTS = 64
# A bystander is cleared after this long; the guilty one is sent again and counted anew.
_RETENTION_S = 600.0
# How long a death rides on heartbeats. Entries remember it; told for as long as it is
# remembered here, one death would add kilobytes to each heartbeat for ten minutes.
HEARTBEAT_REPORT_S = 15.0


class _CrashRecord(NamedTuple):
    crash_ids: tuple[int, ...]
    last_crash_at: float


class CrashTable:
    """Deaths of the server by fingerprint of what ran, bounded and decaying."""

    def __init__(self) -> None:
        self._by_fingerprint: dict[str, _CrashRecord] = {}

    def record_crash(
        self, fingerprints: Iterable[str], crash_id: int, *, now: float
    ) -> None:
        """Note ``death`` for each fingerprint that was running."""
        for fingerprint in set(fingerprints):
            known = self._by_fingerprint.pop(fingerprint, _CrashRecord((), now))
            self._by_fingerprint[fingerprint] = _CrashRecord(
                (*known.crash_ids, crash_id), now
            )
        while len(self._by_fingerprint) > _MAX_FINGERPRINTS:
            del self._by_fingerprint[next(iter(self._by_fingerprint))]

    def list_recent(self, *, now: float) -> tuple[tuple[str, int], ...]:
        """Return the pairs of fingerprint and death that heartbeats carry now."""
        self._expire(now)
        return tuple(
            (fingerprint, death)
            for fingerprint, crashed in self._by_fingerprint.items()
            if now - crashed.last_crash_at <= HEARTBEAT_REPORT_S
            for death in crashed.crash_ids
        )

    def _expire(self, now: float) -> None:
        old = [
            fingerprint
            for fingerprint, crashed in self._by_fingerprint.items()
            if now - crashed.last_crash_at > _RETENTION_S
        ]
        for fingerprint in old:
            del self._by_fingerprint[fingerprint]

    def count_crashes(self, fingerprint: str) -> int:
        """Return how many deaths are noted for the fingerprint."""
        crashed = self._by_fingerprint.get(fingerprint)
        return 0 if crashed is None else len(crashed.crash_ids)
