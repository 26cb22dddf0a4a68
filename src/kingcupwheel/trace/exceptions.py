"""Errors of the trace layer."""

from __future__ import annotations

from typing import NamedTuple


class InvalidBatch(NamedTuple):
    """An object under ``traces/`` that can't be read; ``detail`` says why."""

    detail: str


class InvalidRequestId(NamedTuple):
    """The text names no request."""

    text: str


class ClaimNotFound(NamedTuple):
    """No claim is kept for the idempotency key; claims have a retention."""

    key: str


class PlatformUnavailable(NamedTuple):
    """The platform's service did not answer; ``detail`` says how."""

    detail: str


FindError = InvalidRequestId | ClaimNotFound | PlatformUnavailable
