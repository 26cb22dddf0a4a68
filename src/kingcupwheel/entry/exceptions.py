"""Errors of the entry layer."""

from __future__ import annotations

from kingcupwheel.exceptions import KingcupwheelError


class EntryError(KingcupwheelError):
    """Base class of this layer's errors."""


class AnswerTruncatedError(EntryError):
    """The rest of a streamed answer can't be had; the connection must be cut.

    Ending the body as usual would make a truncated answer look whole.
    """


class CallerDisconnectedError(EntryError):
    """The caller closed its connection while its request waited."""


class HttpBindError(EntryError):
    """The address for callers can't be bound."""

    def __init__(self, address: str, reason: str) -> None:
        super().__init__(f"cannot serve on {address}: {reason}")
