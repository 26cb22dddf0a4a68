"""Attribution of server crashes to the requests that were running."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Mapping

    from kingcupwheel.decisions.crashed_runs import CrashedRun

# A crash adds at most as many fingerprints as the server's concurrency, so the table
# holds the last few crashes. That suffices for a request that crashes each server it
# runs on: entries combine the reports of several agents to find it.
_MAX_FINGERPRINTS = 64
# Clears requests that merely ran beside the one at fault; that one is sent again and
# counted again.
_RETENTION_S = 600.0
# Entries keep the crashes that are reported to them. Reporting one for the whole
# retention time would add kilobytes to each heartbeat for ten minutes.
HEARTBEAT_REPORT_S = 15.0


class _CrashRecord(NamedTuple):
    runs: tuple[CrashedRun, ...]
    last_crash_at: float


class CrashTable:
    """Crashed runs of the server by fingerprint of their request, bounded."""

    def __init__(self) -> None:
        self._by_fingerprint: dict[str, _CrashRecord] = {}

    def record_crash(
        self, run_by_fingerprint: Mapping[str, CrashedRun], *, now: float
    ) -> None:
        """Record the requests that were running when the server crashed."""
        for fingerprint, run in run_by_fingerprint.items():
            record = self._by_fingerprint.pop(fingerprint, _CrashRecord((), now))
            self._by_fingerprint[fingerprint] = _CrashRecord((*record.runs, run), now)
        while len(self._by_fingerprint) > _MAX_FINGERPRINTS:
            del self._by_fingerprint[next(iter(self._by_fingerprint))]

    def list_recent(
        self, *, now: float
    ) -> tuple[tuple[str, tuple[CrashedRun, ...]], ...]:
        """Return the fingerprints and crashed runs to report in heartbeats."""
        self._expire(now)
        return tuple(
            (fingerprint, record.runs)
            for fingerprint, record in self._by_fingerprint.items()
            if now - record.last_crash_at <= HEARTBEAT_REPORT_S
        )

    def _expire(self, now: float) -> None:
        expired = [
            fingerprint
            for fingerprint, record in self._by_fingerprint.items()
            if now - record.last_crash_at > _RETENTION_S
        ]
        for fingerprint in expired:
            del self._by_fingerprint[fingerprint]

    def count_crashes(self, fingerprint: str) -> int:
        """Return the number of crashes recorded for the fingerprint."""
        record = self._by_fingerprint.get(fingerprint)
        return 0 if record is None else len(record.runs)
