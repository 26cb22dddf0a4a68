"""Conversion of suspicions between times on this process's clock and ages."""

from __future__ import annotations

from kingcupwheel.decisions.crash_suspects import SuspicionRecord
from kingcupwheel.decisions.crashed_runs import CrashedRun
from kingcupwheel.decisions.trial_claims import TrialClaim
from kingcupwheel.messages.membership import CrashedRunReport
from kingcupwheel.messages.membership import SuspicionReport


_NEVER = float("-inf")
_UNKNOWN_AGE_S = -1.0


def build_suspicion_report(record: SuspicionRecord, now: float) -> SuspicionReport:
    """Return the report of a record, with ages in place of times."""
    has_succeeded = record.succeeded_at > _NEVER
    return SuspicionReport(
        record.key,
        tuple(
            CrashedRunReport(
                run.crash_id, now - run.started_at, now - run.ended_at, run.is_trial
            )
            for run in record.runs
        ),
        now - record.succeeded_at if has_succeeded else _UNKNOWN_AGE_S,
        max(0.0, record.claim.held_until - now),
        record.claim.owner,
        record.claim.has_begun,
    )


def read_suspicion_report(
    report: SuspicionReport, now: float, max_transit_s: float
) -> SuspicionRecord:
    """Return the record of a report that was written at most ``max_transit_s`` ago.

    Starts and successes are as early as is possible, ends as late: the entry must not
    take two crashes for separate ones because a report was delayed.
    """
    return SuspicionRecord(
        report.key,
        tuple(
            CrashedRun(
                run.crash_id,
                now - run.started_age_s - max_transit_s,
                now - run.ended_age_s,
                run.is_trial,
            )
            for run in report.runs
        ),
        now - report.success_age_s - max_transit_s
        if report.success_age_s >= 0.0
        else _NEVER,
        TrialClaim(report.holder, now + report.held_s, report.has_begun),
    )
