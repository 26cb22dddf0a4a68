"""Errors of the entry layer."""

from __future__ import annotations

from kingcupwheel.exceptions import KingcupwheelError


class EntryError(KingcupwheelError):
    """Base class of the entry layer's errors."""


class BodyTruncatedError(EntryError):
    """A caller's connection ended before the body of its request did."""


class AnswerTruncatedError(EntryError):
    """The rest of a streamed answer is lost; the connection must be closed.

    A regular end of the body would make the truncated answer look complete.
    """


class CallerDisconnectedError(EntryError):
    """The caller closed its connection while its request was waiting."""


class HttpBindError(EntryError):
    """The listen address of an HTTP server can't be bound."""

    def __init__(self, address: str, reason: str) -> None:
        super().__init__(f"cannot bind HTTP address {address}: {reason}")
