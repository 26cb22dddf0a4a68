"""Errors of the expert-map layer."""

from __future__ import annotations

from typing import NamedTuple

from kingcupwheel.exceptions import KingcupwheelError


class InvalidMapError(KingcupwheelError):
    """A map that no group could run: an expert is missing or a rank overfull."""


class DecodeFailure(NamedTuple):
    """Bytes that are no order or reply of this version; ``detail`` says why."""

    detail: str


class RankUnreachable(NamedTuple):
    """The rank did not answer; an order that was ``sent`` may yet take effect."""

    detail: str
    was_sent: bool
