"""Errors of the expert map package."""

from __future__ import annotations

from typing import NamedTuple

from kingcupwheel.exceptions import KingcupwheelError


class InvalidMapError(KingcupwheelError):
    """An invalid expert map: an expert is missing or a rank holds too many."""


class DecodeFailure(NamedTuple):
    """Failure to decode an order or reply; ``detail`` is the decoder's message."""

    detail: str


class RankUnreachable(NamedTuple):
    """Failed call to a rank; if ``was_sent``, the order may still take effect."""

    detail: str
    was_sent: bool
