"""Exit codes of every command."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """What a command's exit code means."""

    OK = 0
    FAILED = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    NOT_FOUND = 6
    INCOMPLETE = 7
