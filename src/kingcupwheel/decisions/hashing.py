"""Hashes that are equal in every process, for choices that must agree."""

from __future__ import annotations

from hashlib import blake2b


_DIGEST_BYTES = 8
_HASH_RANGE = float(2 ** (8 * _DIGEST_BYTES))


def stable_hash(*parts: str) -> int:
    """Return a 64-bit hash of ``parts``; Python's own differs in each process."""
    text = "\0".join(parts).encode()
    return int.from_bytes(blake2b(text, digest_size=_DIGEST_BYTES).digest(), "big")


def stable_fraction(*parts: str) -> float:
    """Return a number from 0 up to 1 that depends on ``parts`` alone."""
    return stable_hash(*parts) / _HASH_RANGE
