"""Refusals of requests that no server has answered."""

from __future__ import annotations

from kingcupwheel.entry.refusals import Refusal
from kingcupwheel.forwarding.outcomes import NextStep
from kingcupwheel.forwarding.retry_guards import with_jitter
from kingcupwheel.messages.attempts import Outcome


# Limit of a refusal in whose place the server's own error answer is sent.
SERVER_FAILED = "server-failed"
# Delay before a caller retries if no server was free in time: about one answer's time.
_BASE_RETRY_AFTER_S = 0.4


def retry_after_s(request_id: str, backoff_left_s: float = 0.0) -> float:
    """Return the delay before the caller retries, with jitter by the request's id.

    ``backoff_left_s`` is the time until the first server's backoff ends, 0 if any
    of them may get work.
    """
    return with_jitter(max(_BASE_RETRY_AFTER_S, backoff_left_s), request_id)


def refusal_for_step(
    step: NextStep, reason: str, request_id: str, backoff_left_s: float = 0.0
) -> Refusal | None:
    """Return the refusal for a step, None if the step is a retry."""
    match step:
        case NextStep.RETRY:
            return None
        case NextStep.PASS_ON:
            return Refusal(500, SERVER_FAILED, reason, outcome=Outcome.RAN)
        case NextStep.REFUSE:
            message = f"No server took it: {reason}."
            after_s = retry_after_s(request_id, backoff_left_s)
            return Refusal(503, "no-server-took-it", message, after_s)
        case NextStep.UNKNOWN:
            message = f"It was sent to a server, and its answer is lost: {reason}."
            return Refusal(502, "answer-lost", message, 0.0, Outcome.UNKNOWN)
        case NextStep.TIMEOUT:
            message = f"Its time is up, and a server may have run it: {reason}."
            return Refusal(504, "time-up", message, 0.0, Outcome.UNKNOWN)
