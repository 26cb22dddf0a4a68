"""Requests that may crash whatever server runs them."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from kingcupwheel.decisions.hashing import stable_hash


# Deaths that condemn a request. One death may be chance, or a bystander's; the second
# came on a server where no other suspect ran, and leaves it the only cause.
QUARANTINE_CRASHES = 2

# How long a request is refused, in seconds: an operator's time to look into it. After
# that one more run is tried, alone among suspects; its death quarantines it again.
QUARANTINE_S = 600.0

# How long one death is remembered: servers die for other reasons every few minutes in a
# fleet of 1,000, and two chance deaths in a day must not condemn a request.
SUSPECT_RETENTION_S = 600.0

# How long a death is told to peers: it passes from peer to peer once a heartbeat, and
# through all entries in about five.
GOSSIP_S = 15.0

# Fingerprints held at most. A dying server leaves as many as it ran at once (16 to 64);
# this holds the bystanders of some hundred deaths within the time above.
MAX_FINGERPRINTS = 4_096

# Deaths remembered for one fingerprint: it is refused from the second on, so that more
# come only from runs that several entries began at the same time.
_MAX_CRASHES_PER_FINGERPRINT = 16


class ServerIncarnation(NamedTuple):
    """One life of a backend server: its name and its agent's word for that life.

    Every process that hears of the same death has to name it alike.
    """

    server: str
    incarnation: str

    @property
    def crash_id(self) -> int:
        """The death that ended this life, as told between processes."""
        return stable_hash(self.server, self.incarnation)


class NotSuspected(NamedTuple):
    """Nothing is held against the request."""


class Suspect(NamedTuple):
    """It was running when a server died; it runs where no other suspect does."""

    crash_count: int


class Quarantined(NamedTuple):
    """It is refused: servers died of it. ``for_s`` is the time left."""

    crash_count: int
    remaining_s: float


SuspicionStatus = NotSuspected | Suspect | Quarantined


class _CrashRecord:
    """What is known of one fingerprint: deaths it was there for, and those forgiven."""

    __slots__ = ("cleared_ids", "crash_ids", "last_crash_at")

    def __init__(self) -> None:
        self.crash_ids: set[int] = set()
        self.cleared_ids: set[int] = set()
        self.last_crash_at = 0.0

    @property
    def active_count(self) -> int:
        """Deaths held against it."""
        return len(self.crash_ids - self.cleared_ids)

    @property
    def retention_s(self) -> float:
        """How long after the last death it is still remembered."""
        quarantined = self.active_count >= QUARANTINE_CRASHES
        return SUSPECT_RETENTION_S + (QUARANTINE_S if quarantined else 0.0)


class CrashSuspects:
    """Who was running when a server died, by fingerprint of the request.

    Load: one request in millions crashes each server that runs it, and its caller sends
    it again. Harm prevented: a whole group dies one server after the other. Harm of
    blaming wrongly: those that ran beside it did nothing, and are cleared when they
    finish once, or forgotten when nothing dies of them again.
    """

    def __init__(self, *, limit: int = MAX_FINGERPRINTS) -> None:
        self._limit = limit
        self._record_by_fingerprint: OrderedDict[str, _CrashRecord] = OrderedDict()

    def __len__(self) -> int:
        return len(self._record_by_fingerprint)

    def record_crash(
        self, fingerprint: str, incarnation: ServerIncarnation, now: float
    ) -> None:
        """Note that it ran when this life of a server ended; once for each life."""
        self.record_crash_id(fingerprint, incarnation.crash_id, now)

    def record_crash_id(self, fingerprint: str, crash_id: int, now: float) -> None:
        """Take a death that an agent or a peer tells of, as often as it is told.

        Failure: a death told by its agent, and by each peer that heard of it, counts
        several times. Symptom: a bystander is refused after one death. Deaths have
        names, and the same name counts once however it comes.
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
        """Return what may be done with a request of this fingerprint."""
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
        """Forgive it: it finished on a living server.

        The record stays, so that the same old deaths heard again are not held against
        it a second time.
        """
        record = self._record_by_fingerprint.get(fingerprint)
        if record is not None:
            record.cleared_ids = set(record.crash_ids)

    def list_recent_crashes(self, now: float) -> tuple[tuple[str, int], ...]:
        """Return fingerprints and deaths held against them, to be told to the peers.

        Only those of late: peers remember what they heard, and a death told for as long
        as it is remembered would add kilobytes to every heartbeat for ten minutes.
        """
        return tuple(
            (fingerprint, death)
            for fingerprint, record in self._record_by_fingerprint.items()
            if now - record.last_crash_at <= GOSSIP_S
            for death in sorted(record.crash_ids - record.cleared_ids)
        )

    def _get_or_create(self, fingerprint: str) -> _CrashRecord:
        record = self._record_by_fingerprint.setdefault(fingerprint, _CrashRecord())
        self._record_by_fingerprint.move_to_end(fingerprint)
        while len(self._record_by_fingerprint) > self._limit:
            self._record_by_fingerprint.popitem(last=False)
        return record
