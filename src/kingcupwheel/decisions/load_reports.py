"""Checks what servers report against what this entry knows to be there."""

from __future__ import annotations

from dataclasses import replace
from statistics import median
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Sequence

    from kingcupwheel.decisions.candidates import Candidate


# A report is doubted when it holds less than this part of what the entry's own attempts
# there lead to expect. Not more: entries send to a server unevenly, and a report that
# is right is the best there is.
_MIN_PLAUSIBLE_FRACTION = 1 / 3

# With fewer own attempts on a server nothing can be expected of its report.
_MIN_OWN_ATTEMPTS = 2


def correct_load_reports(candidates: Sequence[Candidate]) -> list[Candidate]:
    """Return the candidates with reports that are far too low raised.

    Load: a server whose report is wrong, such as one that always says it is idle.
    Harm prevented: every entry gives it whatever the two choices allow, and callers
    wait there while others idle. Symptom seen by the entry: its own attempts there grow
    far beyond the part of the load that it has on the other servers. The group's median
    of load over own attempts says what a report should be at least.
    """
    scales = [
        (one.running + one.queued) / one.own_in_flight_at_report
        for one in candidates
        if one.own_in_flight_at_report >= _MIN_OWN_ATTEMPTS
    ]
    if not scales:
        return list(candidates)
    scale = max(1.0, median(scales))
    return [_correct_load_report(one, scale) for one in candidates]


def _correct_load_report(candidate: Candidate, scale: float) -> Candidate:
    if candidate.own_in_flight_at_report < _MIN_OWN_ATTEMPTS:
        return candidate
    expected = candidate.own_in_flight_at_report * scale
    if candidate.running + candidate.queued >= expected * _MIN_PLAUSIBLE_FRACTION:
        return candidate
    return replace(candidate, running=round(expected), queued=0)
