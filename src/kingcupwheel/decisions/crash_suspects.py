"""Tracks requests suspected of crashing the servers that run them."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from kingcupwheel.decisions.hashing import stable_hash


# Crashes after which a request is quarantined. One may be a coincidence or caused by
# another request; the second happened on a server that ran no other suspect, so that
# the request is its only possible cause.
QUARANTINE_CRASHES = 2

# Gives operators time to investigate. After that the request may run once more, apart
# from other suspects; another crash quarantines it again.
QUARANTINE_S = 600.0

# In a fleet of 1,000, servers crash for other reasons every few minutes; two unrelated
# crashes within a day must not quarantine a request.
SUSPECT_RETENTION_S = 600.0

# How long a crash is sent to peers. It advances one peer per heartbeat and reaches all
# entries in about five.
GOSSIP_S = 15.0

# A crash adds as many fingerprints as the server ran at once (16 to 64); this is enough
# for some hundred crashes within the retention time.
MAX_FINGERPRINTS = 4_096

# A fingerprint is refused from its second crash on, so that more come only from runs
# that several entries started at the same time.
_MAX_CRASHES_PER_FINGERPRINT = 16


class ServerIncarnation(NamedTuple):
    """One incarnation of a backend server: its name and its agent's incarnation id.

    Every process has to identify the same crash alike.
    """

    server: str
    incarnation: str

    @property
    def crash_id(self) -> int:
        """Id of the crash that ended this incarnation, as sent between processes."""
        return stable_hash(self.server, self.incarnation)


class NotSuspected(NamedTuple):
    """The request is not a suspect."""


class Suspect(NamedTuple):
    """The request ran during a crash; it has to run apart from other suspects."""

    crash_count: int


class Quarantined(NamedTuple):
    """The request is refused for ``remaining_s``, since it crashed servers."""

    crash_count: int
    remaining_s: float


SuspicionStatus = NotSuspected | Suspect | Quarantined


class _CrashRecord:
    """Crashes during which a fingerprint ran, and those it was cleared of."""

    __slots__ = ("cleared_ids", "crash_ids", "last_crash_at")

    def __init__(self) -> None:
        self.crash_ids: set[int] = set()
        self.cleared_ids: set[int] = set()
        self.last_crash_at = 0.0

    @property
    def active_count(self) -> int:
        """Number of crashes that it is not cleared of."""
        return len(self.crash_ids - self.cleared_ids)

    @property
    def retention_s(self) -> float:
        """How long the crashes count after the last one."""
        is_quarantined = self.active_count >= QUARANTINE_CRASHES
        return SUSPECT_RETENTION_S + (QUARANTINE_S if is_quarantined else 0.0)


class CrashSuspects:
    """Tracks, by request fingerprint, the requests running when a server crashed.

    One request in millions may crash each server that runs it, and its caller retries
    it until the whole group has crashed. Requests that ran beside it are innocent: they
    are cleared when they finish once, and forgotten if no other crash follows.
    """

    def __init__(self, *, max_fingerprints: int = MAX_FINGERPRINTS) -> None:
        self._max_fingerprints = max_fingerprints
        self._record_by_fingerprint: OrderedDict[str, _CrashRecord] = OrderedDict()

    def __len__(self) -> int:
        return len(self._record_by_fingerprint)

    def record_crash(
        self, fingerprint: str, incarnation: ServerIncarnation, now: float
    ) -> None:
        """Record that the request ran when a server crashed; idempotent."""
        self.record_crash_id(fingerprint, incarnation.crash_id, now)

    def record_crash_id(self, fingerprint: str, crash_id: int, now: float) -> None:
        """Record a crash reported by an agent or a peer; idempotent.

        The agent and several peers may report the same crash. If it counted more than
        once, an innocent request would be refused after a single crash; each id
        therefore counts once.
        """
        record = self._get_or_create(fingerprint)
        if (
            crash_id in record.crash_ids
            or len(record.crash_ids) >= _MAX_CRASHES_PER_FINGERPRINT
        ):
            return
        if now - record.last_crash_at >= record.retention_s:
            record.cleared_ids = set(record.crash_ids)
        record.crash_ids.add(crash_id)
        record.last_crash_at = now

    def get_status(self, fingerprint: str, now: float) -> SuspicionStatus:
        """Return whether a request is clear, a suspect or quarantined."""
        record = self._record_by_fingerprint.get(fingerprint)
        if record is None or record.active_count == 0:
            return NotSuspected()
        age_s = now - record.last_crash_at
        if record.active_count >= QUARANTINE_CRASHES and age_s < QUARANTINE_S:
            return Quarantined(record.active_count, QUARANTINE_S - age_s)
        return (
            Suspect(record.active_count)
            if age_s < record.retention_s
            else NotSuspected()
        )

    def clear(self, fingerprint: str) -> None:
        """Clear a request that finished on a live server.

        The record is kept, so that repeated reports of the same crashes don't count
        again.
        """
        record = self._record_by_fingerprint.get(fingerprint)
        if record is not None:
            record.cleared_ids = set(record.crash_ids)

    def list_recent_crashes(self, now: float) -> tuple[tuple[str, int], ...]:
        """Return pairs of fingerprint and crash id to send to the peers.

        Only recent ones are returned: peers keep what they receive, and sending a crash
        for its whole retention would add kilobytes to every heartbeat for ten minutes.
        """
        return tuple(
            (fingerprint, crash_id)
            for fingerprint, record in self._record_by_fingerprint.items()
            if now - record.last_crash_at <= GOSSIP_S
            for crash_id in sorted(record.crash_ids - record.cleared_ids)
        )

    def _get_or_create(self, fingerprint: str) -> _CrashRecord:
        record = self._record_by_fingerprint.setdefault(fingerprint, _CrashRecord())
        self._record_by_fingerprint.move_to_end(fingerprint)
        while len(self._record_by_fingerprint) > self._max_fingerprints:
            self._record_by_fingerprint.popitem(last=False)
        return record
