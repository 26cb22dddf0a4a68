"""Errors of the burn layer."""

from __future__ import annotations

from typing import NamedTuple


class EntriesUnknown(NamedTuple):
    """Nobody says which entries there are; ``detail`` says why."""

    detail: str
