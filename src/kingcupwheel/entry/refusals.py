"""Refusals sent to callers: status, reason, outcome and retry delay."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import TypedDict

from kingcupwheel.messages.attempts import Outcome


if TYPE_CHECKING:
    from kingcupwheel.claims.exceptions import ClaimUnavailable
    from kingcupwheel.entry.exceptions import BodyMemoryError


class Refusal(NamedTuple):
    """The final answer to a request without an answer of a backend server.

    ``reason`` is machine-readable, ``message`` a sentence. ``retry_after_s`` is 0 if a
    retry would not help.
    """

    status: int
    reason: str
    message: str
    retry_after_s: float = 0.0
    outcome: Outcome = Outcome.NOT_RUN


class RefusalBody(TypedDict):
    """The JSON body of a refusal, under the key ``error``."""

    reason: str
    message: str
    outcome: str
    request_id: str
    retry_after_s: float


def build_refusal_body(refusal: Refusal, request_id: str) -> RefusalBody:
    """Return the body of the caller's response."""
    return RefusalBody(
        reason=refusal.reason,
        message=refusal.message,
        outcome=refusal.outcome.value,
        request_id=request_id,
        retry_after_s=refusal.retry_after_s,
    )


def build_bad_request_refusal(message: str) -> Refusal:
    """Return a refusal of a malformed request."""
    return Refusal(400, "bad-request", message)


API_KEY_MISSING = Refusal(401, "no-key", "A bearer key is needed.")
API_KEY_UNKNOWN = Refusal(401, "bad-key", "The key belongs to no organisation.")
NO_ROUTE = Refusal(404, "no-route", "No route has this host and path.")
BAD_METHOD = Refusal(405, "bad-method", "The route does not take this method.")
BODY_TOO_LARGE = Refusal(413, "body-too-large", "The body is over the entry's limit.")
BODY_TOO_SLOW = Refusal(408, "body-too-slow", "The body did not arrive in time.")
HEADERS_TOO_LARGE = Refusal(
    431, "headers-too-large", "The headers are over the entry's limit."
)
IDEMPOTENCY_KEY_REUSED = Refusal(
    422, "idempotency-key-reused", "The Idempotency-Key was used with another body."
)
IDEMPOTENCY_KEY_MISSING = Refusal(
    400,
    "idempotency-key-missing",
    "This route runs requests at most once and needs an Idempotency-Key.",
)
NO_MANIFEST = Refusal(503, "no-manifest", "No configuration is in force yet.", 2.0)
ENTRY_BUSY = Refusal(
    503, "entry-busy", "The entry answers as many requests as it may.", 1.0
)
CALLER_LEFT = Refusal(499, "caller-left", "The caller left before it was placed.")
ENTRY_LEAVING = Refusal(503, "entry-leaving", "The entry stops; use another one.", 1.0)
EARLIER_SEND_RUNNING = Refusal(
    409,
    "earlier-send-running",
    "An earlier send of this Idempotency-Key is still being answered.",
    1.0,
    Outcome.UNKNOWN,
)


def build_body_memory_refusal(error: BodyMemoryError) -> Refusal:
    """Return the refusal of a request whose body finds no memory."""
    message = f"The entry has {error}."
    return Refusal(503, "body-memory", message, error.retry_after_s)


def build_earlier_send_refusal(outcome: Outcome, reason: str) -> Refusal:
    """Return the refusal of a resend whose earlier send has no answer to read."""
    message = f"An earlier send of this Idempotency-Key ended: {reason}."
    return Refusal(409, "earlier-send", message, outcome=outcome)


def build_claim_refusal(
    error: ClaimUnavailable, *, is_claimed: bool = False
) -> Refusal:
    """Return the refusal of a request whose claim can't be written or resolved.

    ``is_claimed`` means that an earlier send wrote a claim. That send may have run, and
    a caller that gets ``not-run`` for a resend would take it for every send of the key.
    """
    message = (
        "The request may run at most once, and the platform can't record it now: "
        f"{error.detail}."
    )
    outcome = Outcome.UNKNOWN if is_claimed else Outcome.NOT_RUN
    return Refusal(503, "claim-unavailable", message, error.retry_after_s, outcome)
