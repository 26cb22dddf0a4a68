"""Ages that tell of the servers, not of the entry that sees them."""

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
    """Return the candidates with ages as seen beside the rest of the group.

    Load: an entry that has just started, or was paused, under the usual load. Failure:
    every server looks just started, or silent. Symptom: with so little room counted on
    all are full, and callers are refused for ``SLOW_START_S`` at each new entry. What
    all servers have in common is the entry's own doing; only the difference counts. A
    group that was restarted as a whole has no other servers to wait for either.
    """
    if not candidates:
        return candidates
    least_heard_s = min(one.report_age_s for one in candidates)
    typical_s = median(one.uptime_s for one in candidates)
    if least_heard_s <= REPORT_FRESH_S and typical_s >= SLOW_START_S:
        return candidates
    common_s = max(0.0, least_heard_s - REPORT_FRESH_S)
    stretch = max(1.0, SLOW_START_S / max(typical_s, 1e-3))
    return [
        replace(
            one,
            report_age_s=one.report_age_s - common_s,
            uptime_s=max(one.uptime_s, 1e-3) * stretch,
        )
        for one in candidates
    ]
