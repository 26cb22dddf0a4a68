"""Splits a server's rate limit over the entries without a message per request.

The limit is for all entries together, and each decides by itself. The sum of what they
may send in any window has a part for the rate and one for the bursts: every entry that
holds a share can send one request at any moment. With a small limit and many entries
the bursts alone would exceed the limit, so only some entries, the holders, have a
share. They are the first in an order by hash of server and entry.

``n`` entries know each other and ``L`` is the limit. With ``k = min(n, 3 + L/2)``
holders of rate ``L/k``, a bucket of ``1 + 0.1 L/k`` and permits that are valid for
0.5 s, the holders send at most ``k + 0.1 L + 4.5 L <= 3 + 5.1 L`` requests in any 4 s.
A server tolerates one and a half times its limit and 5 more, ``5 + 6 L``; what is left
covers entries whose views differ for the time of a few heartbeats.
"""

from __future__ import annotations

from typing import NamedTuple

from kingcupwheel.decisions.hashing import stable_hash


# Least rate of all entries together. A server that names a limit of 0 would otherwise
# get no request, and nobody would learn that it has lifted the limit.
MIN_TOTAL_RATE = 0.25

# Holders at the smallest limits; each adds a burst of one request.
_MIN_HOLDERS = 3
_HOLDERS_PER_RATE = 0.5

# Time for which a share accumulates beyond one request. Requests are placed at
# intervals of up to 50 ms, and what accumulates between them is not lost.
_BURST_S = 0.1

# Entries assumed while none but this one is known and the store has not been read.
UNKNOWN_FLEET_SIZE = 12


class EntryFleet(NamedTuple):
    """The entries that share limits, as one of them knows them.

    ``names`` are all known ones, silent ones included. ``size`` is their number, or a
    larger one that was known before: an entry that lost contact can't tell whether the
    others still send. Until ``is_settled`` the others may not know this entry yet.
    """

    own_name: str
    names: frozenset[str]
    size: int
    is_settled: bool


class LimitShare(NamedTuple):
    """One entry's part of a limit.

    ``rank`` is its position in the order of the server's entries. ``rate`` is 0 for an
    entry that is no holder; ``burst`` is the number of requests it may send at once.
    """

    rank: int
    holder_count: int
    rate: float
    burst: float

    @property
    def is_holder(self) -> bool:
        """Whether the entry may use the server regularly."""
        return self.rank < self.holder_count


def compute_share(incarnation: str, limit: float, fleet: EntryFleet) -> LimitShare:
    """Return this entry's share of a server's limit (requests per second).

    The number of holders depends on the limit alone where the limit is small. Entries
    that count the fleet differently then still use equal shares.
    """
    total = max(limit, MIN_TOTAL_RATE)
    wanted = int(_MIN_HOLDERS + _HOLDERS_PER_RATE * limit)
    holder_count = max(1, min(fleet.size, wanted))
    own_hash = stable_hash(incarnation, fleet.own_name)
    rank = sum(
        stable_hash(incarnation, name) < own_hash
        for name in fleet.names
        if name != fleet.own_name
    )
    if rank >= holder_count:
        return LimitShare(rank, holder_count, 0.0, 0.0)
    rate = total / holder_count
    return LimitShare(rank, holder_count, rate, 1.0 + _BURST_S * rate)
