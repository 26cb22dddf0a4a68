"""Text logs: one line per record, with a fixed prefix for each package.

Messages have request ids at their end.
"""

from __future__ import annotations

import logging
import sys


# Prefix of the messages of a package, by the name of its logger.
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
    """Log formatter that puts the package's prefix before each message."""

    def __init__(self, process: str) -> None:
        super().__init__(
            "%(asctime)s %(levelname)s %(process_name)s %(prefix)s: %(message)s"
        )
        self._process = process

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as one line."""
        package = ".".join(record.name.split(".")[:2])
        record.prefix = PREFIX_BY_LOGGER.get(package, "Main")
        record.process_name = self._process
        return super().format(record)


def configure_text_logs(process: str, level: str) -> None:
    """Log records of ``level`` and above to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(PrefixFormatter(process))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
