"""Structured log lines: one JSON object a line on standard output.

Lines go through a bounded queue to a thread of their own. A reader that stalls fills
the pipe, then the queue; further lines are dropped and counted, and the next line that
gets through says how many.
"""

from __future__ import annotations

import logging
import sys
import time
from logging.handlers import QueueHandler
from logging.handlers import QueueListener
from queue import Full
from queue import Queue
from typing import Any

import msgspec


# Lines that wait for the reader: some ten seconds of an entry's at its usual rate,
# about a megabyte.
MAX_QUEUED_LINES = 4_000

_FIELDS = "fields"
_PART = "part"


class StructuredLogger:
    """Writes the lines of one part of a process."""

    def __init__(self, part: str) -> None:
        self._part = part
        self._logger = logging.getLogger(f"kingcupwheel.lines.{part}")

    def debug(self, event: str, **fields: object) -> None:
        """Write what only a close look needs."""
        self._write(logging.DEBUG, event, fields)

    def info(self, event: str, **fields: object) -> None:
        """Write a decision or a change of what is believed."""
        self._write(logging.INFO, event, fields)

    def warning(self, event: str, **fields: object) -> None:
        """Write what an operator may have to look into."""
        self._write(logging.WARNING, event, fields)

    def error(self, event: str, *, exc_info: bool = False, **fields: object) -> None:
        """Write a fault of this process."""
        self._write(logging.ERROR, event, fields, exc_info=exc_info)

    def _write(
        self,
        level: int,
        event: str,
        fields: dict[str, object],
        *,
        exc_info: bool = False,
    ) -> None:
        if self._logger.isEnabledFor(level):
            extra = {_PART: self._part, _FIELDS: fields}
            self._logger.log(level, event, extra=extra, exc_info=exc_info)


def lines_of(part: str) -> StructuredLogger:
    """Return the lines of a part, such as ``requests`` or ``maps``."""
    return StructuredLogger(part)


class JsonFormatter(logging.Formatter):
    """Renders a record as one JSON object: time, process, part, event, its fields."""

    def __init__(self, process: str) -> None:
        super().__init__()
        self._process = process

    def format(self, record: logging.LogRecord) -> str:
        """Return one line."""
        line: dict[str, Any] = {
            "t": round(record.created, 3),
            "process": self._process,
            "part": getattr(record, _PART, record.name.rpartition(".")[2]),
            "level": record.levelname.lower(),
            "event": record.getMessage(),
        }
        line.update(getattr(record, _FIELDS, {}))
        if record.exc_info:
            line["trace"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line, enc_hook=str).decode()


class _DroppingHandler(QueueHandler):
    """Drops and counts what finds the queue full."""

    def __init__(self, queue: Queue[Any]) -> None:
        super().__init__(queue)
        self.dropped = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Leave the record as it is: it goes to a thread, not to another process."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue the record, or count it."""
        try:
            self.queue.put_nowait(record)
        except Full:
            self.dropped += 1
            return
        if self.dropped:
            self._report_dropped()

    def _report_dropped(self) -> None:
        lost, self.dropped = self.dropped, 0
        told = logging.LogRecord(
            "kingcupwheel.lines.log", logging.WARNING, "", 0, "lines-dropped", (), None
        )
        setattr(told, _FIELDS, {"lines": lost})
        setattr(told, _PART, "log")
        try:
            self.queue.put_nowait(told)
        except Full:
            self.dropped = lost


class JsonLogOutput:
    """Sends every line of this process to standard output; one a process."""

    def __init__(self, process: str, level: str) -> None:
        queue: Queue[Any] = Queue(MAX_QUEUED_LINES)
        stream = logging.StreamHandler(sys.stdout)
        stream.setFormatter(JsonFormatter(process))
        self._queue = queue
        self._listener = QueueListener(queue, stream)
        self._root = logging.getLogger()
        self._root.handlers[:] = [_DroppingHandler(queue)]
        self._root.setLevel(level.upper())
        # Its lines on each call say nothing that ours do not, and cost as much.
        logging.getLogger("urllib3").setLevel(logging.WARNING)

    def start(self) -> None:
        """Start the thread that writes."""
        self._listener.start()

    def stop(self) -> None:
        """Write what is queued, for a while at most: a stalled reader holds nobody."""
        until = time.monotonic() + 0.5
        while not self._queue.empty() and time.monotonic() < until:
            time.sleep(0.01)
