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
    """Standard output whose reader stalls until ``resumed`` is set."""

    def __init__(self) -> None:
        super().__init__()
        self.resumed = Event()

    def write(self, text: str) -> int:
        self.resumed.wait(10.0)
        return super().write(text)


@pytest.fixture(autouse=True)
def restored_root_logger() -> Iterator[None]:
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level
    yield
    root.handlers[:] = handlers
    root.setLevel(level)


def test_a_record_is_one_json_object(monkeypatch: pytest.MonkeyPatch) -> None:
    out = io.StringIO()
    monkeypatch.setattr(sys, "stdout", out)
    log = JsonLogOutput("entry-1", "info")
    log.start()

    lines_of("requests").info("placed", id="a1", server="i-1")
    lines_of("requests").debug("unseen")
    # Entries that another test left running in this process also log.
    lines_of("store").warning("store-lost", kind="config")
    log.stop()

    found_lines = [json.loads(line) for line in out.getvalue().splitlines()]
    (found,) = [line for line in found_lines if line["part"] == "requests"]
    assert {line["event"] for line in found_lines} >= {"placed", "store-lost"}
    assert found["process"] == "entry-1"
    assert (found["part"], found["event"], found["id"]) == ("requests", "placed", "a1")


def test_a_stalled_reader_does_not_block_and_drops_are_reported(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The pipe is full: logging must not block, records are dropped and counted."""
    out = StalledPipe()
    monkeypatch.setattr(sys, "stdout", out)
    monkeypatch.setattr(json_logs, "MAX_QUEUED_LINES", 10)
    log = JsonLogOutput("entry-1", "info")
    log.start()
    logger = lines_of("requests")

    for number in range(50):
        logger.info("placed", id=str(number))
    out.resumed.set()
    log.stop()
    logger.info("placed", id="after")
    log.stop()

    found = [json.loads(record) for record in out.getvalue().splitlines()]
    dropped = [
        record["lines"] for record in found if record["event"] == "lines-dropped"
    ]
    placed = [record for record in found if record["event"] == "placed"]
    assert sum(dropped) + len(placed) == 51
    assert dropped
