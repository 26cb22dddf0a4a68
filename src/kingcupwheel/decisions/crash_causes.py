"""Tells the part of a prompt that crashes servers from those that are bystanders. Pure.

A request has many parts in common with others, and all of them are present when its
server ends. The cause is the part that is present at all ends and has never completed.
"""

from __future__ import annotations

from typing import NamedTuple


_PART_KEY_PREFIX = "part-"

# Separate crashes after which a part is quarantined, if it has never completed. The
# second hit a run that began after the first crash.
_FRESH_CRASHES = 2
# The same for one that has completed before: it is in many requests, and refusing it
# refuses them all.
_PROVEN_CRASHES = 3
# Separate crashes after which runs with a part are held one by one.
_FRESH_SUSPECT_CRASHES = 1
_PROVEN_SUSPECT_CRASHES = 2

# Quarantines by the number of trials that have crashed a server. Each costs a server,
# and a group its ranks, so that at most three are made within a day.
PART_QUARANTINES_S = (120.0, 3_600.0, 86_400.0)


class Cause(NamedTuple):
    """How well a part or a request explains the crashes that it was present at.

    Causes compare by the number of separate crashes, then by the time since the last
    completion: the longer nothing has completed, the likelier the cause.
    """

    crash_count: int
    negated_success_at: float


class PartVerdict(NamedTuple):
    """Whether runs with a part are held one by one, and for how long it is refused."""

    is_suspect: bool
    quarantine_s: float


def build_part_key(digest: str) -> str:
    """Return the key under which evidence of a part is filed."""
    return f"{_PART_KEY_PREFIX}{digest}"


def is_part_key(key: str) -> bool:
    """Return whether evidence under this key is of a part, not of a whole request."""
    return key.startswith(_PART_KEY_PREFIX)


def build_cause(key: str, crash_count: int, succeeded_at: float) -> Cause:
    """Return how well a key with so many separate crashes explains them.

    One crash of a part that has completed before is no evidence: popular parts are
    present whenever a server ends.
    """
    has_succeeded = succeeded_at > float("-inf")
    discount = 1 if has_succeeded and is_part_key(key) else 0
    return Cause(crash_count - discount, -succeeded_at)


def judge_part(
    unexplained_count: int, trial_count: int, *, has_succeeded: bool, is_ambiguous: bool
) -> PartVerdict:
    """Return the verdict on a part after crashes that nothing else explains better.

    Load: each crash of a rank ends all runs of its group for seconds, so that a cause
    has to be found after two. Harm: the part that all requests of a route share is
    blamed, and none of them is served. A part that has completed is therefore refused
    only after a run for which all others were held, and one beside another that
    explains the crashes as well after one crash more.
    """
    needed = _PROVEN_CRASHES if has_succeeded else _FRESH_CRASHES
    needed += is_ambiguous
    suspected_from = (
        _PROVEN_SUSPECT_CRASHES if has_succeeded else _FRESH_SUSPECT_CRASHES
    )
    if unexplained_count >= needed and (trial_count or not has_succeeded):
        level = min(max(0, trial_count - 1), len(PART_QUARANTINES_S) - 1)
        return PartVerdict(True, PART_QUARANTINES_S[level])
    return PartVerdict(unexplained_count >= suspected_from, 0.0)
