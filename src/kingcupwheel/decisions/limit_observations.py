"""Order of observations of a server's rate limit. Pure: times are arguments.

Answers arrive out of order, and peers report what they saw with an uncertain age. An
observation therefore has an interval that contains the time at which the server made
its answer. Where two intervals overlap, either may be the newer one, and the lower
limit is used: a limit that is too low costs capacity for the time of one answer, one
that is too high breaks the server's limit.
"""

from __future__ import annotations

import math
from typing import NamedTuple


class LimitObservation(NamedTuple):
    """A limit in requests per second, or None for an answer that names none.

    The answer was made between ``earliest_at`` and ``latest_at`` (monotonic seconds).
    """

    rate: float | None
    earliest_at: float
    latest_at: float

    @property
    def effective_rate(self) -> float:
        """The limit, infinite if there is none."""
        return math.inf if self.rate is None else self.rate


def merge_observations(
    known: LimitObservation, other: LimitObservation
) -> LimitObservation:
    """Return the observation to use after ``other`` in addition to ``known``."""
    if other.earliest_at >= known.latest_at:
        return other
    if other.latest_at <= known.earliest_at:
        return known
    if other.effective_rate > known.effective_rate:
        return known
    return LimitObservation(
        other.rate,
        max(known.earliest_at, other.earliest_at),
        max(known.latest_at, other.latest_at),
    )
