from __future__ import annotations

import json
import re
from typing import TYPE_CHECKING

import pytest
from click.testing import CliRunner

from kingcupwheel.burn.burn_report import merge_counts
from kingcupwheel.burn.report_page import render_page
from kingcupwheel.burn.report_text import format_report
from kingcupwheel.console.application import main
from kingcupwheel.console.commands import report
from kingcupwheel.console.exit_codes import ExitCode
from kingcupwheel.link.hub import MessageHub
from kingcupwheel.messages.traces import BurnRequest
from tests.burn.builders import NOW
from tests.burn.builders import build_counter
from tests.burn.builders import build_finished_request
from tests.burn.builders import build_unknown_request
from tests.trace.builders import MemoryPlatform


if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

    from kingcupwheel.link.links import Link
    from kingcupwheel.messages.base import Message


def test_caller_names_are_escaped_in_page() -> None:
    counter = build_counter()
    counter.count_request(
        build_unknown_request(organisation="<script>alert(1)</script>"), now=NOW
    )
    page = render_page(merge_counts([counter.build_counts(now=NOW)], created_at=NOW))

    assert "<script" not in page
    assert "&lt;script&gt;alert(1)&lt;/script&gt;" in page


def test_page_is_self_contained_with_plots() -> None:
    counter = build_counter(now=NOW - 3600)
    for minute in range(60):
        counter.count_request(build_finished_request(), now=NOW - 3600 + 60 * minute)
    page = render_page(merge_counts([counter.build_counts(now=NOW)], created_at=NOW))

    assert page.count("<path d=") == 3
    assert not re.search(r"(src|href)=|url\(|@import", page)


def test_text_names_recently_started_and_unanswered_entries() -> None:
    report = merge_counts(
        [build_counter(now=NOW - 60).build_counts(now=NOW)],
        created_at=NOW,
        unanswered=("entry-9",),
    )
    text = format_report(report)

    assert "INCOMPLETE: no answer from entry-9; their requests are missing." in text
    assert "Counting for less than six hours: entry-1 (since 2027-01-15 07:59)." in text


@pytest.fixture
def entry_port() -> Iterator[int]:
    counter = build_counter()
    counter.count_request(build_finished_request(), now=NOW)

    def answer(link: Link, message: Message) -> None:
        if isinstance(message, BurnRequest):
            hub.send(link, counter.build_reply(now=NOW))

    hub = MessageHub(listen="127.0.0.1:0", on_message=answer, on_tick=lambda _: None)
    hub.start()
    yield hub.port
    hub.stop()


def test_unanswered_entry_is_named_and_sets_exit_code(
    entry_port: int, monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    """Guards against a partial report that looks complete.

    One of two entries accepts connections and never answers. The command waits once,
    reports the other's figures, names the unanswered entry and exits with 7.
    """
    unresponsive = MessageHub(
        listen="127.0.0.1:0", on_message=lambda *_: None, on_tick=lambda _: None
    )
    unresponsive.start()
    platform = MemoryPlatform()
    monkeypatch.setattr(report, "create_platform_client", lambda _: platform)
    line = ["report", "burn", "--platform=http://none", "--json"]
    line += [f"--address=entry-1=127.0.0.1:{entry_port}", "--timeout=0.5"]
    try:
        complete = CliRunner().invoke(main, line)
        line.append(f"--address=entry-2=127.0.0.1:{unresponsive.port}")
        partial = CliRunner().invoke(main, [*line, f"--html={tmp_path / 'burn.html'}"])
    finally:
        unresponsive.stop()

    assert complete.exit_code == ExitCode.OK
    assert json.loads(complete.output)["silent"] == []
    assert partial.exit_code == ExitCode.INCOMPLETE
    assert json.loads(partial.output)["silent"] == ["entry-2"]
    assert "no answer from entry-2" in (tmp_path / "burn.html").read_text()


def test_missing_instance_list_and_addresses_fail_the_report(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    platform = MemoryPlatform()
    platform.is_down = True
    monkeypatch.setattr(report, "create_platform_client", lambda _: platform)
    result = CliRunner().invoke(main, ["report", "burn", "--platform=http://none"])

    assert result.exit_code == ExitCode.UNAVAILABLE
