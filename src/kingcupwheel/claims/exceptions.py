"""Errors of the claims layer."""

from __future__ import annotations

from typing import NamedTuple


class ClaimUnavailable(NamedTuple):
    """The platform could not make, move or read the claim; nothing was dispatched."""

    detail: str
    retry_after_s: float


class ClaimConflict(NamedTuple):
    """Another entry changed the claim first; read it again."""

    claim_id: str


ClaimError = ClaimUnavailable | ClaimConflict
