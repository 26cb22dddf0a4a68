"""Claims of entries to run a suspect while all other runs of it are held. Pure.

Failure: a crash releases requests that wait at all entries in the same moment, and each
entry begins a trial. Symptom: as many servers end as there are entries. An entry
therefore announces a trial, and begins it if no other has announced one meanwhile.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.decisions.hashing import stable_fraction


if TYPE_CHECKING:
    from collections.abc import Collection


# Time from the announcement of a trial to its begin: a heartbeat that reports a change
# leaves within 0.3 s, and another entry has received it shortly afterwards.
CLAIM_SETTLE_S = 0.5
# A claim that is not renewed ends after this time, since its entry may have ended.
CLAIM_LEASE_S = 1.5
_MAX_SETTLE_FACTOR = 2

_NEVER = float("-inf")


class TrialClaim(NamedTuple):
    """An entry's claim, valid until ``held_until`` (monotonic).

    ``has_begun`` tells that the run of the suspect was sent, or soon will be.
    """

    owner: str
    held_until: float
    has_begun: bool


NO_CLAIM = TrialClaim("", _NEVER, has_begun=False)


def settle_time_s(keys: Collection[str]) -> float:
    """Return the time from the announcement of a trial to its begin.

    A request with fewer suspected keys tells more by its end, and goes first.
    """
    return CLAIM_SETTLE_S * min(len(keys), _MAX_SETTLE_FACTOR)


def choose_claim(
    known: TrialClaim, reported: TrialClaim, key: str, now: float
) -> TrialClaim:
    """Return which of two claims is valid; every entry chooses the same one.

    A trial that has begun goes on. Otherwise the key decides, so that no entry gets
    all the trials.
    """
    if known.owner and known.owner == reported.owner:
        return reported
    if reported.held_until <= now:
        return known
    if known.held_until <= now:
        return reported
    return min(known, reported, key=lambda claim: _order(claim, key))


def _order(claim: TrialClaim, key: str) -> tuple[bool, float, str]:
    return (not claim.has_begun, stable_fraction(key, claim.owner), claim.owner)
