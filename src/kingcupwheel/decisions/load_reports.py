"""Corrects load reports that contradict this entry's own attempts."""

from __future__ import annotations

from dataclasses import replace
from statistics import median
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Sequence

    from kingcupwheel.decisions.candidates import Candidate


# A report below this fraction of the load expected from the entry's own attempts is
# corrected. A larger fraction would correct valid reports, since entries use a server
# unevenly, and a valid report is the best information there is.
_MIN_PLAUSIBLE_FRACTION = 1 / 3

# With fewer own attempts on a server, its expected load is unknown.
_MIN_OWN_ATTEMPTS = 2


def correct_load_reports(candidates: Sequence[Candidate]) -> list[Candidate]:
    """Return the candidates with implausibly low load reports raised.

    A server that always reports to be idle would be preferred by every entry, and
    requests would wait there while others are idle. The entry can detect this, because
    its own attempts there are far above its share of the load on other servers. The
    group's median ratio of reported load to own attempts gives the expected report.
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
