"""Splits an organisation's allowance over the entries of its set without a leader.

Each entry holds a share of the allowance and sends it to its peers, the other entries
of the set, along with the demand it sees, in the regular heartbeats. It lowers its
share immediately and raises it late, so that the sum stays within the allowance
whichever messages are lost:

- An entry that wants more announces it, and raises its share only after every peer has
  answered the announcement, since the answer shows what the peer held by then. A raise
  takes an equal part of what no entry holds, divided among the peers that announced the
  same. Of two entries that raise at once, either both counted the other, or one knew of
  the other's raise.
- A silent peer can neither lend nor borrow. After ``PEER_STALE_S`` without an answer,
  the other entries hold at most an equal share. Only after ``PEER_RELEASE_S`` do they
  assume that the silent peer holds no more than that.

The shares sum up to at most 1 while all entries agree on the set, plus
``MIN_USABLE_TOTAL`` for the part that every entry may always use. An entry that was
removed from the set and cannot be notified adds at most an equal share of the set it
knew.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Sequence


# A peer is silent after three heartbeats of 1 s without an answer.
PEER_STALE_S = 3.0

# After this time a silent peer has certainly lowered its share: it detects the silence
# at most ``PEER_STALE_S`` after its own last answer, which may be one delivery and one
# heartbeat later than the one known here, and a delivery that takes longer than
# ``PEER_STALE_S`` counts as silence.
PEER_RELEASE_S = 3 * PEER_STALE_S

# What all entries together may use beyond their shares, so that a caller that moves to
# another entry is served there before the share follows.
MIN_USABLE_TOTAL = 0.1

# Fraction of the unrequested allowance that is split by demand; the rest is split
# equally. Bursts occur where callers already are, and an equal split alone refuses
# them; a split by demand alone refuses a caller that moves to a quiet entry.
SPARE_BY_DEMAND_FRACTION = 0.5

_NEVER = float("-inf")

# Total demand below this is treated as none.
_MIN_DEMAND = 1e-6


class PeerShare(NamedTuple):
    """Last known share and demand of a peer.

    ``demand`` is the demand it sees as a fraction of the whole allowance, ``held`` the
    share it holds, ``wants_more`` whether it has announced that it wants more.
    ``age_s`` is the time since this entry sent the latest heartbeat that the peer has
    answered, which bounds the age of the information in both directions; for a peer
    that has never answered, it is the time since the peer became known.
    """

    demand: float
    held: float
    wants_more: bool
    age_s: float


class Share(NamedTuple):
    """Share of this entry; every heartbeat carries ``held`` and ``wants_more``.

    ``wants_more_since`` is when the entry began to want more (None: it does not),
    ``raised_at`` when it last raised its share, ``peer_missed_at`` when a peer was last
    silent; all in monotonic seconds.
    """

    held: float = 0.0
    wants_more_since: float | None = None
    raised_at: float = _NEVER
    peer_missed_at: float = _NEVER

    @property
    def wants_more(self) -> bool:
        """Whether the entry wants more than it holds."""
        return self.wants_more_since is not None

    def usable_fraction(self, entries: int) -> float:
        """Return the fraction of the allowance that this one of ``entries`` may use."""
        return max(self.held, MIN_USABLE_TOTAL / entries)


def build_idle_share(entries: int, set_age_s: float) -> Share:
    """Return this entry's initial share for an organisation without requests so far.

    There are 43,000 organisations, of which a heartbeat lists only the few in use. For
    any other its sender holds an equal share and sees no demand. An entry that has
    known its set of ``entries`` for at most ``PEER_RELEASE_S`` starts with a share of
    0, since others may still hold its part.
    """
    if set_age_s <= PEER_RELEASE_S:
        return Share()
    return Share(held=1.0 / entries)


def build_idle_peer_share(entries: int, age_s: float) -> PeerShare:
    """Return the share of a peer whose heartbeat omits the organisation.

    See ``build_idle_share``.
    """
    return PeerShare(demand=0.0, held=1.0 / entries, wants_more=False, age_s=age_s)


def compute_next_share(
    share: Share, demand: float, peers: Sequence[PeerShare], now: float
) -> Share:
    """Return the share to hold from ``now`` on and to send to the peers.

    Callers move between the entries of a set, and entries join, leave and lose contact.
    A fixed equal split would refuse callers at a busy entry while its peer is idle; a
    split by unconfirmed information would admit more than the allowance.

    ``peers`` are the other members of the set; ``demand`` is a fraction of the whole
    allowance. Call this just before each heartbeat, and first after a pause.
    """
    equal_share = 1.0 / (len(peers) + 1)
    misses_peer = any(peer.age_s > PEER_STALE_S for peer in peers)
    if misses_peer:
        share = share._replace(peer_missed_at=now)
    target = equal_share if misses_peer else _compute_target(demand, peers, equal_share)
    if target <= share.held:
        return share._replace(held=target, wants_more_since=None)
    wants_more_since = now if share.wants_more_since is None else share.wants_more_since
    settled_at = max(wants_more_since, share.raised_at)
    if not misses_peer:
        # When a link recovers, this entry may receive from a peer that doesn't receive
        # from it yet, and would take what the peer reclaims as its equal share. Once
        # the peer has answered a later heartbeat, the link works in both directions.
        settled_at = max(settled_at, share.peer_missed_at)
    if not all(_has_answered(peer, now - settled_at) for peer in peers):
        return share._replace(wants_more_since=wants_more_since)
    unheld = 1.0 - share.held - sum(_assumed_held(peer, equal_share) for peer in peers)
    claimants = 1 + sum(
        peer.wants_more and peer.age_s <= PEER_STALE_S for peer in peers
    )
    if unheld <= 0.0:
        return share._replace(wants_more_since=wants_more_since)
    held = min(target, share.held + unheld / claimants)
    return share._replace(held=held, wants_more_since=wants_more_since, raised_at=now)


def _compute_target(
    demand: float, peers: Sequence[PeerShare], equal_share: float
) -> float:
    total = demand + sum(peer.demand for peer in peers)
    if total < _MIN_DEMAND:
        return equal_share
    if total <= 1.0:
        demand_fraction = SPARE_BY_DEMAND_FRACTION * demand / total
        return demand + (1.0 - total) * (
            demand_fraction + (1.0 - SPARE_BY_DEMAND_FRACTION) * equal_share
        )
    return demand / total


def _has_answered(peer: PeerShare, settled_s: float) -> bool:
    """Return whether ``peer`` knows of the last announcement and raise, or is gone."""
    if peer.age_s > PEER_RELEASE_S:
        return True
    return peer.age_s <= PEER_STALE_S and peer.age_s < settled_s


def _assumed_held(peer: PeerShare, equal_share: float) -> float:
    return equal_share if peer.age_s > PEER_RELEASE_S else peer.held
