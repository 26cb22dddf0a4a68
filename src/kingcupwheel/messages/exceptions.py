"""Errors of the message codec."""

from __future__ import annotations

from typing import NamedTuple


class BadMessage(NamedTuple):
    """A frame that can't be decoded as a known message; ``detail`` says why."""

    detail: str
