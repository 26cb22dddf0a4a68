"""Errors of the link layer."""

from __future__ import annotations

from kingcupwheel.exceptions import KingcupwheelError


class LinkError(KingcupwheelError):
    """Base class of this layer's errors."""


class CannotListenError(LinkError):
    """The address of the process's own socket can't be bound."""

    def __init__(self, address: str, reason: str) -> None:
        super().__init__(f"cannot listen on {address}: {reason}")
