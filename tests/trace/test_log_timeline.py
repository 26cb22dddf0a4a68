from __future__ import annotations

import json
from typing import TYPE_CHECKING

from click.testing import CliRunner

from kingcupwheel.console.commands.trace import command
from kingcupwheel.trace.log_timeline import build_log_timeline
from kingcupwheel.trace.log_timeline import format_log_timeline


if TYPE_CHECKING:
    from pathlib import Path


def build_log_line(at: float, part: str, event: str, **fields: object) -> str:
    head = {"t": at, "process": "entry-1", "part": part, "level": "info"}
    return json.dumps({**head, "event": event, **fields})


LINES = [
    build_log_line(90.0, "store", "configuration-adopted", version=2),
    build_log_line(99.0, "store", "store-lost", kind="config", why="silent"),
    "a collector's own words",
    build_log_line(
        100.0, "requests", "placed", id="a1", server="i-1", send=1, waited_s=0.1
    ),
    build_log_line(100.4, "requests", "send-ended", id="a1", server="i-1", came="lost"),
    build_log_line(
        100.4, "requests", "finished", id="a1", status=502, how="answer-lost", ran=1
    ),
    build_log_line(101.0, "requests", "finished", id="b2", status=200, how="whole"),
]


def test_log_timeline_has_request_lines_and_context_lines() -> None:
    timeline = build_log_timeline("a1", LINES)

    assert [line.event for line in timeline.lines] == [
        "placed",
        "send-ended",
        "finished",
    ]
    assert [line.event for line in timeline.beliefs] == ["store-lost"]
    assert timeline.gaps == ()
    assert "Ended with status 502 (answer-lost)" in format_log_timeline(timeline)


def test_missing_end_is_reported_as_gap() -> None:
    timeline = build_log_timeline("a1", LINES[:4])

    assert timeline.gaps == ("its end: the process died, or later lines are not here",)


def test_request_cut_by_planned_stop_is_complete() -> None:
    cut_line = build_log_line(
        102.0, "requests", "cut-by-stop", id="a1", came_after_s=4.9, took_s=1.6
    )

    timeline = build_log_timeline("a1", [*LINES[:4], cut_line])

    assert timeline.gaps == ()
    assert "it came 4.9 s after the signal to stop" in format_log_timeline(timeline)


def test_collector_prefix_before_json_is_skipped() -> None:
    timeline = build_log_timeline("b2", [f"12:00:01 entry-1 {line}" for line in LINES])

    assert len(timeline.lines) == 1


def test_command_reads_log_files_and_sets_exit_code(tmp_path: Path) -> None:
    log = tmp_path / "entry.log"
    log.write_text("\n".join(LINES), encoding="utf-8")

    whole = CliRunner().invoke(command, ["a1", "--logs", str(log)])
    nothing = CliRunner().invoke(command, ["zz", "--logs", str(log)])

    assert whole.exit_code == 0
    assert "Placed on i-1" in whole.output
    assert nothing.exit_code == 6
    assert "no line names this request" in nothing.output
