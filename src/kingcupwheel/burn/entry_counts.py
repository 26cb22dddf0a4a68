"""Wire format of an entry's counts against service-level goals."""

from __future__ import annotations

from typing import Any

import msgspec

from kingcupwheel.burn.goals import Indicator
from kingcupwheel.burn.goals import ScopeKind


# Windows in minutes: the fast pair, then the slow pair, of the "multiwindow,
# multi-burn-rate alerts" of the Site Reliability Workbook, chapter 5.
WINDOWS_MIN = (5, 60, 30, 360)
# The plot covers the longest window.
POINT_LENGTH_MIN = 5
POINT_COUNT = 72


class IndicatorCounts(msgspec.Struct, frozen=True, array_like=True):
    """Counts of one indicator of one scope.

    ``windows`` are pairs of total and bad, in the order of ``WINDOWS_MIN``; ``points``
    are such pairs, oldest first, and only sent for the overall scope. ``target`` is the
    required share of good events.
    """

    indicator: Indicator
    target: float
    windows: tuple[tuple[int, int], ...]
    points: tuple[tuple[int, int], ...] = ()


class ScopeCounts(msgspec.Struct, frozen=True, array_like=True):
    """Counts of one scope."""

    kind: ScopeKind
    name: str
    indicators: tuple[IndicatorCounts, ...]


class MissCause(msgspec.Struct, frozen=True, array_like=True):
    """What missed a goal, and for which reason."""

    indicator: Indicator
    organisation: str
    group: str
    server: str
    reason: str


class MissCauseCount(msgspec.Struct, frozen=True, array_like=True):
    """The number of bad events of the last hour with the same cause."""

    cause: MissCause = msgspec.field(name="culprit")
    bad: int


class EncodedHistogram(msgspec.Struct, frozen=True, array_like=True):
    """Times of one indicator and group; ``payload`` is an encoded HdrHistogram."""

    indicator: Indicator
    group: str
    payload: bytes


class EntryCounts(msgspec.Struct, frozen=True, array_like=True):
    """One entry's counts.

    ``created_at`` and ``counting_since`` are Unix seconds. ``uncounted_requests`` is
    the number of requests that were not counted in a scope of their own, for lack of
    room.
    """

    process: str
    created_at: float = msgspec.field(name="at")
    counting_since: float = msgspec.field(name="since")
    manifest_version: int
    scopes: tuple[ScopeCounts, ...]
    miss_causes: tuple[MissCauseCount, ...] = msgspec.field(name="culprits")
    histograms: tuple[EncodedHistogram, ...]
    uncounted_requests: int = msgspec.field(default=0, name="uncounted")


ENTRY_COUNTS_DECODER: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(
    EntryCounts
)
