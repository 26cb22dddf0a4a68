from __future__ import annotations

from typing import TYPE_CHECKING

from tests.forwarding.large_bodies import MB
from tests.forwarding.large_bodies import LargeBodyFleet


if TYPE_CHECKING:
    from pathlib import Path

BODY_BYTES = 4 * MB
REQUESTS_BYTES = 16 * MB
# What a process needs beside the bodies, once the limits are reached: threads, buffers
# and memory that is not given back.
OTHER_MB = 30.0


def test_bodies_of_many_callers_take_no_more_than_their_memory(
    tmp_path: Path,
) -> None:
    """Guards against an entry that is killed for the memory of allowed requests.

    After the loss of the other entries all callers come to the last one.
    """
    with LargeBodyFleet(tmp_path, REQUESTS_BYTES) as fleet:
        before_mb = fleet.memory_mb
        found = fleet.send_at_once([BODY_BYTES] * 24, each=3)

    answers = [one for each in found for one in each]
    refused = [one for one in answers if one.status == 503]
    assert {one.status for one in answers} == {200, 503}
    assert all(one.retry_after_s > 0 for one in refused)
    assert fleet.peak_mb < before_mb + REQUESTS_BYTES / MB + OTHER_MB


def test_memory_of_bodies_does_not_grow_with_the_number_of_requests(
    tmp_path: Path,
) -> None:
    """Guards against bodies that are kept until the garbage collector runs."""
    with LargeBodyFleet(tmp_path, REQUESTS_BYTES) as fleet:
        before_mb = fleet.memory_mb
        found = fleet.send_at_once([BODY_BYTES] * 2, each=12)

    assert {one.status for each in found for one in each} == {200}
    assert fleet.peak_mb < before_mb + 2 * BODY_BYTES / MB + OTHER_MB


def test_small_requests_are_served_beside_large_ones(tmp_path: Path) -> None:
    """Guards against small requests that suffer from the memory of large ones."""
    sizes = [BODY_BYTES] * 12 + [60_000] * 6
    with LargeBodyFleet(tmp_path, REQUESTS_BYTES) as fleet:
        found = fleet.send_at_once(sizes, each=4)

    assert {one.status for each in found[12:] for one in each} == {200}
    assert any(one.status == 503 for each in found[:12] for one in each)


def test_large_requests_are_served_while_there_is_room(tmp_path: Path) -> None:
    """Guards against a limit that refuses what the memory holds."""
    with LargeBodyFleet(tmp_path, 64 * MB) as fleet:
        found = fleet.send_at_once([BODY_BYTES] * 8, each=3)

    assert {one.status for each in found for one in each} == {200}
