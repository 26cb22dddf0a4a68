"""Logging set-up: one line each, a fixed prefix for each part, request ids last."""

from __future__ import annotations

import logging
import sys


# The prefix that a part's log lines start with, by logger name.
PREFIX_BY_LOGGER = {
    "kingcupwheel.entry": "Entry",
    "kingcupwheel.agent": "Agent",
    "kingcupwheel.link": "Hub",
    "kingcupwheel.manifest": "Manifest",
    "kingcupwheel.platform": "Platform",
    "kingcupwheel.claims": "Claim",
    "kingcupwheel.expertmaps": "Maps",
    "kingcupwheel.trace": "Trace",
    "kingcupwheel.burn": "Burn",
    "kingcupwheel.metrics": "Metrics",
}


class PrefixFormatter(logging.Formatter):
    """Puts the part's prefix before each message."""

    def __init__(self, process: str) -> None:
        super().__init__(
            "%(asctime)s %(levelname)s %(process_name)s %(prefix)s: %(message)s"
        )
        self._process = process

    def format(self, record: logging.LogRecord) -> str:
        """Return one line."""
        part = ".".join(record.name.split(".")[:2])
        record.prefix = PREFIX_BY_LOGGER.get(part, "Main")
        record.process_name = self._process
        return super().format(record)


def configure_text_logs(process: str, level: str) -> None:
    """Send log lines of ``level`` and above to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(PrefixFormatter(process))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
