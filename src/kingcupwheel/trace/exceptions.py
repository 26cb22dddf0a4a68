"""Errors of trace storage and retrieval."""

from __future__ import annotations

from typing import NamedTuple


class InvalidBatch(NamedTuple):
    """A batch object that can't be decoded; ``detail`` says why."""

    detail: str


class InvalidRequestId(NamedTuple):
    """The text is not a valid request id."""

    text: str


class ClaimNotFound(NamedTuple):
    """No claim exists for the idempotency key; claims expire after their retention."""

    idempotency_key: str


class PlatformUnavailable(NamedTuple):
    """The platform can't be read; ``detail`` says why."""

    detail: str


FindError = InvalidRequestId | ClaimNotFound | PlatformUnavailable
