"""Tracks requests suspected of crashing the servers that run them. Pure."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from kingcupwheel.decisions.crashed_runs import CrashedRun
from kingcupwheel.decisions.crashed_runs import merge_runs
from kingcupwheel.decisions.crashed_runs import separate_runs
from kingcupwheel.decisions.hashing import stable_fraction


# Separate crashes after which a request is quarantined. One may be a coincidence or
# caused by another request; the second hit a run that began after the first crash.
QUARANTINE_CRASHES = 2

# The same if other requests ended with the last server and the request's runs are held
# one by one: any of the others may be the cause, and no parallel run can complete.
QUARANTINE_SHARED_CRASHES = 3

# Quarantine after the second separate crash, the third and so on. An innocent request
# is soon tried again, while one that crashes servers crashes at most three more in an
# hour.
QUARANTINES_S = (30.0, 60.0, 120.0, 3600.0)

# The entries' trials after a quarantine begin at different times within this interval,
# so that they do not all try before one of them has told the others.
TRIAL_SPREAD_S = 5.0

# In a fleet of 1,000, servers crash for other reasons every few minutes; two unrelated
# crashes within a day must not quarantine a request.
SUSPECT_RETENTION_S = 600.0

# A suspect that has run for longer than on any crashed server, by this factor and time,
# is unlikely to crash this one.
_PROBATION_FACTOR = 2.0
_PROBATION_MARGIN_S = 0.5
MAX_PROBATION_S = 5.0

# A crash adds as many fingerprints as the server ran at once (16 to 64); this is enough
# for some hundred crashes within the retention time.
MAX_FINGERPRINTS = 4_096

# More crashes than quarantines of different length.
_MAX_CRASHES_PER_FINGERPRINT = 16

# Crashes whose requests are counted.
_MAX_CRASHES = 1_024


class SuspicionRecord(NamedTuple):
    """What an entry knows of one request, to report to the other entries.

    ``runs`` are the crashed runs since the last success, ``succeeded_at`` the end of
    the last complete run and ``held_until`` that of a probation in progress.
    """

    fingerprint: str
    runs: tuple[CrashedRun, ...]
    succeeded_at: float
    held_until: float


class NotSuspected(NamedTuple):
    """The request is not a suspect."""


class Suspect(NamedTuple):
    """The request may run apart from other suspects, and only on one server.

    If it runs for ``probation_s`` it is unlikely to crash this server.
    """

    crash_count: int
    probation_s: float


class Held(NamedTuple):
    """Another run of the suspect is in progress, for ``remaining_s`` at the longest."""

    crash_count: int
    remaining_s: float


class Quarantined(NamedTuple):
    """The request is refused for ``remaining_s``, since it crashed servers."""

    crash_count: int
    remaining_s: float


SuspicionStatus = NotSuspected | Suspect | Held | Quarantined

_NEVER = float("-inf")


class _Record:
    """What is known of one fingerprint."""

    __slots__ = ("changed_at", "held_until", "run_by_crash_id", "succeeded_at")

    def __init__(self) -> None:
        self.run_by_crash_id: dict[int, CrashedRun] = {}
        self.succeeded_at = _NEVER
        self.held_until = _NEVER
        self.changed_at = _NEVER

    def list_active(self) -> list[CrashedRun]:
        """Return the crashed runs since the last success, by the server's end."""
        return sorted(
            (
                run
                for run in self.run_by_crash_id.values()
                if run.ended_at > self.succeeded_at
            ),
            key=lambda run: run.ended_at,
        )


