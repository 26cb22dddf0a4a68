"""Latency histograms (HdrHistogram), which merge across entries without loss.

Values are in half milliseconds, so that two significant digits resolve times around a
goal of 32 ms between tokens.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from kingcupwheel.burn.goals import Indicator


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from kingcupwheel.burn.entry_counts import EncodedHistogram

UNITS_PER_S = 2000
# Ten minutes; longer times are clamped.
_MAX_UNITS = 600 * UNITS_PER_S
_SIGNIFICANT_DIGITS = 2
# A histogram covers the current span and the one before.
SPAN_S = 1800
# Five models are in steady use; groups past the bound share one histogram.
_MAX_GROUPS = 16
OTHER_GROUPS = "other groups"


class HistogramKey(NamedTuple):
    """The indicator and group whose times a histogram contains."""

    indicator: Indicator
    group: str


class Percentiles(NamedTuple):
    """Percentiles in milliseconds of ``recorded`` times."""

    recorded: int
    p50_ms: float
    p95_ms: float
    p99_ms: float


class LatencyHistograms:
    """Histograms of the last 30 to 60 minutes, for a bounded number of groups."""

    def __init__(self) -> None:
        self._span = -1
        self._current: dict[HistogramKey, HdrHistogram] = {}
        self._previous: dict[HistogramKey, HdrHistogram] = {}

    def record_times(
        self, indicator: Indicator, group: str, times_s: Sequence[float], *, now: float
    ) -> None:
        """Record times in seconds; ``now`` is Unix seconds."""
        self._rotate(now)
        histogram = self._get_histogram(HistogramKey(indicator, group))
        for value, count in Counter(map(_units, times_s)).items():
            histogram.record_value(value, count)

    def encode(self, *, now: float) -> tuple[tuple[HistogramKey, bytes], ...]:
        """Return the histograms in the library's own compressed encoding."""
        self._rotate(now)
        keys = sorted(set(self._current) | set(self._previous))
        return tuple((key, self._encode_histogram(key)) for key in keys)

    def _rotate(self, now: float) -> None:
        span = int(now // SPAN_S)
        if span == self._span:
            return
        self._previous = self._current if span == self._span + 1 else {}
        self._current = {}
        self._span = span

    def _get_histogram(self, key: HistogramKey) -> HdrHistogram:
        if key not in self._current and len(self._current) >= _MAX_GROUPS * len(
            Indicator
        ):
            key = HistogramKey(key.indicator, OTHER_GROUPS)
        return self._current.setdefault(key, _create_histogram())

    def _encode_histogram(self, key: HistogramKey) -> bytes:
        merged = _create_histogram()
        for histograms in (self._previous, self._current):
            if key in histograms:
                merged.add(histograms[key])
        payload: bytes = merged.encode()
        return payload


def compute_percentiles(
    histograms: Iterable[EncodedHistogram],
) -> dict[HistogramKey, Percentiles]:
    """Return the percentiles of merged histograms, by indicator and group."""
    merged: dict[HistogramKey, HdrHistogram] = {}
    for encoded in histograms:
        key = HistogramKey(encoded.indicator, encoded.group)
        merged.setdefault(key, _create_histogram()).decode_and_add(encoded.payload)
    return {key: _read_percentiles(histogram) for key, histogram in merged.items()}


def _create_histogram() -> HdrHistogram:
    return HdrHistogram(1, _MAX_UNITS, _SIGNIFICANT_DIGITS)


def _units(time_s: float) -> int:
    return min(max(1, round(time_s * UNITS_PER_S)), _MAX_UNITS)


def _read_percentiles(histogram: HdrHistogram) -> Percentiles:
    units_per_ms = UNITS_PER_S / 1000
    p50, p95, p99 = (
        histogram.get_value_at_percentile(percentile) / units_per_ms
        for percentile in (50, 95, 99)
    )
    return Percentiles(histogram.get_total_count(), p50, p95, p99)
