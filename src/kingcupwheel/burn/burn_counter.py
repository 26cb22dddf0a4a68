"""Counts of one entry: how requests met their service-level goals.

Load: every request of an entry, about nine a second with 2,300 tokens at the target
size. Harm prevented: an entry whose memory grows with organisations, routes or
reasons; each dimension is bounded and what finds no room is counted and told.
"""

from __future__ import annotations

from collections import Counter
from threading import Lock
from typing import TYPE_CHECKING

import msgspec

from kingcupwheel.burn.entry_counts import POINT_COUNT
from kingcupwheel.burn.entry_counts import POINT_LENGTH_MIN
from kingcupwheel.burn.entry_counts import WINDOWS_MIN
from kingcupwheel.burn.entry_counts import EncodedHistogram
from kingcupwheel.burn.entry_counts import EntryCounts
from kingcupwheel.burn.entry_counts import IndicatorCounts
from kingcupwheel.burn.entry_counts import MissCause
from kingcupwheel.burn.entry_counts import MissCauseCount
from kingcupwheel.burn.entry_counts import ScopeCounts
from kingcupwheel.burn.finished_request import count_by_indicator
from kingcupwheel.burn.goals import INDICATORS
from kingcupwheel.burn.goals import OVERALL
from kingcupwheel.burn.goals import Indicator
from kingcupwheel.burn.goals import Scope
from kingcupwheel.burn.goals import get_target
from kingcupwheel.burn.latency_histograms import LatencyHistograms
from kingcupwheel.burn.minute_counts import MINUTE_S
from kingcupwheel.burn.minute_counts import MinuteCounts
from kingcupwheel.messages.traces import BurnReply


if TYPE_CHECKING:
    from kingcupwheel.burn.finished_request import FinishedRequest
    from kingcupwheel.burn.goals import BurnGoals
    from kingcupwheel.burn.minute_counts import EventCount

# Scopes with goals of their own that one entry counts; 20 KB each. An entry serves a
# small set of organisations, so that it only bites if many of them have own goals.
MAX_SCOPES = 200
# Culprits told apart in ten minutes; the rest is counted as one.
MAX_MISS_CAUSES = 200
# Culprits sent in one answer, the worst first.
_MAX_REPORTED_CAUSES = 100
_CAUSE_SLICE_S = 600
_CAUSE_SLICE_COUNT = 6
OTHER_CAUSES = "others"


