from __future__ import annotations

import json
from typing import TYPE_CHECKING

import pytest

from kingcupwheel.platform.errors import Conflict
from kingcupwheel.platform.errors import HistoryGone
from kingcupwheel.platform.errors import RateLimited
from kingcupwheel.platform.errors import Unavailable
from kingcupwheel.platform.object_store import ObjectStore
from tests.standins.object_store import PAGE
from tests.standins.object_store import Door
from tests.standins.object_store import Faults
from tests.standins.object_store import StoredObjects


if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture
def door() -> Iterator[Door]:
    found = Door(StoredObjects())
    found.start()
    try:
        yield found
    finally:
        found.stop()


@pytest.fixture
def store(door: Door) -> ObjectStore:
    return ObjectStore(door.url, call_timeout_s=0.5)


def test_a_list_is_read_page_by_page(door: Door, store: ObjectStore) -> None:
    names = [f"o-{number}" for number in range(3 * PAGE + 1)]
    for name in names:
        door.objects.put("kind", name, {"name": name})

    listed = store.list_objects("kind").ok

    assert [one.name for one in listed.objects] == names
    assert json.loads(listed.objects[0].body) == {"name": "o-0"}
    assert listed.revision == door.objects.revision


def test_a_watch_tells_what_changed_and_what_is_gone(
    door: Door, store: ObjectStore
) -> None:
    door.objects.put("kind", "a", 1)
    revision = store.list_objects("kind").ok.revision
    door.objects.put("kind", "b", 2)
    door.objects.remove("kind", "a")

    found = store.watch("kind", after=revision, wait_s=0.2).ok

    assert [(one.object.name, one.is_removed) for one in found.changes] == [
        ("b", False),
        ("a", True),
    ]
    again = store.watch("kind", after=found.revision, wait_s=0.05).ok
    assert again.changes == ()


def test_history_that_is_gone_is_told_apart(door: Door, store: ObjectStore) -> None:
    door.objects.put("kind", "a", 1)
    door.objects.forget_history()

    asked = store.watch("kind", after=1, wait_s=0.1)

    assert isinstance(asked.error, HistoryGone)


def test_writes_are_conditional(store: ObjectStore) -> None:
    """Two entries of one name register at once; the second is told the revision."""
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


def test_a_write_that_gets_no_answer_may_have_taken_effect(
    door: Door, store: ObjectStore
) -> None:
    door.faults = Faults(loses=True)

    written = store.create("kind", "a", b"1")

    assert isinstance(written.error, Unavailable)
    assert written.error.sent
    assert door.objects.names("kind") == ["a"]


def test_refusals_are_told_apart(door: Door, store: ObjectStore) -> None:
    door.faults = Faults(refuses=429)
    assert isinstance(store.list_objects("kind").error, RateLimited)
    door.faults = Faults(refuses=503)
    refused = store.create("kind", "a", b"1")
    assert isinstance(refused.error, Unavailable)
    assert not refused.error.sent


def test_a_silent_store_holds_nobody_for_longer_than_a_call(
    door: Door, store: ObjectStore
) -> None:
    door.faults = Faults(silent=True)

    assert isinstance(store.read("kind", "a").error, Unavailable)
