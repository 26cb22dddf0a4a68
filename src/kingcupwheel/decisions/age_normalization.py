"""Normalizes report ages and uptimes against the rest of the group."""

from __future__ import annotations

from dataclasses import replace
from statistics import median
from typing import TYPE_CHECKING

from kingcupwheel.decisions.candidates import REPORT_FRESH_S
from kingcupwheel.decisions.candidates import SLOW_START_S


if TYPE_CHECKING:
    from collections.abc import Sequence

    from kingcupwheel.decisions.candidates import Candidate


def normalize_ages(candidates: Sequence[Candidate]) -> Sequence[Candidate]:
    """Return the candidates with ages relative to the rest of the group.

    To an entry that has just started or was paused, every server looks just started or
    silent. With their effective capacity cut accordingly all would be full, and the
    entry would refuse its callers for ``SLOW_START_S``. What all servers have in common
    is caused by the entry itself, so only the differences count. The same holds for a
    group that was restarted as a whole: there is no other server to send requests to.
    """
    if not candidates:
        return candidates
    min_report_age_s = min(one.report_age_s for one in candidates)
    median_uptime_s = median(one.uptime_s for one in candidates)
    if min_report_age_s <= REPORT_FRESH_S and median_uptime_s >= SLOW_START_S:
        return candidates
    common_age_s = max(0.0, min_report_age_s - REPORT_FRESH_S)
    uptime_scale = max(1.0, SLOW_START_S / max(median_uptime_s, 1e-3))
    return [
        replace(
            one,
            report_age_s=one.report_age_s - common_age_s,
            uptime_s=max(one.uptime_s, 1e-3) * uptime_scale,
        )
        for one in candidates
    ]
