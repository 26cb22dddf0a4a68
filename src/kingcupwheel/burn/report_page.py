"""HTML page of a burn report, without external files."""

from __future__ import annotations

from html import escape
from typing import TYPE_CHECKING

from kingcupwheel.burn.burn_rates import FAST_BURN_RATE
from kingcupwheel.burn.burn_rates import SLOW_BURN_RATE
from kingcupwheel.burn.report_text import BURN_COLUMNS
from kingcupwheel.burn.report_text import CAUSE_COLUMNS
from kingcupwheel.burn.report_text import LATENCY_COLUMNS
from kingcupwheel.burn.report_text import build_burn_rows
from kingcupwheel.burn.report_text import build_cause_rows
from kingcupwheel.burn.report_text import build_latency_rows
from kingcupwheel.burn.report_text import format_utc
from kingcupwheel.burn.report_text import list_notes


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from kingcupwheel.burn.burn_report import BurnPlot
    from kingcupwheel.burn.burn_report import BurnReport

_WIDTH, _HEIGHT = 900, 300
_LEFT_MARGIN, _RIGHT_MARGIN, _TOP_MARGIN, _BOTTOM_MARGIN = 50, 20, 20, 40
# Burn rates reach a thousand; higher ones than this are drawn at the top.
_MAX_PLOTTED_RATE = 20.0
_COLOURS = ("#1f5fa8", "#c4532b", "#3d8a4e")
_TIME_MARK_COUNT = 6
_STYLE = """
body { font: 15px/1.45 system-ui, sans-serif; margin: 2em auto; max-width: 960px;
  padding: 0 1em; color: #222; background: #fff; }
h1 { font-size: 1.5em; } h2 { font-size: 1.15em; margin-top: 1.8em; }
table { border-collapse: collapse; width: 100%; }
th, td { text-align: left; padding: 4px 10px 4px 0; border-bottom: 1px solid #ddd;
  font-variant-numeric: tabular-nums; }
tr.fast td { background: #fbe3dc; } tr.slow td { background: #fdf3d8; }
p.note { background: #fdf3d8; padding: 6px 10px; margin: 6px 0; }
svg text { font: 12px system-ui, sans-serif; fill: #444; }
"""


def render_page(report: BurnReport) -> str:
    """Return the page as HTML."""
    title = f"Service-level burn at {format_utc(report.created_at)} UTC"
    row_classes = [row[-1] for row in build_burn_rows(report)]
    return "\n".join(
        (
            "<!doctype html>",
            '<html lang="en"><head><meta charset="utf-8">',
            f"<title>{escape(title)}</title><style>{_STYLE}</style></head><body>",
            f"<h1>{escape(title)}</h1>",
            f"<p>{len(report.entries)} entries answered.</p>",
            *(f'<p class="note">{escape(note)}</p>' for note in list_notes(report)),
            "<h2>Burn rate over the last six hours, all requests</h2>",
            _render_plot(report.plots),
            "<h2>Burn rates (1 uses up the budget exactly)</h2>",
            _render_table(BURN_COLUMNS, build_burn_rows(report), row_classes),
            "<h2>What burned the budgets in the last hour</h2>",
            _render_table(CAUSE_COLUMNS, build_cause_rows(report)),
            "<h2>Times over the last half hour to hour</h2>",
            _render_table(LATENCY_COLUMNS, build_latency_rows(report)),
            "</body></html>",
        )
    )


def _render_table(
    columns: Sequence[str],
    rows: Sequence[Sequence[str]],
    row_classes: Sequence[str] = (),
) -> str:
    if not rows:
        return "<p>Nothing.</p>"
    classes = row_classes or [""] * len(rows)
    lines = [_render_row("th", columns, "")]
    lines += [
        _render_row("td", row, css_class)
        for row, css_class in zip(rows, classes, strict=True)
    ]
    return "<table>" + "\n".join(lines) + "</table>"


def _render_row(tag: str, cells: Iterable[str], css_class: str) -> str:
    inner = "".join(f"<{tag}>{escape(cell)}</{tag}>" for cell in cells)
    return f'<tr class="{escape(css_class)}">{inner}</tr>'


def _render_plot(plots: Sequence[BurnPlot]) -> str:
    times_s = [point.started_at for plot in plots for point in plot.points]
    if not times_s:
        return "<p>No counts.</p>"
    first, last = min(times_s), max(times_s)
    parts = [
        f'<svg viewBox="0 0 {_WIDTH} {_HEIGHT}" role="img" '
        'aria-label="Burn rate over time">',
        *(
            _render_rate_mark(rate)
            for rate in (0.0, 1.0, SLOW_BURN_RATE, FAST_BURN_RATE)
        ),
        *_render_time_marks(first, last),
    ]
    for index, plot in enumerate(plots):
        colour = _COLOURS[index % len(_COLOURS)]
        parts.append(_render_line(plot, colour, first, last))
        x = _LEFT_MARGIN + 10 + 170 * index
        parts.append(
            f'<rect x="{x}" y="4" width="12" height="12" fill="{colour}"/>'
            f'<text x="{x + 18}" y="14">{escape(plot.indicator.value)}</text>'
        )
    return "\n".join((*parts, "</svg>"))


def _render_rate_mark(rate: float) -> str:
    y = _scale_rate(rate)
    return (
        f'<line x1="{_LEFT_MARGIN}" x2="{_WIDTH - _RIGHT_MARGIN}" '
        f'y1="{y:.1f}" y2="{y:.1f}" '
        f'stroke="#ccc" stroke-dasharray="4 3"/>'
        f'<text x="{_LEFT_MARGIN - 6}" y="{y + 4:.1f}" '
        f'text-anchor="end">{rate:g}</text>'
    )


def _render_time_marks(first: float, last: float) -> list[str]:
    step = (last - first) / _TIME_MARK_COUNT
    times_s = [first + step * index for index in range(_TIME_MARK_COUNT + 1)]
    return [
        f'<text x="{_scale_time(at, first, last):.1f}" y="{_HEIGHT - 14}" '
        f'text-anchor="middle">{format_utc(at)[-5:]}</text>'
        for at in times_s
    ]


def _render_line(plot: BurnPlot, colour: str, first: float, last: float) -> str:
    """Return a line that is interrupted where nothing was counted."""
    commands = []
    command = "M"
    for point in plot.points:
        if point.rate is None:
            command = "M"
            continue
        x, y = _scale_time(point.started_at, first, last), _scale_rate(point.rate)
        # A single point between two gaps is invisible without a length.
        commands.append(
            f"{command}{x:.1f} {y:.1f}" + ("h0.1" if command == "M" else "")
        )
        command = "L"
    return (
        f'<path d="{" ".join(commands)}" fill="none" stroke="{colour}" '
        f'stroke-width="2" stroke-linecap="round"/>'
    )


def _scale_time(time_s: float, first: float, last: float) -> float:
    share = (time_s - first) / (last - first) if last > first else 0.0
    return _LEFT_MARGIN + share * (_WIDTH - _LEFT_MARGIN - _RIGHT_MARGIN)


def _scale_rate(rate: float) -> float:
    share = min(rate, _MAX_PLOTTED_RATE) / _MAX_PLOTTED_RATE
    return _TOP_MARGIN + (1 - share) * (_HEIGHT - _TOP_MARGIN - _BOTTOM_MARGIN)
