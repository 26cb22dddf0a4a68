"""Tracks requests suspected of crashing the servers that run them. Pure."""

from __future__ import annotations

from collections import OrderedDict
from itertools import islice
from typing import NamedTuple

from kingcupwheel.decisions.crash_causes import Cause
from kingcupwheel.decisions.crash_causes import build_cause
from kingcupwheel.decisions.crash_causes import is_part_key
from kingcupwheel.decisions.crash_causes import judge_part
from kingcupwheel.decisions.crashed_runs import CrashedRun
from kingcupwheel.decisions.crashed_runs import merge_runs
from kingcupwheel.decisions.crashed_runs import separate_runs
from kingcupwheel.decisions.hashing import stable_fraction
from kingcupwheel.decisions.suspicion_status import Held
from kingcupwheel.decisions.suspicion_status import NotSuspected
from kingcupwheel.decisions.suspicion_status import Quarantined
from kingcupwheel.decisions.suspicion_status import Suspect
from kingcupwheel.decisions.suspicion_status import SuspicionStatus
from kingcupwheel.decisions.trial_claims import CLAIM_LEASE_S
from kingcupwheel.decisions.trial_claims import NO_CLAIM
from kingcupwheel.decisions.trial_claims import TrialClaim
from kingcupwheel.decisions.trial_claims import choose_claim


# Separate crashes after which a request is quarantined. One may be a coincidence or
# caused by another request; the second hit a run that began after the first crash.
QUARANTINE_CRASHES = 2

# The same if other requests ended with the last server and the request's runs are held
# one by one: any of the others may be the cause, and no parallel run can complete.
QUARANTINE_SHARED_CRASHES = 3

# Quarantine after the second separate crash, the third and so on. An innocent request
# is soon tried again, while one that crashes servers crashes at most three more in a
# day.
QUARANTINES_S = (30.0, 120.0, 3_600.0, 86_400.0)

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

# A crash adds the fingerprints and parts of the requests that the server ran at once
# (16 to 64); this is enough for some hundred crashes within the retention time.
MAX_KEYS = 4_096

# Records that are looked through for one to forget.
_EVICTION_CANDIDATES = 64

# More crashes than quarantines of different length.
_MAX_CRASHES_PER_KEY = 16

# Crashes whose requests are counted.
_MAX_CRASHES = 1_024


class SuspicionRecord(NamedTuple):
    """What an entry knows of one key, to report to the other entries.

    ``runs`` are the crashed runs since the last success, ``succeeded_at`` the end of
    the last complete run and ``claim`` the sender's own claim to try it.
    """

    key: str
    runs: tuple[CrashedRun, ...]
    succeeded_at: float
    claim: TrialClaim


_NEVER = float("-inf")


class _Verdict(NamedTuple):
    """What the crashes of a key amount to, at any time until they change."""

    is_suspect: bool
    quarantine_s: float


class _Record:
    """What is known of one key."""

    __slots__ = (
        "changed_at",
        "claim",
        "run_by_crash_id",
        "succeeded_at",
        "verdict",
        "verdict_revision",
    )

    def __init__(self) -> None:
        self.run_by_crash_id: dict[int, CrashedRun] = {}
        self.succeeded_at = _NEVER
        self.claim = NO_CLAIM
        self.changed_at = _NEVER
        self.verdict = _Verdict(is_suspect=False, quarantine_s=0.0)
        self.verdict_revision = -1

    def list_active(self) -> list[CrashedRun]:
        """Return the crashed runs since the last success, by the server's end.

        A run that overlapped a complete one is no evidence: what crashes each server
        that runs it never completes.
        """
        return sorted(
            (
                run
                for run in self.run_by_crash_id.values()
                if run.started_at > self.succeeded_at
            ),
            key=lambda run: run.ended_at,
        )


