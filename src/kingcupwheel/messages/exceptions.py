"""Errors of the message layer."""

from __future__ import annotations

from typing import NamedTuple


class BadMessage(NamedTuple):
    """A frame that is no message of this version; ``detail`` says why."""

    detail: str
