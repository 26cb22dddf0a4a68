from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from kingcupwheel.platform.client import VersionedValue
from kingcupwheel.trace.batch_sweeper import WRITER_MARKER_PREFIX
from kingcupwheel.trace.batch_sweeper import BatchSweeper
from kingcupwheel.trace.batch_sweeper import select_successor
from kingcupwheel.trace.batches import BatchName
from tests.trace.builders import AGENT
from tests.trace.builders import ENTRY
from tests.trace.builders import START
from tests.trace.builders import MemoryPlatform


REMOVED_BATCH = BatchName("entry-7", int(START), int(START) + 30, "ffff", 1)


def put_object(platform: MemoryPlatform, key: str) -> None:
    platform.objects[key] = VersionedValue(key, 1, b"")


def find_all_batches(platform: MemoryPlatform) -> list[BatchName]:
    found_by_process = [
        BatchSweeper(platform, name).find_batches() for name in (ENTRY, AGENT)
    ]
    return [batch for batches in found_by_process for batch in batches]


def test_batches_of_removed_process_have_exactly_one_successor() -> None:
    """Guards against batches that stay on the platform for ever.

    An entry is replaced by one of another name. Exactly one of the two remaining
    processes takes over its batches; its marker is deleted after them.
    """
    platform = MemoryPlatform(ENTRY, AGENT)
    put_object(platform, REMOVED_BATCH.key)
    put_object(platform, f"{WRITER_MARKER_PREFIX}entry-7")

    assert find_all_batches(platform) == [REMOVED_BATCH]
    del platform.objects[REMOVED_BATCH.key]
    assert find_all_batches(platform) == []
    assert platform.objects == {}


def test_outage_or_empty_list_removes_no_process() -> None:
    platform = MemoryPlatform()
    put_object(platform, REMOVED_BATCH.key)
    put_object(platform, f"{WRITER_MARKER_PREFIX}entry-7")

    assert find_all_batches(platform) == []
    platform.is_down = True
    assert find_all_batches(platform) == []


@given(st.lists(st.text(min_size=1), min_size=2, unique=True))
def test_successor_is_stable_while_it_is_live(live: list[str]) -> None:
    successor = select_successor("gone", live)

    assert select_successor("gone", reversed(live)) == successor
    others = [name for name in live if name == successor or name < successor]
    assert select_successor("gone", others) == successor
