"""Decides which request bodies may be read into a limited memory. Pure."""

from __future__ import annotations


# Bytes of each body that are not counted, so that small requests are never refused for
# the memory that large ones hold.
FREE_BODY_BYTES = 65_536
# Largest share of the free memory that one body may take. The larger a body is, the
# sooner it is refused; the last part of the memory is left to the smaller ones.
_MAX_SHARE_OF_FREE = 0.5


def count_body_bytes(size_bytes: int) -> int:
    """Return how much of a body's size counts against the limit."""
    return max(0, size_bytes - FREE_BODY_BYTES)


def may_hold_body(size_bytes: int, *, used_bytes: int, limit_bytes: float) -> bool:
    """Return whether a body of this size may be held beside ``used_bytes`` of others.

    Bodies that are held already are never given up: servers may be running them.
    """
    counted_bytes = count_body_bytes(size_bytes)
    if counted_bytes == 0:
        return True
    if used_bytes == 0:
        return counted_bytes <= limit_bytes
    return counted_bytes <= (limit_bytes - used_bytes) * _MAX_SHARE_OF_FREE