class CrashSuspects:
    """Tracks, by request fingerprint, the runs that ended with their server.

    One request in millions may crash each server that runs it, and its caller retries
    it until the whole group has crashed. Requests that ran beside it, or on servers
    that lost power together, are innocent. They are told apart by time and success: a
    request is quarantined if a run that began after the end of one server ended with
    another one, and no run has completed in between. ``owner`` names the entry;
    ``shared_crashes`` separate crashes are needed if others ended with the last server.
    """

    def __init__(
        self,
        owner: str = "",
        *,
        shared_crashes: int = QUARANTINE_CRASHES,
        max_fingerprints: int = MAX_FINGERPRINTS,
    ) -> None:
        self._owner = owner
        self._shared_crashes = shared_crashes
        self._max_fingerprints = max_fingerprints
        self._record_by_fingerprint: OrderedDict[str, _Record] = OrderedDict()
        self._fingerprints_by_crash_id: OrderedDict[int, set[str]] = OrderedDict()
        # Successes of requests without a record: the report of a crash before them may
        # arrive later.
        self._succeeded_at: OrderedDict[str, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._record_by_fingerprint)

    def record_crash(self, fingerprint: str, run: CrashedRun, now: float) -> bool:
        """Record a run that ended with its server; return whether the crash is new.

        The entry, agents and peers may report the same crash. If it counted more than
        once, an innocent request would be refused after a single crash; each crash id
        therefore counts once. Of several runs that ended with it the latest start
        counts: an earlier one that was given up must not hide that this one began
        after another server's end.
        """
        record = self._get_or_create(fingerprint)
        known = record.run_by_crash_id.get(run.crash_id)
        if known is not None:
            merged = merge_runs(known, run)
            if merged != known:
                record.run_by_crash_id[run.crash_id] = merged
                self._mark_changed(fingerprint, record, now)
            return False
        record.run_by_crash_id[run.crash_id] = run
        self._count_fingerprint(fingerprint, run.crash_id)
        if len(record.run_by_crash_id) > _MAX_CRASHES_PER_FINGERPRINT:
            del record.run_by_crash_id[next(iter(record.run_by_crash_id))]
        self._mark_changed(fingerprint, record, now)
        return True

    def record_success(self, fingerprint: str, succeeded_at: float, now: float) -> bool:
        """Record a complete run; return whether the request was a suspect until now.

        It clears the request of all crashes before ``succeeded_at``. Those stay known,
        so that later reports of the same crashes don't count again.
        """
        record = self._record_by_fingerprint.get(fingerprint)
        if record is None:
            self._remember_success(fingerprint, succeeded_at)
            return False
        was_active = bool(record.list_active())
        if succeeded_at > record.succeeded_at:
            record.succeeded_at = succeeded_at
            record.held_until = _NEVER
            if was_active:
                self._mark_changed(fingerprint, record, now)
        return was_active and not record.list_active()

    def merge(self, reported: SuspicionRecord, now: float) -> bool:
        """Record what another entry reports; return whether a crash is new."""
        fingerprint = reported.fingerprint
        is_new = False
        for run in reported.runs:
            is_new |= self.record_crash(fingerprint, run, now)
        if reported.succeeded_at > _NEVER:
            self.record_success(fingerprint, reported.succeeded_at, now)
        record = self._record_by_fingerprint.get(fingerprint)
        if record is not None:
            record.held_until = max(record.held_until, reported.held_until)
        return is_new

    def get_status(self, fingerprint: str, now: float) -> SuspicionStatus:
        """Return whether a request is clear, a suspect, held or quarantined."""
        record = self._record_by_fingerprint.get(fingerprint)
        if record is None:
            return NotSuspected()
        runs = record.list_active()
        if not runs or now - runs[-1].ended_at >= self._retention_s(runs):
            return NotSuspected()
        quarantine_s = self._quarantine_s(fingerprint, runs)
        remaining_s = runs[-1].ended_at + quarantine_s - now
        if quarantine_s and remaining_s > 0:
            return Quarantined(len(runs), remaining_s)
        if record.held_until > now:
            held_s = record.held_until - now
            return (
                Quarantined(len(runs), held_s)
                if quarantine_s
                else Held(len(runs), held_s)
            )
        return Suspect(len(runs), _probation_s(runs))

    def begin_run(self, fingerprint: str, now: float) -> SuspicionStatus:
        """Return the status, and hold all other runs if it lets a suspect run."""
        status = self.get_status(fingerprint, now)
        if isinstance(status, Suspect):
            record = self._record_by_fingerprint[fingerprint]
            record.held_until = now + status.probation_s
            self._mark_changed(fingerprint, record, now)
        return status

    def end_run(self, fingerprint: str, now: float) -> None:
        """Hold other runs no longer: a suspect's run is over, and its server alive."""
        record = self._record_by_fingerprint.get(fingerprint)
        if record is not None and record.held_until > now:
            record.held_until = now

    def list_changed(
        self, since: float, *, limit: int = MAX_FINGERPRINTS
    ) -> list[SuspicionRecord]:
        """Return the records that have changed since then, at most ``limit``.

        The latest changes come first.
        """
        found: list[SuspicionRecord] = []
        for fingerprint, record in reversed(self._record_by_fingerprint.items()):
            if record.changed_at < since or len(found) >= limit:
                break
            found.append(
                SuspicionRecord(
                    fingerprint,
                    tuple(record.list_active()),
                    record.succeeded_at,
                    record.held_until,
                )
            )
        return found

    def _quarantine_s(self, fingerprint: str, runs: list[CrashedRun]) -> float:
        """Return the length of the quarantine after the last crash, 0 if none."""
        separate = len(separate_runs(runs))
        others = self._count_crashes_of_others(fingerprint, runs[-1].crash_id)
        needed = self._shared_crashes if others else QUARANTINE_CRASHES
        # A request with more crashes explains this one.
        if separate < needed or max(others, default=0) > separate:
            return 0.0
        level = min(separate - needed, len(QUARANTINES_S) - 1)
        spread_s = TRIAL_SPREAD_S * stable_fraction(fingerprint, self._owner)
        return QUARANTINES_S[level] + spread_s

    def _count_crashes_of_others(self, fingerprint: str, crash_id: int) -> list[int]:
        """Return the separate crashes of the others that ended with the same server."""
        others = self._fingerprints_by_crash_id.get(crash_id, set()) - {fingerprint}
        records = (self._record_by_fingerprint.get(other) for other in others)
        return [
            len(separate_runs(record.list_active()))
            for record in records
            if record is not None
        ]

    def _retention_s(self, runs: list[CrashedRun]) -> float:
        is_quarantined = len(separate_runs(runs)) >= QUARANTINE_CRASHES
        return SUSPECT_RETENTION_S + (QUARANTINES_S[-1] if is_quarantined else 0.0)

    def _get_or_create(self, fingerprint: str) -> _Record:
        record = self._record_by_fingerprint.get(fingerprint)
        if record is None:
            record = _Record()
            record.succeeded_at = self._succeeded_at.pop(fingerprint, _NEVER)
            self._record_by_fingerprint[fingerprint] = record
            while len(self._record_by_fingerprint) > self._max_fingerprints:
                self._record_by_fingerprint.popitem(last=False)
        return record

    def _count_fingerprint(self, fingerprint: str, crash_id: int) -> None:
        self._fingerprints_by_crash_id.setdefault(crash_id, set()).add(fingerprint)
        while len(self._fingerprints_by_crash_id) > _MAX_CRASHES:
            self._fingerprints_by_crash_id.popitem(last=False)

    def _mark_changed(self, fingerprint: str, record: _Record, now: float) -> None:
        record.changed_at = now
        self._record_by_fingerprint.move_to_end(fingerprint)

    def _remember_success(self, fingerprint: str, succeeded_at: float) -> None:
        known_at = self._succeeded_at.get(fingerprint, _NEVER)
        self._succeeded_at[fingerprint] = max(succeeded_at, known_at)
        self._succeeded_at.move_to_end(fingerprint)
        while len(self._succeeded_at) > self._max_fingerprints:
            self._succeeded_at.popitem(last=False)


def _probation_s(runs: list[CrashedRun]) -> float:
    longest_s = max(run.ended_at - run.started_at for run in runs)
    return min(MAX_PROBATION_S, _PROBATION_FACTOR * longest_s + _PROBATION_MARGIN_S)
