"""Burn report, merged from the counts of all entries."""

from __future__ import annotations

from collections import Counter
from collections import defaultdict
from typing import TYPE_CHECKING

import msgspec

from kingcupwheel.burn.burn_rates import Alert
from kingcupwheel.burn.burn_rates import compute_burn_rate
from kingcupwheel.burn.burn_rates import determine_alert
from kingcupwheel.burn.entry_counts import POINT_LENGTH_MIN
from kingcupwheel.burn.entry_counts import WINDOWS_MIN
from kingcupwheel.burn.entry_counts import MissCauseCount
from kingcupwheel.burn.goals import Indicator
from kingcupwheel.burn.goals import Scope
from kingcupwheel.burn.goals import ScopeKind
from kingcupwheel.burn.latency_histograms import compute_percentiles
from kingcupwheel.burn.minute_counts import MINUTE_S
from kingcupwheel.burn.minute_counts import EventCount


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from kingcupwheel.burn.entry_counts import EntryCounts
    from kingcupwheel.burn.entry_counts import IndicatorCounts
    from kingcupwheel.burn.entry_counts import MissCause

_MAX_REPORTED_CAUSES = 20


class BurnWindow(msgspec.Struct, frozen=True):
    """Counts over the last ``minutes``; ``rate`` is None without events."""

    minutes: int
    total: int
    bad: int
    rate: float | None


class GoalBurn(msgspec.Struct, frozen=True):
    """Burn rates and alert of one indicator in one scope."""

    kind: ScopeKind
    name: str
    indicator: Indicator
    target: float
    alert: Alert
    windows: tuple[BurnWindow, ...]


class BurnPoint(msgspec.Struct, frozen=True):
    """Burn rate over five minutes from Unix second ``started_at``."""

    started_at: float = msgspec.field(name="at")
    total: int
    bad: int
    rate: float | None


class BurnPlot(msgspec.Struct, frozen=True):
    """Burn rate of all requests over time."""

    indicator: Indicator
    points: tuple[BurnPoint, ...]


class LatencyPercentiles(msgspec.Struct, frozen=True):
    """Percentiles in milliseconds over the last 30 to 60 minutes."""

    indicator: Indicator
    group: str
    recorded: int
    p50_ms: float
    p95_ms: float
    p99_ms: float


class EntryState(msgspec.Struct, frozen=True):
    """An entry that answered; ``counting_since`` is in Unix seconds."""

    process: str
    counting_since: float = msgspec.field(name="since")
    manifest_version: int
    uncounted_requests: int = msgspec.field(name="uncounted")


class BurnReport(msgspec.Struct, frozen=True):
    """Burn rates over all entries.

    ``unanswered`` entries are missing from every figure; ``recently_started`` ones
    have counted for less than the longest window.
    """

    created_at: float = msgspec.field(name="at")
    burns: tuple[GoalBurn, ...]
    miss_causes: tuple[MissCauseCount, ...] = msgspec.field(name="culprits")
    times: tuple[LatencyPercentiles, ...]
    plots: tuple[BurnPlot, ...]
    entries: tuple[EntryState, ...]
    recently_started: tuple[str, ...] = msgspec.field(name="young")
    unanswered: tuple[str, ...] = msgspec.field(name="silent")
    problem: str = msgspec.field(default="", name="trouble")

    @property
    def is_complete(self) -> bool:
        """True if every entry answered."""
        return not self.unanswered and not self.problem


def merge_counts(
    entry_counts: Sequence[EntryCounts],
    *,
    created_at: float,
    unanswered: Iterable[str] = (),
    problem: str = "",
) -> BurnReport:
    """Return the merged report; ``unanswered`` entries did not answer."""
    newest_first = sorted(entry_counts, key=lambda entry: -entry.manifest_version)
    longest_s = max(WINDOWS_MIN) * MINUTE_S
    return BurnReport(
        created_at=created_at,
        burns=_build_burns(newest_first),
        miss_causes=_sum_causes(entry_counts),
        times=_build_percentiles(entry_counts),
        plots=_build_plots(newest_first),
        entries=tuple(_build_entry_state(entry) for entry in entry_counts),
        recently_started=tuple(
            entry.process
            for entry in entry_counts
            if created_at - entry.counting_since < longest_s
        ),
        unanswered=tuple(unanswered),
        problem=problem,
    )


