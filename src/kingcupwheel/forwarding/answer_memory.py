"""The memory that the answers of one process may take together.

Failure: several servers send bytes without end to many requests at once. Symptom: the
process exceeds the memory of its machine and is killed, with all requests in progress.
A limit for each answer would have to be so small that sound long answers exceed it.
"""

from __future__ import annotations

from threading import Lock
from typing import TYPE_CHECKING

from kingcupwheel.utils.response_limits import ResponseLimit


if TYPE_CHECKING:
    from collections.abc import Callable

# A share of this size is always available, so that small answers are not lost while
# large ones are sent to slow callers.
FREE_SHARE_BYTES = 262_144


class AnswerMemoryError(Exception):
    """The memory for answers is used up, and this one has the most of it."""

    limit = ResponseLimit.MEMORY


class MemoryShare:
    """The memory of one answer; thread-safe.

    ``on_eviction`` is called in the thread of another answer.
    """

    def __init__(self, memory: AnswerMemory) -> None:
        self._memory = memory
        # Without the part that is always available.
        self.size_bytes = 0
        # A complete answer is not evicted.
        self.is_complete = False
        self.on_eviction: Callable[[], None] = lambda: None

    def resize(self, size_bytes: int) -> None:
        """Set the size; raises AnswerMemoryError if there is no memory for it."""
        self._memory.resize(self, size_bytes)

    def close(self) -> None:
        """Release the memory."""
        self._memory.close(self)


class AnswerMemory:
    """Memory of ``limit_bytes`` for the answers of all requests; thread-safe.

    The first ``FREE_SHARE_BYTES`` of each answer are not counted. Once the memory is
    used up, the largest incomplete answer is evicted: those without end are the first
    to become large.
    """

    def __init__(self, limit_bytes: float) -> None:
        self._limit_bytes = limit_bytes
        self._used_bytes = 0
        self._shares: set[MemoryShare] = set()
        self._lock = Lock()

    @property
    def used_bytes(self) -> int:
        """The bytes in use."""
        return self._used_bytes

    def open(self) -> MemoryShare:
        """Return an empty share; close it in the end."""
        share = MemoryShare(self)
        with self._lock:
            self._shares.add(share)
        return share

    def resize(self, share: MemoryShare, size_bytes: int) -> None:
        """Set the size of a share; raises AnswerMemoryError if it is evicted."""
        counted_bytes = max(0, size_bytes - FREE_SHARE_BYTES)
        with self._lock:
            if share not in self._shares:
                raise AnswerMemoryError(f"{size_bytes} bytes of an answer")
            is_larger = counted_bytes > share.size_bytes
            self._used_bytes += counted_bytes - share.size_bytes
            share.size_bytes = counted_bytes
            if not is_larger or self._used_bytes <= self._limit_bytes:
                return
            evicted = max(
                (one for one in self._shares if one is share or not one.is_complete),
                key=lambda one: one.size_bytes,
            )
            self._remove(evicted)
        if evicted is share:
            raise AnswerMemoryError(f"{size_bytes} bytes of an answer")
        evicted.on_eviction()

    def close(self, share: MemoryShare) -> None:
        """Release a share."""
        with self._lock:
            if share in self._shares:
                self._remove(share)

    def _remove(self, share: MemoryShare) -> None:
        self._shares.discard(share)
        self._used_bytes -= share.size_bytes


class RequestMemory:
    """The complete answers that are kept until their request ends; thread-safe."""

    def __init__(self) -> None:
        self._kept: list[MemoryShare] | None = []
        self._lock = Lock()

    def keep(self, share: MemoryShare) -> None:
        """Keep a share, or release it if the request has ended."""
        share.is_complete = True
        with self._lock:
            if self._kept is not None:
                self._kept.append(share)
                return
        share.close()

    def close(self) -> None:
        """Release all shares: the request has ended."""
        with self._lock:
            kept, self._kept = self._kept or [], None
        for share in kept:
            share.close()
