from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import pytest

from kingcupwheel.claims.claim_records import compute_claim_id
from kingcupwheel.claims.claim_store import ClaimStore
from kingcupwheel.claims.exceptions import ClaimConflict
from kingcupwheel.claims.exceptions import ClaimUnavailable
from kingcupwheel.platform.http import HttpPlatformClient
from kingcupwheel.settings.schema import PlatformSettings
from tests.claims.builders import build_record


if TYPE_CHECKING:
    from tests.standins.platform import PlatformStandIn


CLAIM_ID = compute_claim_id("agency", "key")


@pytest.fixture
def store(platform: PlatformStandIn) -> ClaimStore:
    return ClaimStore(HttpPlatformClient(PlatformSettings(url=platform.url)))


def test_second_creation_of_a_claim_reports_a_conflict(
    store: ClaimStore,
) -> None:
    first = store.create(CLAIM_ID, build_record())
    second = store.create(CLAIM_ID, build_record())

    assert first.is_ok()
    assert second.error == ClaimConflict(CLAIM_ID)
    found = store.read(CLAIM_ID).ok
    assert found == first.ok


def test_a_write_whose_answer_is_lost_is_known_by_its_nonce(
    store: ClaimStore, platform: PlatformStandIn
) -> None:
    """Guards against a write that took effect being taken for another entry's.

    Both the creation and the update lose their confirmation and find their nonce by
    reading back.
    """
    platform.state.set_switches(lose_answers=1)
    created = store.create(CLAIM_ID, build_record())
    platform.state.set_switches(lose_answers=1)
    updated = store.update(created.ok, build_record(fence=2))

    assert updated.ok.record.fence == 2
    assert updated.ok.version > created.ok.version


def test_claim_changed_by_another_entry_is_not_updated(store: ClaimStore) -> None:
    """Guards against the slower of two entries overwriting the other's fence."""
    created = store.create(CLAIM_ID, build_record()).ok
    other = store.update(created, build_record(fence=2)).ok

    assert store.update(created, build_record(fence=2)).error == ClaimConflict(CLAIM_ID)
    assert store.read(CLAIM_ID).ok == other


def test_creation_in_an_outage_fails_with_a_retry_delay(
    store: ClaimStore, platform: PlatformStandIn
) -> None:
    platform.state.set_switches(outage="down")

    error = store.create(CLAIM_ID, build_record()).error

    assert isinstance(error, ClaimUnavailable)
    assert error.retry_after_s > 0


def test_claim_with_fields_of_a_later_release_is_readable(
    store: ClaimStore, platform: PlatformStandIn
) -> None:
    created = store.create(CLAIM_ID, build_record()).ok
    value = msgspec.json.decode(msgspec.json.encode(created.record))
    client = HttpPlatformClient(PlatformSettings(url=platform.url))
    extended = msgspec.json.encode({**value, "new_field": 1})
    client.update(f"claims/{CLAIM_ID}", extended, version=created.version)

    found = store.read(CLAIM_ID).ok
    assert found is not None
    assert found.record == created.record
