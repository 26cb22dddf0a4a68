"""Exceptions of the forwarding layer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from kingcupwheel.exceptions import KingcupwheelError


if TYPE_CHECKING:
    from kingcupwheel.utils.response_limits import ResponseLimit


class ForwardingError(KingcupwheelError):
    """Base class of the exceptions of the forwarding layer."""


class NotConnectedError(ForwardingError):
    """No connection to a server could be established; nothing was sent."""


class AnswerLostError(ForwardingError):
    """The rest of a server's answer could not be read.

    ``limit`` is the limit that the answer has exceeded, None if it has not.
    """

    def __init__(self, reason: str, limit: ResponseLimit | None = None) -> None:
        super().__init__(reason)
        self.limit = limit
