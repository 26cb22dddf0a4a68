"""Errors of the link package."""

from __future__ import annotations

from kingcupwheel.exceptions import KingcupwheelError


class LinkError(KingcupwheelError):
    """Base class of errors of the link package."""


class CannotListenError(LinkError):
    """The address of the listening socket can't be bound."""

    def __init__(self, address: str, reason: str) -> None:
        super().__init__(f"cannot listen on {address}: {reason}")
