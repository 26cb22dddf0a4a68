"""Admission of requests that are suspected of crashing their servers."""

from __future__ import annotations

import time
from time import monotonic
from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.decisions.crash_suspects import Held
from kingcupwheel.decisions.crash_suspects import NotSuspected
from kingcupwheel.decisions.crash_suspects import Quarantined
from kingcupwheel.decisions.crash_suspects import Suspect
from kingcupwheel.decisions.hashing import stable_fraction
from kingcupwheel.entry.refusals import ENTRY_LEAVING
from kingcupwheel.entry.refusals import Refusal
from kingcupwheel.forwarding.final_refusals import retry_after_s


if TYPE_CHECKING:
    from kingcupwheel.forwarding.crash_evidence import CrashEvidence
    from kingcupwheel.forwarding.requests import ForwardRequest
    from kingcupwheel.forwarding.watchdog import WatchedRequest

_POLL_INTERVAL_S = 0.02
# The callers of a refused request come back within this time after it may run.
RETURN_SPREAD_S = 1.0


class AdmittedSuspect(NamedTuple):
    """The request may run on one server; it survives if it runs for ``probation_s``."""

    probation_s: float


def admit_suspect(
    evidence: CrashEvidence, request: ForwardRequest, watched: WatchedRequest
) -> AdmittedSuspect | Refusal | None:
    """Return None for a request that is no suspect, else whether it may run.

    A suspect waits while another run of it is in progress: if that one survives, all of
    them may run at once, and if it crashes its server, the others crash none.
    """
    is_waiting = False
    try:
        while True:
            match evidence.begin_run(request.fingerprint, request.id):
                case NotSuspected():
                    return None
                case Suspect(_, probation_s):
                    return AdmittedSuspect(probation_s)
                case Quarantined() as quarantined:
                    return quarantine_refusal(quarantined, request.id)
                case Held() as held:
                    is_waiting = is_waiting or evidence.try_begin_wait()
                    if not watched.may_dispatch():
                        return ENTRY_LEAVING._replace(
                            retry_after_s=retry_after_s(request.id)
                        )
                    if not is_waiting or _is_too_late(request, watched):
                        return _refuse_held(held, request.id)
                    time.sleep(min(held.remaining_s, _POLL_INTERVAL_S))
    finally:
        if is_waiting:
            evidence.end_wait()


def _is_too_late(request: ForwardRequest, watched: WatchedRequest) -> bool:
    return watched.is_over or monotonic() >= request.deadlines.first_byte_deadline_at


def _refuse_held(held: Held, request_id: str) -> Refusal:
    message = (
        f"{held.crash_count} servers died while they ran this request, and another "
        "send of it runs."
    )
    return Refusal(503, "suspect-held", message, _spread(held.remaining_s, request_id))


def quarantine_refusal(quarantined: Quarantined, request_id: str) -> Refusal:
    """Return the refusal of a request that crashed servers."""
    message = f"{quarantined.crash_count} servers died while they ran this request."
    return Refusal(
        503, "quarantined", message, _spread(quarantined.remaining_s, request_id)
    )


def _spread(remaining_s: float, request_id: str) -> float:
    """Return a time shortly after ``remaining_s``, different for each caller.

    One of them runs the request first; the others need not come while it runs.
    """
    return remaining_s + RETURN_SPREAD_S * stable_fraction(request_id)
