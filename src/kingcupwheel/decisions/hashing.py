"""Stable hashes that are equal in every process."""

from __future__ import annotations

from hashlib import blake2b


_DIGEST_BYTES = 8
_HASH_RANGE = float(2 ** (8 * _DIGEST_BYTES))


def stable_hash(*parts: str) -> int:
    """Return a 64-bit hash of ``parts``; the built-in ``hash`` varies by process."""
    text = "\0".join(parts).encode()
    return int.from_bytes(blake2b(text, digest_size=_DIGEST_BYTES).digest(), "big")


def stable_fraction(*parts: str) -> float:
    """Return a number in [0, 1) that depends only on ``parts``."""
    return stable_hash(*parts) / _HASH_RANGE
