"""Reports of a rank of a lock-stepped group."""

from __future__ import annotations

import msgspec


class RankState(msgspec.Struct, frozen=True, array_like=True):
    """State of a rank.

    ``epoch`` identifies the formation of the group; in a new epoch every rank starts
    with version 0 and nothing prepared, armed or held. ``step`` is the latest pass
    begun; an idle group begins none. ``version`` is the active map; ``prepared`` and
    ``armed`` are versions (0: none). ``held`` is the pass that waits for its release.
    ``pace`` is the pass time relative to the usual one; above 1 is slow. ``born_ms`` is
    the start time of the server (Unix milliseconds, 0: unknown).
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
    """How often the requests of a rank chose each expert, layer by layer in one list.

    Counted since the server started at ``born_ms`` (Unix milliseconds, 0: unknown).
    """

    epoch: int
    counts: tuple[int, ...]
    born_ms: int = 0
