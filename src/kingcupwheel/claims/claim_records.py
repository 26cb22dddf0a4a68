"""Claim records: which agent may run a non-idempotent request, and its outcome."""

from __future__ import annotations

import hashlib

import msgspec

from kingcupwheel.messages.attempts import Outcome


CLAIM_KEY_PREFIX = "claims/"


class ClaimRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Value stored under ``claims/<claim_id>``, encoded as JSON.

    ``nonce`` identifies the write, so that a writer that got no confirmation can find
    out by reading back whether it took effect. ``agent``, ``address`` and
    ``incarnation`` identify the only agent process that a dispatch with ``fence`` may
    go to. ``final_outcome`` is set when the outcome can't change any more, with its
    ``reason``. ``created_at`` is in Unix seconds; retention counts from it.
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
    """A claim as last read or written, with its ``version`` on the platform."""

    claim_id: str
    version: int
    record: ClaimRecord


def compute_claim_id(organisation: str, idempotency_key: str) -> str:
    """Return the claim id of an organisation's idempotency key, a SHA-256 digest."""
    text = f"{organisation}\0{idempotency_key}"
    return hashlib.sha256(text.encode()).hexdigest()


def build_claim_key(claim_id: str) -> str:
    """Return the platform key under which the claim is stored."""
    return CLAIM_KEY_PREFIX + claim_id
