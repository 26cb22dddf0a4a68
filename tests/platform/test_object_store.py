from __future__ import annotations

import json
from typing import TYPE_CHECKING

import pytest

from kingcupwheel.platform.errors import Conflict
from kingcupwheel.platform.errors import HistoryGone
from kingcupwheel.platform.errors import RateLimited
from kingcupwheel.platform.errors import Unavailable
from kingcupwheel.platform.object_store import ObjectStore
from tests.standins.object_store import PAGE_SIZE
from tests.standins.object_store import StoredObjects
from tests.standins.object_store import StoreFaults
from tests.standins.object_store import StoreServer


if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture
def door() -> Iterator[StoreServer]:
    found = StoreServer(StoredObjects())
    found.start()
    try:
        yield found
    finally:
        found.stop()


@pytest.fixture
def store(door: StoreServer) -> ObjectStore:
    return ObjectStore(door.url, call_timeout_s=0.5)


def test_a_list_is_read_page_by_page(door: StoreServer, store: ObjectStore) -> None:
    names = [f"o-{number}" for number in range(3 * PAGE_SIZE + 1)]
    for name in names:
        door.objects.put("kind", name, {"name": name})

    listed = store.list_objects("kind").ok

    assert [item.name for item in listed.objects] == names
    assert json.loads(listed.objects[0].body) == {"name": "o-0"}
    assert listed.revision == door.objects.revision


def test_a_watch_returns_written_and_deleted_objects(
    door: StoreServer, store: ObjectStore
) -> None:
    door.objects.put("kind", "a", 1)
    revision = store.list_objects("kind").ok.revision
    door.objects.put("kind", "b", 2)
    door.objects.remove("kind", "a")

    found = store.watch("kind", after=revision, wait_s=0.2).ok

    assert [(change.object.name, change.is_removed) for change in found.changes] == [
        ("b", False),
        ("a", True),
    ]
    again = store.watch("kind", after=found.revision, wait_s=0.05).ok
    assert again.changes == ()


def test_a_watch_from_a_lost_revision_returns_history_gone(
    door: StoreServer, store: ObjectStore
) -> None:
    door.objects.put("kind", "a", 1)
    door.objects.compact_history()

    result = store.watch("kind", after=1, wait_s=0.1)

    assert isinstance(result.error, HistoryGone)


def test_writes_are_conditional(store: ObjectStore) -> None:
    """Two entries of one name register at once; the second one gets a conflict."""
    first = store.create("kind", "a", b'"one"').ok
    second = store.create("kind", "a", b'"two"')

    assert isinstance(second.error, Conflict)
    assert second.error.version == first.revision
    replaced = store.replace("kind", "a", b'"two"', revision=first.revision)
    assert replaced.is_ok()
    stale = store.replace("kind", "a", b'"three"', revision=first.revision)
    assert isinstance(stale.error, Conflict)
    assert isinstance(store.delete("kind", "a", revision=1).error, Conflict)
    assert store.delete("kind", "a", revision=replaced.ok.revision).is_ok()
    assert store.read("kind", "a").ok is None


def test_a_write_without_a_response_may_have_taken_effect(
    door: StoreServer, store: ObjectStore
) -> None:
    door.faults = StoreFaults(drops_write_responses=True)

    written = store.create("kind", "a", b"1")

    assert isinstance(written.error, Unavailable)
    assert written.error.sent
    assert door.objects.list_names("kind") == ["a"]


def test_rate_limits_and_unavailability_are_distinguished(
    door: StoreServer, store: ObjectStore
) -> None:
    door.faults = StoreFaults(error_status=429)
    assert isinstance(store.list_objects("kind").error, RateLimited)
    door.faults = StoreFaults(error_status=503)
    refused = store.create("kind", "a", b"1")
    assert isinstance(refused.error, Unavailable)
    assert not refused.error.sent


def test_a_call_to_a_silent_store_times_out(
    door: StoreServer, store: ObjectStore
) -> None:
    door.faults = StoreFaults(is_silent=True)

    assert isinstance(store.read("kind", "a").error, Unavailable)
