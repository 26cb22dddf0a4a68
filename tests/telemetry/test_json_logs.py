from __future__ import annotations

import io
import json
import logging
import sys
from threading import Event
from typing import TYPE_CHECKING

import pytest

from kingcupwheel.telemetry import json_logs
from kingcupwheel.telemetry.json_logs import JsonLogOutput
from kingcupwheel.telemetry.json_logs import lines_of


if TYPE_CHECKING:
    from collections.abc import Iterator


class StalledPipe(io.StringIO):
    """A reader that takes nothing until it is let."""

    def __init__(self) -> None:
        super().__init__()
        self.let = Event()

    def write(self, text: str) -> int:
        self.let.wait(10.0)
        return super().write(text)


@pytest.fixture(autouse=True)
def restored() -> Iterator[None]:
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level
    yield
    root.handlers[:] = handlers
    root.setLevel(level)


def test_a_line_is_one_json_object(monkeypatch: pytest.MonkeyPatch) -> None:
    out = io.StringIO()
    monkeypatch.setattr(sys, "stdout", out)
    log = JsonLogOutput("entry-1", "info")
    log.start()

    lines_of("requests").info("placed", id="a1", server="i-1")
    lines_of("requests").debug("unseen")
    # As entries do that another test of this process left behind.
    lines_of("store").warning("store-lost", kind="config")
    log.stop()

    found_lines = [json.loads(line) for line in out.getvalue().splitlines()]
    (found,) = [line for line in found_lines if line["part"] == "requests"]
    assert {line["event"] for line in found_lines} >= {"placed", "store-lost"}
    assert found["process"] == "entry-1"
    assert (found["part"], found["event"], found["id"]) == ("requests", "placed", "a1")


def test_a_reader_that_stalls_holds_nobody_up_and_the_loss_is_told(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The pipe is full: requests go on, lines are dropped and counted."""
    out = StalledPipe()
    monkeypatch.setattr(sys, "stdout", out)
    monkeypatch.setattr(json_logs, "MAX_QUEUED_LINES", 10)
    log = JsonLogOutput("entry-1", "info")
    log.start()
    told = lines_of("requests")

    for number in range(50):
        told.info("placed", id=str(number))
    out.let.set()
    log.stop()
    told.info("placed", id="after")
    log.stop()

    found = [json.loads(one) for one in out.getvalue().splitlines()]
    dropped = [one["lines"] for one in found if one["event"] == "lines-dropped"]
    placed = [one for one in found if one["event"] == "placed"]
    assert sum(dropped) + len(placed) == 51
    assert dropped
