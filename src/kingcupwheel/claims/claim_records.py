"""What a claim holds: who may run a request that may not be repeated, and where."""

from __future__ import annotations

import hashlib

import msgspec

from kingcupwheel.messages.attempts import Outcome


CLAIM_KEY_PREFIX = "claims/"


class ClaimRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The value of ``claims/<claim_id>``, as JSON.

    ``nonce`` names the write, so that a lost confirmation is settled by reading back.
    ``agent``, ``address`` and ``incarnation`` name the only life of the only agent that
    a dispatch with ``fence`` may go to. ``final`` is set once nothing can change any
    more; ``created_at`` is in Unix seconds and dates the claim for its retention.
    """

    organisation: str
    request_id: str
    attempt: int
    nonce: str
    body_digest: str
    entry: str
    agent: str
    address: str
    incarnation: str
    fence: int
    created_at: float
    final_outcome: Outcome | None = msgspec.field(default=None, name="final")
    reason: str = ""


class StoredClaim(msgspec.Struct, frozen=True):
    """A claim as read or written, at the platform's ``version`` of it."""

    claim_id: str
    version: int
    record: ClaimRecord


def compute_claim_id(organisation: str, idempotency_key: str) -> str:
    """Return the digest that names the claim of an organisation's key."""
    text = f"{organisation}\0{idempotency_key}"
    return hashlib.sha256(text.encode()).hexdigest()


def build_claim_key(claim_id: str) -> str:
    """Return the platform's key of the claim."""
    return CLAIM_KEY_PREFIX + claim_id
