"""Counter of an entry's requests against service-level goals.

An entry counts about nine requests a second with 2,300 tokens each at its target load.
Memory must not grow with the number of organisations, routes or reasons: each dimension
is bounded, and requests beyond a bound are counted and reported.
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

# Scopes take 20 KB each. An entry serves a small set of organisations, so that the
# bound only matters if many of them have goals of their own.
MAX_SCOPES = 200
# Causes per ten minutes; further ones are counted together.
MAX_MISS_CAUSES = 200
_MAX_REPORTED_CAUSES = 100
_CAUSE_SLICE_S = 600
_CAUSE_SLICE_COUNT = 6
OTHER_CAUSES = "others"


class BurnCounter:
    """Counts finished requests against goals; thread-safe and never blocks on I/O."""

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
        """Set the goals of a new manifest.

        Earlier counts stay, as they were correct for the goals of their time.
        """
        with self._lock:
            self._goals = goals

    def count_request(
        self, finished_request: FinishedRequest, *, now: float
    ) -> dict[Indicator, EventCount]:
        """Count a finished request; return its counts against its own goals.

        ``now`` is Unix seconds.
        """
        with self._lock:
            self._record_times(finished_request, now)
            return self._count_by_scope(finished_request, now)

    def build_reply(self, *, now: float) -> BurnReply:
        """Return the reply to ``BurnRequest``."""
        return BurnReply(
            self._process, msgspec.msgpack.encode(self.build_counts(now=now))
        )

    def build_counts(self, *, now: float) -> EntryCounts:
        """Return all counts as of ``now``."""
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
        own_counts: dict[Indicator, EventCount] = {}
        applicable_goals = self._goals.list_applicable_goals(
            route=finished_request.route, organisation=finished_request.organisation
        )
        for scope, goals in applicable_goals:
            counts = count_by_indicator(finished_request, goals)
            minute_counts = self._get_counts(scope)
            if minute_counts is None:
                self._uncounted_requests += 1
                continue
            for indicator, count in counts.items():
                minute_counts.add_events(
                    minute, indicator, total=count.total, bad=count.bad
                )
            if scope == OVERALL:
                self._count_causes(finished_request, counts, now)
                own_counts = counts
        return own_counts

    def _get_counts(self, scope: Scope) -> MinuteCounts | None:
        minute_counts = self._counts_by_scope.get(scope)
        if minute_counts is None and len(self._counts_by_scope) < MAX_SCOPES:
            minute_counts = self._counts_by_scope[scope] = MinuteCounts()
        return minute_counts

    def _count_causes(
        self,
        finished_request: FinishedRequest,
        counts: dict[Indicator, EventCount],
        now: float,
    ) -> None:
        causes = self._get_slice(now)
        for indicator, count in counts.items():
            if not count.bad:
                continue
            reason = finished_request.reason
            if indicator is not Indicator.AVAILABILITY:
                reason = "late"
            cause = MissCause(
                indicator,
                finished_request.organisation,
                finished_request.group,
                finished_request.server,
                reason,
            )
            if cause not in causes and len(causes) >= MAX_MISS_CAUSES:
                cause = MissCause(
                    indicator, OTHER_CAUSES, OTHER_CAUSES, OTHER_CAUSES, OTHER_CAUSES
                )
            causes[cause] += count.bad

    def _get_slice(self, now: float) -> Counter[MissCause]:
        slice_number = int(now // _CAUSE_SLICE_S)
        if slice_number not in self._causes_by_slice:
            self._causes_by_slice[slice_number] = Counter()
            for expired in [
                n
                for n in self._causes_by_slice
                if n <= slice_number - _CAUSE_SLICE_COUNT
            ]:
                del self._causes_by_slice[expired]
        return self._causes_by_slice[slice_number]

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
                scope.kind,
                scope.name,
                self._build_indicators(scope, minute_counts, minute),
            )
            for scope, minute_counts in self._counts_by_scope.items()
        )

    def _build_indicators(
        self, scope: Scope, minute_counts: MinuteCounts, minute: int
    ) -> tuple[IndicatorCounts, ...]:
        goals = self._goals.get_goals(scope)
        return tuple(
            IndicatorCounts(
                indicator,
                get_target(goals, indicator),
                tuple(
                    minute_counts.sum_range(
                        indicator, first=minute - length + 1, last=minute
                    )
                    for length in WINDOWS_MIN
                ),
                _build_points(minute_counts, indicator, minute)
                if scope == OVERALL
                else (),
            )
            for indicator in INDICATORS
        )

    def _list_worst_causes(self, now: float) -> tuple[MissCauseCount, ...]:
        self._get_slice(now)
        total: Counter[MissCause] = Counter()
        for causes in self._causes_by_slice.values():
            total.update(causes)
        worst = total.most_common(_MAX_REPORTED_CAUSES)
        return tuple(MissCauseCount(cause, bad) for cause, bad in worst)

    def _encode_histograms(self, now: float) -> tuple[EncodedHistogram, ...]:
        return tuple(
            EncodedHistogram(key.indicator, key.group, payload)
            for key, payload in self._histograms.encode(now=now)
        )


def _build_points(
    minute_counts: MinuteCounts, indicator: Indicator, minute: int
) -> tuple[tuple[int, int], ...]:
    """Return counts of five minutes each, aligned alike on all entries."""
    last = minute // POINT_LENGTH_MIN
    return tuple(
        minute_counts.sum_range(
            indicator,
            first=point * POINT_LENGTH_MIN,
            last=point * POINT_LENGTH_MIN + POINT_LENGTH_MIN - 1,
        )
        for point in range(last - POINT_COUNT + 1, last + 1)
    )
