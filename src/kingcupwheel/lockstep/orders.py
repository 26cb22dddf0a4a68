"""Orders to one rank; an order is void in any epoch other than its own."""

from __future__ import annotations

import msgspec


class Prepare(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Copy the weights that the rank needs for ``layers`` (experts by layer, rank)."""

    epoch: int
    version: int
    layers: tuple[tuple[tuple[int, ...], ...], ...]


class Arm(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Use the prepared ``version`` from the pass ``step`` on."""

    epoch: int
    version: int
    step: int


class Disarm(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Undo the arming of ``version``; void once that version is active."""

    epoch: int
    version: int


class Hold(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Do not begin the pass ``step`` until it is released; a hold never expires."""

    epoch: int
    step: int


class Release(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Let the held pass ``step`` begin."""

    epoch: int
    step: int


RankOrder = Prepare | Arm | Disarm | Hold | Release
