from __future__ import annotations

from typing import TYPE_CHECKING

from kingcupwheel.claims.claim_records import compute_claim_id
from kingcupwheel.claims.claim_store import ClaimStore
from kingcupwheel.claims.expired_claim_removal import ExpiredClaimRemover
from kingcupwheel.platform.http import HttpPlatformClient
from kingcupwheel.settings.schema import PlatformSettings
from tests.claims.builders import build_record


if TYPE_CHECKING:
    from tests.standins.platform import PlatformStandIn

RETENTION_S = 86_400.0
OLD_ID, NEW_ID = compute_claim_id("agency", "old"), compute_claim_id("agency", "new")


def test_claims_are_removed_after_their_time_and_not_before(
    platform: PlatformStandIn,
) -> None:
    client = HttpPlatformClient(PlatformSettings(url=platform.url))
    store = ClaimStore(client)
    remover = ExpiredClaimRemover(client, retention_s=lambda: RETENTION_S)
    remover.schedule_removal(store.create(OLD_ID, build_record(created_at=0.0)).ok)
    remover.schedule_removal(
        store.create(NEW_ID, build_record(created_at=RETENTION_S)).ok
    )

    assert remover.remove_expired(RETENTION_S - 1) == 0
    assert remover.remove_expired(RETENTION_S + 1) == 1
    assert store.read(OLD_ID).ok is None
    assert store.read(NEW_ID).ok is not None


def test_updated_claim_is_not_removed_by_the_entry_that_created_it(
    platform: PlatformStandIn,
) -> None:
    """Guards against losing a claim that a resend relies on.

    One entry creates the claim and another updates it before the first one's removal.
    """
    client = HttpPlatformClient(PlatformSettings(url=platform.url))
    store = ClaimStore(client)
    remover = ExpiredClaimRemover(client, retention_s=lambda: RETENTION_S)
    created = store.create(OLD_ID, build_record(created_at=0.0)).ok
    remover.schedule_removal(created)
    store.update(created, build_record(fence=2, created_at=0.0))

    remover.remove_expired(RETENTION_S + 1)

    assert store.read(OLD_ID).ok is not None


def test_scan_removes_expired_claims_of_replaced_entries(
    platform: PlatformStandIn,
) -> None:
    client = HttpPlatformClient(PlatformSettings(url=platform.url))
    store = ClaimStore(client)
    remover = ExpiredClaimRemover(client, retention_s=lambda: RETENTION_S)
    store.create(OLD_ID, build_record(created_at=0.0))
    store.create(NEW_ID, build_record(created_at=RETENTION_S))

    for shard in (int(OLD_ID[:2], 16), int(NEW_ID[:2], 16)):
        remover.remove_expired_in_shard(shard, RETENTION_S + 1)

    assert store.read(OLD_ID).ok is None
    assert store.read(NEW_ID).ok is not None