class BurnCounter:
    """Counts finished requests against goals; safe from any thread, never blocks."""

    def __init__(self, process: str, goals: BurnGoals, *, now: float) -> None:
        self._process = process
        self._goals = goals
        self._started_at = now
        self._counts_by_scope: dict[Scope, MinuteCounts] = {OVERALL: MinuteCounts()}
        self._causes_by_slice: dict[int, Counter[MissCause]] = {}
        self._histograms = LatencyHistograms()
        self._uncounted_requests = 0
        self._lock = Lock()

    def set_goals(self, goals: BurnGoals) -> None:
        """Hold requests to the goals of a new manifest from now on.

        Counts made against earlier goals stay: they were true when they were made.
        """
        with self._lock:
            self._goals = goals

    def count_request(
        self, finished_request: FinishedRequest, *, now: float
    ) -> dict[Indicator, EventCount]:
        """Count a finished request and return how it met its own goals.

        ``now`` is Unix seconds.
        """
        with self._lock:
            self._record_times(finished_request, now)
            return self._count_by_scope(finished_request, now)

    def build_reply(self, *, now: float) -> BurnReply:
        """Answer ``BurnRequest``."""
        return BurnReply(
            self._process, msgspec.msgpack.encode(self.build_counts(now=now))
        )

    def build_counts(self, *, now: float) -> EntryCounts:
        """Return everything counted, as of ``now``."""
        with self._lock:
            return EntryCounts(
                self._process,
                now,
                self._started_at,
                self._goals.version,
                self._build_scopes(int(now // MINUTE_S)),
                self._list_worst_causes(now),
                self._encode_histograms(now),
                self._uncounted_requests,
            )

    def _count_by_scope(
        self, finished_request: FinishedRequest, now: float
    ) -> dict[Indicator, EventCount]:
        minute = int(now // MINUTE_S)
        own: dict[Indicator, EventCount] = {}
        held = self._goals.list_applicable_goals(
            route=finished_request.route, organisation=finished_request.organisation
        )
        for scope, goals in held:
            counts = count_by_indicator(finished_request, goals)
            tally = self._get_counts(scope)
            if tally is None:
                self._uncounted_requests += 1
                continue
            for indicator, count in counts.items():
                tally.add_events(minute, indicator, total=count.total, bad=count.bad)
            if scope == OVERALL:
                self._count_causes(finished_request, counts, now)
                own = counts
        return own

    def _get_counts(self, scope: Scope) -> MinuteCounts | None:
        tally = self._counts_by_scope.get(scope)
        if tally is None and len(self._counts_by_scope) < MAX_SCOPES:
            tally = self._counts_by_scope[scope] = MinuteCounts()
        return tally

    def _count_causes(
        self,
        finished_request: FinishedRequest,
        counts: dict[Indicator, EventCount],
        now: float,
    ) -> None:
        culprits = self._get_slice(now)
        for indicator, count in counts.items():
            if not count.bad:
                continue
            reason = finished_request.reason
            if indicator is not Indicator.AVAILABILITY:
                reason = "late"
            culprit = MissCause(
                indicator,
                finished_request.organisation,
                finished_request.group,
                finished_request.server,
                reason,
            )
            if culprit not in culprits and len(culprits) >= MAX_MISS_CAUSES:
                culprit = MissCause(
                    indicator, OTHER_CAUSES, OTHER_CAUSES, OTHER_CAUSES, OTHER_CAUSES
                )
            culprits[culprit] += count.bad

    def _get_slice(self, now: float) -> Counter[MissCause]:
        number = int(now // _CAUSE_SLICE_S)
        if number not in self._causes_by_slice:
            self._causes_by_slice[number] = Counter()
            for old in [
                n for n in self._causes_by_slice if n <= number - _CAUSE_SLICE_COUNT
            ]:
                del self._causes_by_slice[old]
        return self._causes_by_slice[number]

    def _record_times(self, finished_request: FinishedRequest, now: float) -> None:
        group = finished_request.group
        if finished_request.first_byte_s is not None:
            times_s = (finished_request.first_byte_s,)
            self._histograms.record_times(
                Indicator.FIRST_TOKEN, group, times_s, now=now
            )
        if finished_request.gaps_s:
            gaps_s = finished_request.gaps_s
            self._histograms.record_times(Indicator.TOKEN_GAP, group, gaps_s, now=now)

    def _build_scopes(self, minute: int) -> tuple[ScopeCounts, ...]:
        return tuple(
            ScopeCounts(
                scope.kind, scope.name, self._build_indicators(scope, tally, minute)
            )
            for scope, tally in self._counts_by_scope.items()
        )

    def _build_indicators(
        self, scope: Scope, tally: MinuteCounts, minute: int
    ) -> tuple[IndicatorCounts, ...]:
        goals = self._goals.get_goals(scope)
        return tuple(
            IndicatorCounts(
                indicator,
                get_target(goals, indicator),
                tuple(
                    tally.sum_range(indicator, first=minute - length + 1, last=minute)
                    for length in WINDOWS_MIN
                ),
                _build_points(tally, indicator, minute) if scope == OVERALL else (),
            )
            for indicator in INDICATORS
        )

    def _list_worst_causes(self, now: float) -> tuple[MissCauseCount, ...]:
        self._get_slice(now)
        total: Counter[MissCause] = Counter()
        for culprits in self._causes_by_slice.values():
            total.update(culprits)
        told = total.most_common(_MAX_REPORTED_CAUSES)
        return tuple(MissCauseCount(culprit, bad) for culprit, bad in told)

    def _encode_histograms(self, now: float) -> tuple[EncodedHistogram, ...]:
        return tuple(
            EncodedHistogram(key.indicator, key.group, payload)
            for key, payload in self._histograms.encode(now=now)
        )


def _build_points(
    tally: MinuteCounts, indicator: Indicator, minute: int
) -> tuple[tuple[int, int], ...]:
    """Return counts of five minutes each; points of all entries start alike."""
    last = minute // POINT_LENGTH_MIN
    return tuple(
        tally.sum_range(
            indicator,
            first=point * POINT_LENGTH_MIN,
            last=point * POINT_LENGTH_MIN + POINT_LENGTH_MIN - 1,
        )
        for point in range(last - POINT_COUNT + 1, last + 1)
    )
