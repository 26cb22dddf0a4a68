"""Errors of reading and writing claims."""

from __future__ import annotations

from typing import NamedTuple


class ClaimUnavailable(NamedTuple):
    """The claim can't be read or written now; nothing was dispatched."""

    detail: str
    retry_after_s: float


class ClaimConflict(NamedTuple):
    """Another entry wrote the claim first; the caller has to read it again."""

    claim_id: str


ClaimError = ClaimUnavailable | ClaimConflict
