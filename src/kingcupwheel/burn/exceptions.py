"""Errors of the burn report."""

from __future__ import annotations

from typing import NamedTuple


class EntriesUnknown(NamedTuple):
    """The entries can't be listed; ``detail`` says why."""

    detail: str
