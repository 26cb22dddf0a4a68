"""Exit codes of all commands."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit code of a command; each command's help says which codes it uses."""

    OK = 0
    FAILED = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    NOT_FOUND = 6
    INCOMPLETE = 7
