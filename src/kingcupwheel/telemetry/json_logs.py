"""Structured logs: one JSON object per line on standard output.

A writer thread takes the records from a bounded queue. If the reader of standard output
stalls, the pipe fills up, then the queue; further records are dropped and counted, and
a ``lines-dropped`` record reports the count once there is room again.
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


# About ten seconds of an entry's log at its usual rate, or a megabyte.
MAX_QUEUED_LINES = 4_000

_FIELDS = "fields"
_PART = "part"


class StructuredLogger:
    """Writes structured log records of one part of a process."""

    def __init__(self, part: str) -> None:
        self._part = part
        self._logger = logging.getLogger(f"kingcupwheel.lines.{part}")

    def debug(self, event: str, **fields: object) -> None:
        """Log details for debugging."""
        self._write(logging.DEBUG, event, fields)

    def info(self, event: str, **fields: object) -> None:
        """Log a decision or a state change."""
        self._write(logging.INFO, event, fields)

    def warning(self, event: str, **fields: object) -> None:
        """Log an event that an operator may have to investigate."""
        self._write(logging.WARNING, event, fields)

    def error(self, event: str, *, exc_info: bool = False, **fields: object) -> None:
        """Log an internal error of this process."""
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
    """Return the structured logger of a part, such as ``requests`` or ``maps``."""
    return StructuredLogger(part)


class JsonFormatter(logging.Formatter):
    """Formats a record as JSON: time, process, part, level, event, its fields."""

    def __init__(self, process: str) -> None:
        super().__init__()
        self._process = process

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as one line."""
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
    """Drops and counts records while the queue is full."""

    def __init__(self, queue: Queue[Any]) -> None:
        super().__init__(queue)
        self.dropped = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Return the record unchanged: it never leaves this process."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue the record, or count it as dropped."""
        try:
            self.queue.put_nowait(record)
        except Full:
            self.dropped += 1
            return
        if self.dropped:
            self._report_dropped()

    def _report_dropped(self) -> None:
        count, self.dropped = self.dropped, 0
        notice = logging.LogRecord(
            "kingcupwheel.lines.log", logging.WARNING, "", 0, "lines-dropped", (), None
        )
        setattr(notice, _FIELDS, {"lines": count})
        setattr(notice, _PART, "log")
        try:
            self.queue.put_nowait(notice)
        except Full:
            self.dropped = count


class JsonLogOutput:
    """Writes all log records to standard output; create one per process."""

    def __init__(self, process: str, level: str) -> None:
        queue: Queue[Any] = Queue(MAX_QUEUED_LINES)
        stream = logging.StreamHandler(sys.stdout)
        stream.setFormatter(JsonFormatter(process))
        self._queue = queue
        self._listener = QueueListener(queue, stream)
        self._root = logging.getLogger()
        self._root.handlers[:] = [_DroppingHandler(queue)]
        self._root.setLevel(level.upper())
        # urllib3's record of each call costs as much as ours and says nothing more.
        logging.getLogger("urllib3").setLevel(logging.WARNING)

    def start(self) -> None:
        """Start the writer thread."""
        self._listener.start()

    def stop(self) -> None:
        """Wait until the queue is written, at most 0.5 s if the reader stalls."""
        deadline = time.monotonic() + 0.5
        while not self._queue.empty() and time.monotonic() < deadline:
            time.sleep(0.01)
