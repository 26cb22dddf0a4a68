"""What a rank of a lock-stepped group reports."""

from __future__ import annotations

import msgspec


class RankState(msgspec.Struct, frozen=True, array_like=True):
    """A rank's report.

    ``epoch`` names the group's formation; in a new one every rank is back on version 0
    with nothing prepared, armed or held. ``step`` is the last pass begun; an idle group
    begins none. ``version`` is the map in force, ``prepared`` and ``armed`` are
    versions (0: none). ``held`` is the pass that waits to be released. ``pace`` over 1
    is slow. ``born_ms`` is when the server started (Unix milliseconds, 0: not told).
    """

    group: str
    epoch: int
    rank: int
    ranks: int
    is_open: bool
    step: int
    version: int
    prepared: int
    armed: int
    held: int | None
    running: int
    waiting: int
    pace: float
    born_ms: int = 0


class RankCounts(msgspec.Struct, frozen=True, array_like=True):
    """How often a rank's requests chose each expert, layer by layer in one list.

    They count from the server's start, which ``born_ms`` names (0: not told).
    """

    epoch: int
    counts: tuple[int, ...]
    born_ms: int = 0
