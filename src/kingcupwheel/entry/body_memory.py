"""The memory that the bodies of callers' requests may take together.

Failure: callers send more large bodies at once than the memory of the instance holds,
such as after the loss of other entries. Symptom: the process exceeds its memory and is
killed, with all requests in progress.
"""

from __future__ import annotations

from threading import Lock
from time import monotonic

from kingcupwheel.decisions.memory_admission import count_body_bytes
from kingcupwheel.decisions.memory_admission import may_hold_body
from kingcupwheel.entry.exceptions import BodyMemoryError


# Bounds of the delay that a refused caller is asked for, in seconds.
_MIN_RETRY_AFTER_S = 0.2
_MAX_RETRY_AFTER_S = 2.0
# Weight of the newest body in the mean time for which bodies are held.
_MEAN_WEIGHT = 0.2


class RequestBody:
    """The body of one request; ``close`` it once the request is answered.

    Its bytes are freed then, whatever else still refers to the request. Not
    thread-safe, except for reading ``data``.
    """

    def __init__(self, memory: BodyMemory | None = None, data: bytes = b"") -> None:
        self._memory = memory
        self._began_at = monotonic()
        self._data: bytes | bytearray | None = data
        self.size_bytes = 0

    def __len__(self) -> int:
        return 0 if self._data is None else len(self._data)

    @property
    def data(self) -> bytes | bytearray | None:
        """The bytes, None once it is closed."""
        return self._data

    def reserve(self, size_bytes: int) -> None:
        """Reserve memory for ``size_bytes`` in all; raises BodyMemoryError."""
        if self._memory is not None:
            self._memory.resize(self, size_bytes)

    def set(self, data: bytes | bytearray) -> None:
        """Set the bytes, for which memory has been reserved."""
        self._data = data

    def close(self) -> None:
        """Free the bytes and the reserved memory."""
        self._data = None
        if self._memory is not None and self.size_bytes:
            self._memory.release(self, monotonic() - self._began_at)


class BodyMemory:
    """Memory of ``limit_bytes`` for the bodies of all requests; thread-safe.

    A body for which there is no room is refused before it is read.
    """

    def __init__(self, limit_bytes: float) -> None:
        self._limit_bytes = limit_bytes
        self._used_bytes = 0
        self._mean_held_s = _MIN_RETRY_AFTER_S
        self._lock = Lock()

    @property
    def used_bytes(self) -> int:
        """The bytes in use, without the part of each body that is not counted."""
        return self._used_bytes

    def open(self) -> RequestBody:
        """Return an empty body without memory."""
        return RequestBody(self)

    def resize(self, body: RequestBody, size_bytes: int) -> None:
        """Reserve memory for a body that grows; raises BodyMemoryError."""
        with self._lock:
            used_by_others = self._used_bytes - count_body_bytes(body.size_bytes)
            if not may_hold_body(
                size_bytes, used_bytes=used_by_others, limit_bytes=self._limit_bytes
            ):
                raise BodyMemoryError(
                    size_bytes,
                    used_bytes=used_by_others,
                    limit_bytes=self._limit_bytes,
                    retry_after_s=self._retry_after_s(size_bytes),
                )
            self._used_bytes = used_by_others + count_body_bytes(size_bytes)
            body.size_bytes = size_bytes

    def release(self, body: RequestBody, held_s: float) -> None:
        """Release the memory of a body that was held for ``held_s``."""
        with self._lock:
            counted_bytes = count_body_bytes(body.size_bytes)
            body.size_bytes = 0
            self._used_bytes -= counted_bytes
            if counted_bytes:
                self._mean_held_s += _MEAN_WEIGHT * (held_s - self._mean_held_s)

    def _retry_after_s(self, size_bytes: int) -> float:
        """Return about the time until other bodies are gone, 0 if none would do."""
        if count_body_bytes(size_bytes) > self._limit_bytes:
            return 0.0
        return min(_MAX_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, self._mean_held_s))
