from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from kingcupwheel.decisions.memory_admission import FREE_BODY_BYTES
from kingcupwheel.decisions.memory_admission import count_body_bytes
from kingcupwheel.decisions.memory_admission import may_hold_body


MB = 1_000_000
sizes = st.integers(min_value=0, max_value=20 * MB)


@given(st.lists(sizes, max_size=60), st.integers(min_value=0, max_value=64 * MB))
def test_admitted_bodies_never_exceed_the_limit(sizes: list[int], limit: int) -> None:
    used = 0
    for size in sizes:
        if may_hold_body(size, used_bytes=used, limit_bytes=limit):
            used += count_body_bytes(size)

    assert used <= limit


@given(st.integers(min_value=0, max_value=64 * MB), st.integers(max_value=64 * MB))
def test_small_bodies_are_never_refused(used: int, limit: int) -> None:
    """Guards against small requests that are refused for the memory of large ones."""
    assert may_hold_body(FREE_BODY_BYTES, used_bytes=used, limit_bytes=limit)


@given(sizes, sizes, st.integers(min_value=0, max_value=64 * MB))
def test_smaller_body_fits_wherever_a_larger_one_does(
    one: int, other: int, used: int
) -> None:
    """Guards against a large body that is served while a smaller one is refused."""
    smaller, larger = sorted((one, other))

    if may_hold_body(larger, used_bytes=used, limit_bytes=64 * MB):
        assert may_hold_body(smaller, used_bytes=used, limit_bytes=64 * MB)


def test_only_body_may_take_the_whole_memory() -> None:
    """Guards against a body that is refused although nothing else is in progress."""
    largest = 8 * MB + FREE_BODY_BYTES

    assert may_hold_body(largest, used_bytes=0, limit_bytes=8 * MB)
    assert not may_hold_body(largest + 1, used_bytes=0, limit_bytes=8 * MB)


def test_last_part_of_the_memory_is_left_to_smaller_bodies() -> None:
    """Guards against bodies of medium size that find no room beside large ones."""
    used = 0
    while may_hold_body(4 * MB, used_bytes=used, limit_bytes=64 * MB):
        used += count_body_bytes(4 * MB)

    assert used > 56 * MB - 4 * MB
    assert may_hold_body(MB, used_bytes=used, limit_bytes=64 * MB)
