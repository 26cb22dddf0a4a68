"""Attribution of server crashes to the requests that were running."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Mapping

    from kingcupwheel.decisions.crashed_runs import CrashedRun

# A crash adds the keys of as many requests as the server's concurrency, so the table
# holds the last few crashes. That suffices for a request that crashes each server it
# runs on: entries combine the reports of several agents to find it.
_MAX_KEYS = 256
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
    """Crashed runs of the server by the keys of their requests, bounded."""

    def __init__(self) -> None:
        self._by_key: dict[str, _CrashRecord] = {}

    def record_crash(self, run_by_key: Mapping[str, CrashedRun], *, now: float) -> None:
        """Record the requests that were running when the server crashed."""
        for key, run in run_by_key.items():
            record = self._by_key.pop(key, _CrashRecord((), now))
            self._by_key[key] = _CrashRecord((*record.runs, run), now)
        while len(self._by_key) > _MAX_KEYS:
            del self._by_key[next(iter(self._by_key))]

    def list_recent(
        self, *, now: float
    ) -> tuple[tuple[str, tuple[CrashedRun, ...]], ...]:
        """Return the keys and crashed runs to report in heartbeats."""
        self._expire(now)
        return tuple(
            (key, record.runs)
            for key, record in self._by_key.items()
            if now - record.last_crash_at <= HEARTBEAT_REPORT_S
        )

    def _expire(self, now: float) -> None:
        expired = [
            key
            for key, record in self._by_key.items()
            if now - record.last_crash_at > _RETENTION_S
        ]
        for key in expired:
            del self._by_key[key]

    def count_crashes(self, fingerprint: str) -> int:
        """Return the number of crashes recorded for the fingerprint."""
        record = self._by_key.get(fingerprint)
        return 0 if record is None else len(record.runs)
