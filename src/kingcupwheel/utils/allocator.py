"""Settings of the C library's memory allocator."""

from __future__ import annotations

import ctypes
import logging


logger = logging.getLogger("kingcupwheel.process")

# Parameter of glibc's mallopt, see malloc.h.
_M_MMAP_THRESHOLD = -3
# Blocks from this size on are mapped, and unmapped when they are freed.
_MAPPED_BLOCK_BYTES = 131_072


def unmap_large_blocks() -> None:
    """Return each large block to the system once it is freed.

    Failure: by default the allocator raises its threshold when the first large block is
    freed, and then keeps such blocks, for each thread apart. Symptom: the memory of a
    process grows to the sum of the largest bodies that each of its threads has read.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        logger.info("The C library has no mallopt; freed memory may be kept.")
        return
    mallopt(_M_MMAP_THRESHOLD, _MAPPED_BLOCK_BYTES)
