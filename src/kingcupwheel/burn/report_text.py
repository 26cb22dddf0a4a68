"""Text output of a burn report: tables for a terminal."""

from __future__ import annotations

from datetime import UTC
from datetime import datetime
from typing import TYPE_CHECKING

from kingcupwheel.burn.burn_rates import Alert
from kingcupwheel.burn.goals import ScopeKind


if TYPE_CHECKING:
    from collections.abc import Sequence

    from kingcupwheel.burn.burn_report import BurnReport
    from kingcupwheel.burn.burn_report import BurnWindow
    from kingcupwheel.burn.burn_report import GoalBurn

BURN_COLUMNS = (
    "goals of",
    "indicator",
    "target",
    "5 min",
    "1 h",
    "30 min",
    "6 h",
    "alert",
)
CAUSE_COLUMNS = ("indicator", "organisation", "group", "server", "reason", "bad, 1 h")
LATENCY_COLUMNS = ("indicator", "group", "times", "p50 ms", "p95 ms", "p99 ms")


def format_report(report: BurnReport) -> str:
    """Return the report as text."""
    created_at = f"{format_utc(report.created_at)} UTC"
    blocks = [
        f"Service-level burn over {len(report.entries)} entries at {created_at}",
        "\n".join(list_notes(report)),
        "Burn rate (1 uses up the budget exactly):\n"
        + format_table(BURN_COLUMNS, build_burn_rows(report)),
        "What burned the budgets in the last hour:\n"
        + format_table(CAUSE_COLUMNS, build_cause_rows(report)),
        "Times over the last half hour to hour:\n"
        + format_table(LATENCY_COLUMNS, build_latency_rows(report)),
    ]
    return "\n\n".join(block for block in blocks if block)


def list_notes(report: BurnReport) -> list[str]:
    """Return the limitations of the figures, one sentence each."""
    lines = []
    if report.unanswered:
        names = ", ".join(report.unanswered)
        lines.append(f"INCOMPLETE: no answer from {names}; their requests are missing.")
    if report.problem:
        lines.append(f"INCOMPLETE: {report.problem}")
    if report.recently_started:
        since_by_process = {
            entry.process: entry.counting_since for entry in report.entries
        }
        recently_started = ", ".join(
            f"{name} (since {format_utc(since_by_process[name])})"
            for name in report.recently_started
        )
        lines.append(f"Counting for less than six hours: {recently_started}.")
    uncounted_requests = sum(entry.uncounted_requests for entry in report.entries)
    if uncounted_requests:
        lines.append(
            f"{uncounted_requests} requests found no room under their own goals."
        )
    return lines


def build_burn_rows(report: BurnReport) -> list[tuple[str, ...]]:
    """Return the rows of the burn table."""
    return [
        (
            format_scope(burn),
            burn.indicator.value,
            f"{100 * burn.target:g}%",
            *(format_rate(window) for window in burn.windows),
            "-" if burn.alert is Alert.NONE else burn.alert.value,
        )
        for burn in report.burns
    ]


def build_cause_rows(report: BurnReport) -> list[tuple[str, ...]]:
    """Return the rows of the table of miss causes."""
    return [
        (
            item.cause.indicator.value,
            item.cause.organisation,
            item.cause.group,
            item.cause.server or "-",
            item.cause.reason,
            str(item.bad),
        )
        for item in report.miss_causes
    ]


def build_latency_rows(report: BurnReport) -> list[tuple[str, ...]]:
    """Return the rows of the latency table."""
    return [
        (
            item.indicator.value,
            item.group,
            str(item.recorded),
            *(f"{value:.1f}" for value in (item.p50_ms, item.p95_ms, item.p99_ms)),
        )
        for item in report.times
    ]


def format_table(columns: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return aligned columns, or "nothing" without rows."""
    if not rows:
        return "  nothing"
    widths = [max(map(len, column)) for column in zip(columns, *rows, strict=True)]
    lines = [
        "  "
        + "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in (columns, *rows)
    ]
    return "\n".join(line.rstrip() for line in lines)


def format_utc(time_s: float) -> str:
    """Return Unix seconds as date and time in UTC."""
    return datetime.fromtimestamp(time_s, tz=UTC).strftime("%Y-%m-%d %H:%M")


def format_scope(burn: GoalBurn) -> str:
    """Return the name of the scope."""
    if burn.kind is ScopeKind.OVERALL:
        return "all requests"
    return f"{burn.kind.value} {burn.name}"


def format_rate(window: BurnWindow) -> str:
    """Return a burn rate with its counts."""
    if window.rate is None:
        return "none"
    return f"{window.rate:.2f} ({window.bad}/{window.total})"