class CrashSuspects:
    """Tracks, by key, the runs that ended with their server.

    A key is the fingerprint of a whole request or that of a part of its prompt. One
    request in millions may crash each server that runs it, and so may each request
    with one part. Requests that ran beside it, or on servers that lost power together,
    are innocent. They are told apart by time and success: a key is quarantined if a run
    that began after the end of one server ended with another one, no run has completed
    in between, and no other key explains the crashes better. ``owner`` names the entry;
    a request needs ``shared_crashes`` separate crashes if others ended with the last
    server.
    """

    def __init__(
        self,
        owner: str = "",
        *,
        shared_crashes: int = QUARANTINE_CRASHES,
        max_keys: int = MAX_KEYS,
    ) -> None:
        self._owner = owner
        self._shared_crashes = shared_crashes
        self._max_keys = max_keys
        self._record_by_key: OrderedDict[str, _Record] = OrderedDict()
        self._keys_by_crash_id: OrderedDict[int, set[str]] = OrderedDict()
        # Successes of keys without a record: the report of a crash before them may
        # arrive later.
        self._succeeded_at: OrderedDict[str, float] = OrderedDict()
        # Changes with the crashed runs; verdicts are derived from these.
        self._revision = 0

    def __len__(self) -> int:
        return len(self._record_by_key)

    def record_crash(self, key: str, run: CrashedRun, now: float) -> bool:
        """Record a run that ended with its server; return whether the crash is new.

        The entry, agents and peers may report the same crash. If it counted more than
        once, an innocent request would be refused after a single crash; each crash id
        therefore counts once. Of several runs that ended with it the latest start
        counts: an earlier one that was given up must not hide that this one began
        after another server's end.
        """
        record = self._get_or_create(key)
        known = record.run_by_crash_id.get(run.crash_id)
        if known is not None:
            merged = merge_runs(known, run)
            if merged != known:
                record.run_by_crash_id[run.crash_id] = merged
                self._mark_changed(key, record, now)
            return False
        record.run_by_crash_id[run.crash_id] = run
        self._count_key(key, run.crash_id)
        if len(record.run_by_crash_id) > _MAX_CRASHES_PER_KEY:
            del record.run_by_crash_id[next(iter(record.run_by_crash_id))]
        self._mark_changed(key, record, now)
        return True

    def record_success(self, key: str, succeeded_at: float, now: float) -> bool:
        """Record a complete run; return whether the key was suspected until now.

        It clears the key of all runs that began before ``succeeded_at``. Those stay
        known, so that later reports of the same crashes don't count again.
        """
        record = self._record_by_key.get(key)
        if record is None:
            self._remember_success(key, succeeded_at)
            return False
        was_active = bool(record.list_active())
        if succeeded_at > record.succeeded_at:
            record.succeeded_at = succeeded_at
            if was_active:
                record.claim = NO_CLAIM
                self._mark_changed(key, record, now)
        return was_active and not record.list_active()

    def merge(self, reported: SuspicionRecord, now: float) -> bool:
        """Record what another entry reports; return whether a crash is new."""
        key = reported.key
        is_new = False
        for run in reported.runs:
            is_new |= self.record_crash(key, run, now)
        if reported.succeeded_at > _NEVER:
            self.record_success(key, reported.succeeded_at, now)
        record = self._record_by_key.get(key)
        if record is not None:
            record.claim = choose_claim(record.claim, reported.claim, key, now)
        return is_new

    def get_status(self, key: str, now: float) -> SuspicionStatus:
        """Return whether a key is clear, a suspect, held or quarantined."""
        record = self._record_by_key.get(key)
        if record is None:
            return NotSuspected()
        runs = record.list_active()
        if not runs:
            return NotSuspected()
        verdict = self._get_verdict(key, record, runs)
        age_s = now - runs[-1].ended_at
        if not verdict.is_suspect or age_s >= _retention_s(verdict):
            return NotSuspected()
        if age_s < verdict.quarantine_s:
            return Quarantined(len(runs), verdict.quarantine_s - age_s)
        if record.claim.held_until > now:
            held_s = record.claim.held_until - now
            return (
                Quarantined(len(runs), held_s)
                if verdict.quarantine_s
                else Held(len(runs), held_s)
            )
        return Suspect(len(runs), _probation_s(runs))

    def begin_run(self, key: str, now: float) -> SuspicionStatus:
        """Return the status, and hold all other runs if it lets a suspect run."""
        status = self.get_status(key, now)
        if isinstance(status, Suspect):
            self.claim_run(key, now)
            self.hold_run(key, now, status.probation_s)
        return status

    def claim_run(self, key: str, now: float) -> None:
        """Claim the next run of a suspect, without beginning it."""
        record = self._record_by_key[key]
        held_until = now + CLAIM_LEASE_S
        record.claim = TrialClaim(self._owner, held_until, has_begun=False)
        self._mark_changed(key, record, now)

    def is_claimed(self, key: str, now: float) -> bool:
        """Return whether this entry's claim is valid; a quarantine ends it."""
        record = self._record_by_key.get(key)
        if record is None or record.claim.owner != self._owner:
            return False
        return record.claim.held_until > now and not self.is_refused(key, now)

    def hold_run(self, key: str, now: float, duration_s: float) -> bool:
        """Hold the other runs of a suspect, whose claimed run begins, for so long.

        Return whether the others have to be told.
        """
        record = self._record_by_key.get(key)
        if record is None:
            return False
        left_s = record.claim.held_until - now
        if record.claim.has_begun and duration_s / 2 <= left_s <= duration_s:
            return False
        record.claim = TrialClaim(self._owner, now + duration_s, has_begun=True)
        self._mark_changed(key, record, now)
        return True

    def end_run(self, key: str, now: float) -> None:
        """Hold other runs no longer: a suspect's run is over, and its server alive."""
        record = self._record_by_key.get(key)
        if record is not None and self.is_claimed(key, now):
            record.claim = record.claim._replace(held_until=now)
            self._mark_changed(key, record, now)

    def list_quarantined(self, now: float, *, limit: int) -> dict[str, float]:
        """Return the seconds left by quarantined key, the latest changes first."""
        found: dict[str, float] = {}
        for key in reversed(self._record_by_key):
            status = self.get_status(key, now)
            if isinstance(status, Quarantined):
                found[key] = status.remaining_s
            if len(found) >= limit:
                break
        return found

    def list_changed(
        self, since: float, *, limit: int = MAX_KEYS
    ) -> list[SuspicionRecord]:
        """Return the records that have changed since then, at most ``limit``.

        The latest changes come first.
        """
        found: list[SuspicionRecord] = []
        for key, record in reversed(self._record_by_key.items()):
            if record.changed_at < since or len(found) >= limit:
                break
            is_own = record.claim.owner == self._owner
            found.append(
                SuspicionRecord(
                    key,
                    tuple(record.list_active()),
                    record.succeeded_at,
                    record.claim if is_own else NO_CLAIM,
                )
            )
        return found

    def is_refused(self, key: str, now: float) -> bool:
        """Return whether a quarantine is in force, whoever has claimed a trial."""
        record = self._record_by_key.get(key)
        runs = [] if record is None else record.list_active()
        if record is None or not runs:
            return False
        verdict = self._get_verdict(key, record, runs)
        return now - runs[-1].ended_at < verdict.quarantine_s

    def _get_verdict(
        self, key: str, record: _Record, runs: list[CrashedRun]
    ) -> _Verdict:
        if record.verdict_revision != self._revision:
            record.verdict_revision = self._revision
            record.verdict = (
                self._judge_part(key, record, runs)
                if is_part_key(key)
                else self._judge_request(key, runs)
            )
        return record.verdict

    def _judge_request(self, key: str, runs: list[CrashedRun]) -> _Verdict:
        """Return the verdict on a request, with the quarantine after its last crash."""
        count = len(separate_runs(runs))
        others = self._list_others(key, runs[-1].crash_id)
        is_shared = any(not is_part_key(other) for other in others)
        needed = self._shared_crashes if is_shared else QUARANTINE_CRASHES
        explained = max((cause.crash_count for cause in others.values()), default=0)
        # What is present at more crashes explains this one.
        if count < needed or explained > count:
            return _Verdict(is_suspect=True, quarantine_s=0.0)
        level = min(count - needed, len(QUARANTINES_S) - 1)
        return _Verdict(True, QUARANTINES_S[level] + self._spread_s(key))

    def _judge_part(
        self, key: str, record: _Record, runs: list[CrashedRun]
    ) -> _Verdict:
        cause = self._build_cause(key, record)
        unexplained: list[CrashedRun] = []
        equals: set[str] | None = None
        for run in runs:
            others = self._list_others(key, run.crash_id)
            if any(other > cause for other in others.values()):
                continue
            unexplained.append(run)
            same = {name for name, other in others.items() if other == cause}
            equals = same if equals is None else equals & same
        verdict = judge_part(
            len(separate_runs(unexplained)),
            sum(run.is_trial for run in unexplained),
            has_succeeded=record.succeeded_at > _NEVER,
            is_ambiguous=bool(equals),
        )
        spread_s = self._spread_s(key) if verdict.quarantine_s else 0.0
        return _Verdict(verdict.is_suspect, verdict.quarantine_s + spread_s)

    def _spread_s(self, key: str) -> float:
        return TRIAL_SPREAD_S * stable_fraction(key, self._owner)

    def _build_cause(self, key: str, record: _Record) -> Cause:
        count = len(separate_runs(record.list_active()))
        return build_cause(key, count, record.succeeded_at)

    def _list_others(self, key: str, crash_id: int) -> dict[str, Cause]:
        """Return the other keys that ended with the same server, and their causes."""
        others = self._keys_by_crash_id.get(crash_id, set()) - {key}
        found: dict[str, Cause] = {}
        for other in others:
            record = self._record_by_key.get(other)
            if record is not None and crash_id in record.run_by_crash_id:
                run = record.run_by_crash_id[crash_id]
                if run.started_at > record.succeeded_at:
                    found[other] = self._build_cause(other, record)
        return found

    def _get_or_create(self, key: str) -> _Record:
        record = self._record_by_key.get(key)
        if record is None:
            record = _Record()
            record.succeeded_at = self._succeeded_at.pop(key, _NEVER)
            self._record_by_key[key] = record
            while len(self._record_by_key) > self._max_keys:
                del self._record_by_key[self._choose_evicted()]
        return record

    def _choose_evicted(self) -> str:
        """Return the key to forget: the oldest, or the oldest that is not quarantined.

        Callers that send new parts with each request must not clear a quarantined one.
        """
        oldest = list(islice(self._record_by_key, _EVICTION_CANDIDATES))
        return next(
            (
                key
                for key in oldest
                if len(self._record_by_key[key].run_by_crash_id) < 2
            ),
            oldest[0],
        )

    def _count_key(self, key: str, crash_id: int) -> None:
        self._keys_by_crash_id.setdefault(crash_id, set()).add(key)
        while len(self._keys_by_crash_id) > _MAX_CRASHES:
            self._keys_by_crash_id.popitem(last=False)

    def _mark_changed(self, key: str, record: _Record, now: float) -> None:
        record.changed_at = now
        self._revision += 1
        self._record_by_key.move_to_end(key)

    def _remember_success(self, key: str, succeeded_at: float) -> None:
        known_at = self._succeeded_at.get(key, _NEVER)
        self._succeeded_at[key] = max(succeeded_at, known_at)
        self._succeeded_at.move_to_end(key)
        while len(self._succeeded_at) > self._max_keys:
            self._succeeded_at.popitem(last=False)


def _retention_s(verdict: _Verdict) -> float:
    return SUSPECT_RETENTION_S + (QUARANTINES_S[-1] if verdict.quarantine_s else 0.0)


def _probation_s(runs: list[CrashedRun]) -> float:
    longest_s = max(run.ended_at - run.started_at for run in runs)
    return min(MAX_PROBATION_S, _PROBATION_FACTOR * longest_s + _PROBATION_MARGIN_S)