def _build_entry_state(entry: EntryCounts) -> EntryState:
    return EntryState(
        entry.process,
        entry.counting_since,
        entry.manifest_version,
        entry.uncounted_requests,
    )


def _build_burns(newest_first: Sequence[EntryCounts]) -> tuple[GoalBurn, ...]:
    counts_by_key: defaultdict[tuple[Scope, Indicator], list[IndicatorCounts]]
    counts_by_key = defaultdict(list)
    for entry in newest_first:
        for scope in entry.scopes:
            for counts in scope.indicators:
                key = (Scope(scope.kind, scope.name), counts.indicator)
                counts_by_key[key].append(counts)
    burns = (_build_burn(*key, counts) for key, counts in counts_by_key.items())
    return tuple(sorted(burns, key=_get_sort_key))


def _get_sort_key(burn: GoalBurn) -> tuple[int, int, float]:
    alerts = (Alert.FAST, Alert.SLOW, Alert.NONE)
    overall = burn.kind is not ScopeKind.OVERALL
    return overall, alerts.index(burn.alert), -(burn.windows[1].rate or 0.0)


def _build_burn(
    scope: Scope, indicator: Indicator, all_counts: list[IndicatorCounts]
) -> GoalBurn:
    # Entries on an older manifest may have an older target; the newest one applies.
    target = all_counts[0].target
    windows = _sum_columns(counts.windows for counts in all_counts)
    return GoalBurn(
        scope.kind,
        scope.name,
        indicator,
        target,
        determine_alert(windows, target),
        tuple(
            BurnWindow(minutes, *count, compute_burn_rate(count, target))
            for minutes, count in zip(WINDOWS_MIN, windows, strict=True)
        ),
    )


def _sum_columns(rows: Iterable[Sequence[tuple[int, int]]]) -> list[EventCount]:
    columns = zip(*rows, strict=True)
    return [
        EventCount(sum(total for total, _ in column), sum(bad for _, bad in column))
        for column in columns
    ]


def _sum_causes(entry_counts: Iterable[EntryCounts]) -> tuple[MissCauseCount, ...]:
    total: Counter[MissCause] = Counter()
    for entry in entry_counts:
        for item in entry.miss_causes:
            total[item.cause] += item.bad
    worst = total.most_common(_MAX_REPORTED_CAUSES)
    return tuple(MissCauseCount(cause, bad) for cause, bad in worst)


def _build_percentiles(
    entry_counts: Iterable[EntryCounts],
) -> tuple[LatencyPercentiles, ...]:
    histograms = (histogram for entry in entry_counts for histogram in entry.histograms)
    percentiles = compute_percentiles(histograms)
    return tuple(
        LatencyPercentiles(
            key.indicator,
            key.group,
            percentiles[key].recorded,
            percentiles[key].p50_ms,
            percentiles[key].p95_ms,
            percentiles[key].p99_ms,
        )
        for key in sorted(percentiles)
    )


def _build_plots(newest_first: Sequence[EntryCounts]) -> tuple[BurnPlot, ...]:
    bad_by_point: defaultdict[tuple[Indicator, int], EventCount]
    bad_by_point = defaultdict(lambda: EventCount(0, 0))
    target_by_indicator: dict[Indicator, float] = {}
    for entry in newest_first:
        last = int(entry.created_at // (MINUTE_S * POINT_LENGTH_MIN))
        for counts in _iterate_overall(entry):
            target_by_indicator.setdefault(counts.indicator, counts.target)
            first = last - len(counts.points) + 1
            for offset, pair in enumerate(counts.points):
                key = (counts.indicator, first + offset)
                bad_by_point[key] = bad_by_point[key].plus(EventCount(*pair))
    return tuple(
        BurnPlot(indicator, _build_points(indicator, target, bad_by_point))
        for indicator, target in target_by_indicator.items()
    )


def _build_points(
    indicator: Indicator, target: float, counts: dict[tuple[Indicator, int], EventCount]
) -> tuple[BurnPoint, ...]:
    numbers = sorted(number for kind, number in counts if kind is indicator)
    return tuple(
        BurnPoint(
            number * POINT_LENGTH_MIN * MINUTE_S,
            *counts[indicator, number],
            compute_burn_rate(counts[indicator, number], target),
        )
        for number in numbers
    )


def _iterate_overall(entry: EntryCounts) -> Iterable[IndicatorCounts]:
    for scope in entry.scopes:
        if scope.kind is ScopeKind.OVERALL:
            yield from scope.indicators
