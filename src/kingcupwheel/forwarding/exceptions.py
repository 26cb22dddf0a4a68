"""Exceptions of the forwarding layer."""

from __future__ import annotations

from kingcupwheel.exceptions import KingcupwheelError


class ForwardingError(KingcupwheelError):
    """Base class of the exceptions of the forwarding layer."""


class NotConnectedError(ForwardingError):
    """No connection to a server could be established; nothing was sent."""


class AnswerLostError(ForwardingError):
    """The rest of a server's answer could not be read."""
