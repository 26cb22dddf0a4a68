from __future__ import annotations

import gc
import weakref

import pytest

from kingcupwheel.entry.body_memory import BodyMemory
from kingcupwheel.entry.exceptions import BodyMemoryError


MB = 1_000_000


def test_memory_of_a_body_is_free_once_it_is_closed() -> None:
    memory = BodyMemory(5 * MB)
    body = memory.open()
    body.reserve(4 * MB)
    with pytest.raises(BodyMemoryError):
        memory.open().reserve(4 * MB)

    body.close()
    body.close()

    assert memory.used_bytes == 0
    memory.open().reserve(4 * MB)


def test_bytes_are_freed_although_the_body_is_still_referred_to() -> None:
    """Guards against memory that depends on the garbage collector.

    An answered request stays in reference cycles until the next full collection.
    """

    class Bytes(bytearray):
        """A bytearray that can be watched."""

    body = BodyMemory(5 * MB).open()
    body.set(data := Bytes(10))
    freed = weakref.ref(data)
    cycle = [body]
    cycle.append(cycle)  # type: ignore[arg-type]
    gc.disable()
    try:
        del data
        body.close()
        assert freed() is None
    finally:
        gc.enable()


def test_refusal_of_a_body_that_no_memory_holds_names_no_time() -> None:
    """Guards against callers that come again for a body that is never read."""
    memory = BodyMemory(MB)

    with pytest.raises(BodyMemoryError) as too_large:
        memory.open().reserve(2 * MB)
    memory.open().reserve(MB)
    with pytest.raises(BodyMemoryError) as later:
        memory.open().reserve(MB // 2)

    assert too_large.value.retry_after_s == 0.0
    assert 0.2 <= later.value.retry_after_s <= 2.0


def test_body_that_grows_counts_once() -> None:
    memory = BodyMemory(3 * MB)
    body = memory.open()

    for size in range(0, 2 * MB + 1, 65_536):
        body.reserve(size)

    assert memory.used_bytes < 2 * MB
