"""How an organisation's allowance is split over the entries of its set.

No entry is in charge. Each holds a share and tells it to the others of the set, with
the demand it sees, on the heartbeats that flow anyway. It lowers its share at once and
raises it late, so that the sum stays within the allowance whatever is lost on the way:

- Who wants more says so first, and raises only when every peer has answered that: its
  answer tells what the peer held by then. A raise takes an equal part of what nobody
  holds, shared with the peers that said the same. Of two entries that raise at once,
  either both counted the other or one knew of the other's raise.
- A silent peer can neither lend nor borrow. From ``STALE_S`` on, the entries that miss
  it hold at most an equal part; only from ``RETURN_S`` on do they count a silent peer
  as holding no more than that.

Bound: the sum of shares is at most 1 while all entries agree on the set, plus
``FLOOR`` for the part that every entry may always use. An entry that was dropped from
the set and cannot be told adds at most one equal part of the set that it knew.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Sequence


# A peer whose answer is older than three heartbeats of a second is silent.
PEER_STALE_S = 3.0

# When a silent peer has surely lowered its share: it noticed the silence at the latest
# ``STALE_S`` after its own last answer, which may be one delivery and one heartbeat
# younger than the one this entry has; a delivery of more than ``STALE_S`` is silence.
PEER_RELEASE_S = 3 * PEER_STALE_S

# The sum of what all entries may use beyond their shares. Reason: a caller that moves
# to another entry is served there before the share has followed it.
MIN_USABLE_TOTAL = 0.1

# Part of what no entry wants that goes where the demand is; the rest is split equally.
# Bursts come where callers are already, so all of it split equally refuses them; all of
# it by demand refuses the caller that moves to a quiet entry.
SPARE_BY_DEMAND_FRACTION = 0.5

_NEVER = float("-inf")

# Demands below this are noise.
_MIN_DEMAND = 1e-6


class PeerShare(NamedTuple):
    """What a peer of the set last told.

    ``demand`` is the demand it sees as a fraction of the whole allowance, ``held`` the
    share it holds, ``wants`` whether it wants more. ``age_s`` is how long ago this
    entry sent the newest heartbeat that the peer has answered, so that it bounds the
    age of the news in both directions; for a peer never heard it is the time since it
    was learned of.
    """

    demand: float
    held: float
    wants_more: bool
    age_s: float


class Share(NamedTuple):
    """The share an entry holds; tell ``held`` and ``wants`` on every heartbeat.

    ``wants_since`` is when it began to want more (None: it does not), ``raised_at``
    when it last raised its share, ``missed_at`` when it last missed a peer; all in
    monotonic seconds.
    """

    held: float = 0.0
    wants_more_since: float | None = None
    raised_at: float = _NEVER
    peer_missed_at: float = _NEVER

    @property
    def wants_more(self) -> bool:
        """Whether it wants more than it holds."""
        return self.wants_more_since is not None

    def usable_fraction(self, entries: int) -> float:
        """Return the part of the allowance that one of ``entries`` may use."""
        return max(self.held, MIN_USABLE_TOTAL / entries)


def build_idle_share(entries: int, set_age_s: float) -> Share:
    """Return the share of an organisation that this entry had no call of so far.

    Load: 43,000 organisations, of which a heartbeat names the few in use. An
    organisation that a heartbeat does not name is one that its sender holds an equal
    part of and sees no demand for. An entry that has known its set of ``entries`` for
    less than ``RETURN_S`` starts with nothing, since others may still hold its part.
    """
    if set_age_s <= PEER_RELEASE_S:
        return Share()
    return Share(held=1.0 / entries)


def build_idle_peer_share(entries: int, age_s: float) -> PeerShare:
    """Return what a peer tells by not naming an organisation; see ``idle_share``."""
    return PeerShare(demand=0.0, held=1.0 / entries, wants_more=False, age_s=age_s)


def compute_next_share(
    share: Share, demand: float, peers: Sequence[PeerShare], now: float
) -> Share:
    """Return the share to hold from ``now`` on, to be told to the peers.

    Load: an organisation whose callers move between the entries of its set, entries
    that come, go and lose each other. Harm prevented: a fixed equal split refuses
    callers at a busy entry while its peer idles; a split by guesses admits more than
    the allowance. ``peers`` are the other members; ``demand`` is a fraction of the
    whole allowance. Call it just before each heartbeat, and first thing after a pause.
    """
    equal = 1.0 / (len(peers) + 1)
    misses = any(peer.age_s > PEER_STALE_S for peer in peers)
    if misses:
        share = share._replace(peer_missed_at=now)
    target = equal if misses else _compute_target(demand, peers, equal)
    if target <= share.held:
        return share._replace(held=target, wants_more_since=None)
    wants_since = now if share.wants_more_since is None else share.wants_more_since
    settled_at = max(wants_since, share.raised_at)
    if not misses:
        # Failure: a link heals, and this entry hears a peer that does not yet hear it.
        # Symptom: this one lends itself what the peer takes back as its equal part.
        # Once the peer has answered what was sent after that, both hear each other.
        settled_at = max(settled_at, share.peer_missed_at)
    if not all(_has_answered(peer, now - settled_at) for peer in peers):
        return share._replace(wants_more_since=wants_since)
    free = 1.0 - share.held - sum(_assumed_held(peer, equal) for peer in peers)
    claims = 1 + sum(peer.wants_more and peer.age_s <= PEER_STALE_S for peer in peers)
    if free <= 0.0:
        return share._replace(wants_more_since=wants_since)
    held = min(target, share.held + free / claims)
    return share._replace(held=held, wants_more_since=wants_since, raised_at=now)


def _compute_target(demand: float, peers: Sequence[PeerShare], equal: float) -> float:
    total = demand + sum(peer.demand for peer in peers)
    if total < _MIN_DEMAND:
        return equal
    if total <= 1.0:
        busy = SPARE_BY_DEMAND_FRACTION * demand / total
        return demand + (1.0 - total) * (
            busy + (1.0 - SPARE_BY_DEMAND_FRACTION) * equal
        )
    return demand / total


def _has_answered(peer: PeerShare, settled_s: float) -> bool:
    """Tell whether ``peer`` knows the last want and raise, or is gone."""
    if peer.age_s > PEER_RELEASE_S:
        return True
    return peer.age_s <= PEER_STALE_S and peer.age_s < settled_s


def _assumed_held(peer: PeerShare, equal: float) -> float:
    return equal if peer.age_s > PEER_RELEASE_S else peer.held
