from __future__ import annotations

from typing import TYPE_CHECKING

from kingcupwheel.claims.claim_records import compute_claim_id
from kingcupwheel.claims.claim_store import ClaimStore
from kingcupwheel.claims.expired_claim_removal import ExpiredClaimRemover
from kingcupwheel.platform.http import HttpPlatformClient
from kingcupwheel.settings.schema import PlatformSettings
from tests.claims.builders import record


if TYPE_CHECKING:
    from tests.standins.platform import PlatformStandIn

DAY_S = 86_400.0
OLD, NEW = compute_claim_id("agency", "old"), compute_claim_id("agency", "new")


def test_claims_are_removed_after_their_time_and_not_before(
    platform: PlatformStandIn,
) -> None:
    client = HttpPlatformClient(PlatformSettings(url=platform.url))
    store = ClaimStore(client)
    retention = ExpiredClaimRemover(client, retention_s=lambda: DAY_S)
    retention.schedule_removal(store.create(OLD, record(created_at=0.0)).ok)
    retention.schedule_removal(store.create(NEW, record(created_at=DAY_S)).ok)

    assert retention.remove_expired(DAY_S - 1) == 0
    assert retention.remove_expired(DAY_S + 1) == 1
    assert store.read(OLD).ok is None
    assert store.read(NEW).ok is not None


def test_a_claim_that_was_moved_since_is_left_to_whoever_moved_it(
    platform: PlatformStandIn,
) -> None:
    """A resend relies on the claim: its run must not be forgotten behind its back.

    Entry one made the claim, entry two moved it; the first one's removal comes late.
    """
    client = HttpPlatformClient(PlatformSettings(url=platform.url))
    store = ClaimStore(client)
    retention = ExpiredClaimRemover(client, retention_s=lambda: DAY_S)
    made = store.create(OLD, record(created_at=0.0)).ok
    retention.schedule_removal(made)
    store.update(made, record(fence=2, created_at=0.0))

    retention.remove_expired(DAY_S + 1)

    assert store.read(OLD).ok is not None


def test_claims_of_entries_that_are_gone_are_found_by_looking_through(
    platform: PlatformStandIn,
) -> None:
    client = HttpPlatformClient(PlatformSettings(url=platform.url))
    store = ClaimStore(client)
    retention = ExpiredClaimRemover(client, retention_s=lambda: DAY_S)
    store.create(OLD, record(created_at=0.0))
    store.create(NEW, record(created_at=DAY_S))

    for part in (int(OLD[:2], 16), int(NEW[:2], 16)):
        retention.remove_expired_in_shard(part, DAY_S + 1)

    assert store.read(OLD).ok is None
    assert store.read(NEW).ok is not None
