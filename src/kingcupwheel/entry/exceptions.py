"""Errors of the entry layer."""

from __future__ import annotations

from kingcupwheel.exceptions import KingcupwheelError


class EntryError(KingcupwheelError):
    """Base class of the entry layer's errors."""


class BodyTruncatedError(EntryError):
    """A caller's connection ended before the body of its request did."""


class BodyTooSlowError(EntryError):
    """A caller did not send the body of its request in time."""


class BodyTooLargeError(EntryError):
    """The body of a request is over the limit for one body."""


class BodyMemoryError(EntryError):
    """There is no memory for the body of a request.

    ``retry_after_s`` is 0 if there would be none either if no other body were held.
    """

    def __init__(
        self,
        size_bytes: int,
        *,
        used_bytes: int,
        limit_bytes: float,
        retry_after_s: float,
    ) -> None:
        super().__init__(
            f"no memory for a body of {size_bytes} bytes beside {used_bytes} bytes of "
            f"others, of {limit_bytes:.0f}"
        )
        self.retry_after_s = retry_after_s


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
