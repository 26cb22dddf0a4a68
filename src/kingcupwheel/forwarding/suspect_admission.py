"""Admission of requests that are suspected of crashing their servers."""

from __future__ import annotations

import time
from time import monotonic
from typing import TYPE_CHECKING

from kingcupwheel.decisions.hashing import stable_fraction
from kingcupwheel.decisions.suspicion_status import Held
from kingcupwheel.decisions.suspicion_status import NotSuspected
from kingcupwheel.decisions.suspicion_status import Quarantined
from kingcupwheel.decisions.trial_claims import CLAIM_LEASE_S
from kingcupwheel.entry.refusals import ENTRY_LEAVING
from kingcupwheel.entry.refusals import Refusal
from kingcupwheel.forwarding.crash_evidence import ClaimedRun
from kingcupwheel.forwarding.final_refusals import retry_after_s


if TYPE_CHECKING:
    from kingcupwheel.forwarding.crash_evidence import CrashEvidence
    from kingcupwheel.forwarding.requests import ForwardRequest
    from kingcupwheel.forwarding.watchdog import WatchedRequest

_POLL_INTERVAL_S = 0.02
# The callers of a refused request come back within this time after it may run.
RETURN_SPREAD_S = 1.0


def admit_suspect(
    evidence: CrashEvidence,
    request: ForwardRequest,
    watched: WatchedRequest,
    *,
    has_run: bool,
) -> ClaimedRun | Refusal | None:
    """Return None for a request that is no suspect, else whether it may run.

    A suspect waits while another run of it is in progress: if that one survives, all of
    them may run at once, and if it crashes its server, the others crash none. One that
    ``has_run`` is in progress: an entry that stops lets it go on.
    """
    deadlines = request.deadlines
    wait_until = deadlines.deadline_at if has_run else deadlines.first_byte_deadline_at
    is_waiting = False
    try:
        while True:
            match evidence.claim_run(request.evidence_keys, request.id):
                case NotSuspected():
                    return None
                case ClaimedRun() as claimed:
                    if _begin_after_settling(evidence, claimed, request, watched):
                        return claimed
                    remaining_s, crash_count = CLAIM_LEASE_S, claimed.crash_count
                case Quarantined() as quarantined:
                    return quarantine_refusal(quarantined, request.id)
                case Held(crash_count, remaining_s):
                    pass
            is_waiting = is_waiting or evidence.try_begin_wait()
            if not has_run and not watched.may_dispatch():
                return ENTRY_LEAVING._replace(retry_after_s=retry_after_s(request.id))
            if not is_waiting or watched.is_over or monotonic() >= wait_until:
                return _refuse_held(crash_count, remaining_s, request.id)
            time.sleep(min(remaining_s, _POLL_INTERVAL_S))
    finally:
        if is_waiting:
            evidence.end_wait()


def _begin_after_settling(
    evidence: CrashEvidence,
    claimed: ClaimedRun,
    request: ForwardRequest,
    watched: WatchedRequest,
) -> bool:
    """Return whether the claimed run has begun once the other entries know of it."""
    settled_at = monotonic() + claimed.settle_s
    while (left_s := settled_at - monotonic()) > 0 and not watched.is_over:
        time.sleep(min(left_s, _POLL_INTERVAL_S))
    if watched.is_over:
        evidence.end_run(claimed.keys)
        return False
    return evidence.begin_claimed_run(claimed, request.id)


def _refuse_held(crash_count: int, remaining_s: float, request_id: str) -> Refusal:
    message = (
        f"{crash_count} servers died while they ran this request or one with a part of "
        "its prompt, and another such request runs."
    )
    return Refusal(503, "suspect-held", message, _spread(remaining_s, request_id))


def quarantine_refusal(quarantined: Quarantined, request_id: str) -> Refusal:
    """Return the refusal of a request that crashed servers."""
    message = (
        f"{quarantined.crash_count} servers died while they ran this request or one "
        "with a part of its prompt."
    )
    return Refusal(
        503, "quarantined", message, _spread(quarantined.remaining_s, request_id)
    )


def _spread(remaining_s: float, request_id: str) -> float:
    """Return a time shortly after ``remaining_s``, different for each caller.

    One of them runs the request first; the others need not come while it runs.
    """
    return remaining_s + RETURN_SPREAD_S * stable_fraction(request_id)
