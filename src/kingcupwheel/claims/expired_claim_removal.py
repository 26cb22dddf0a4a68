"""Removal of claims whose retention period is over.

Each entry schedules the removal of the claims it created, which takes one call per
claim and no read. A replaced entry loses its schedule, so each entry also scans a
random shard of all claims from time to time. Removal is conditional on the version: a
claim that was updated meanwhile stays.
"""

from __future__ import annotations

import heapq
import logging
import random
import time
from threading import Event
from threading import Lock
from threading import Thread
from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec

from kingcupwheel.claims.claim_records import CLAIM_KEY_PREFIX
from kingcupwheel.claims.claim_records import ClaimRecord
from kingcupwheel.claims.claim_records import build_claim_key


if TYPE_CHECKING:
    from collections.abc import Callable

    from kingcupwheel.claims.claim_records import StoredClaim
    from kingcupwheel.platform.client import PlatformClient

logger = logging.getLogger("kingcupwheel.claims")

# Removals of one entry per minute: 37 per second with 370 entries, which leaves the
# platform enough capacity for the creation of claims.
_MAX_REMOVALS_PER_ROUND = 6
_ROUND_INTERVAL_S = 60.0
# A day of one entry's claims at three per minute; the scans find claims beyond it.
_MAX_SCHEDULED_REMOVALS = 5_000
# One shard is scanned every _ROUNDS_PER_SCAN rounds, up to _MAX_SCANNED_CLAIMS of it.
_ROUNDS_PER_SCAN = 60
_MAX_SCANNED_CLAIMS = 50
_SHARD_COUNT = 256


class _ScheduledRemoval(NamedTuple):
    created_at: float
    claim_id: str
    version: int


class ExpiredClaimRemover:
    """Removes expired claims in a background thread.

    ``retention_s`` is called for each claim, since the manifest may change it.
    """

    def __init__(
        self, client: PlatformClient, *, retention_s: Callable[[], float]
    ) -> None:
        self._client = client
        self._retention_s = retention_s
        self._removals: list[_ScheduledRemoval] = []
        self._lock = Lock()
        self._stopping = Event()
        self._thread = Thread(target=self._run, name="claim-retention", daemon=True)

    def start(self) -> None:
        """Start the background thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread; the scans of other entries remove what is left."""
        self._stopping.set()
        self._thread.join()

    def schedule_removal(self, stored_claim: StoredClaim) -> None:
        """Schedule the removal of a claim; ignored if too many are scheduled."""
        removal = _ScheduledRemoval(
            stored_claim.record.created_at, stored_claim.claim_id, stored_claim.version
        )
        with self._lock:
            if len(self._removals) < _MAX_SCHEDULED_REMOVALS:
                heapq.heappush(self._removals, removal)

    def _run(self) -> None:
        round_number = random.randrange(_ROUNDS_PER_SCAN)
        while not self._stopping.wait(_ROUND_INTERVAL_S):
            round_number += 1
            self.remove_expired(time.time())
            if round_number % _ROUNDS_PER_SCAN == 0:
                self.remove_expired_in_shard(
                    random.randrange(_SHARD_COUNT), time.time()
                )

    def remove_expired(self, now: float) -> int:
        """Remove scheduled claims that are expired at ``now`` (Unix seconds).

        Removes at most ``_MAX_REMOVALS_PER_ROUND`` and returns their number.
        """
        removed = 0
        while removed < _MAX_REMOVALS_PER_ROUND:
            removal = self._pop_expired(now)
            if removal is None:
                break
            self._client.delete(
                build_claim_key(removal.claim_id), version=removal.version
            )
            removed += 1
        return removed

    def _pop_expired(self, now: float) -> _ScheduledRemoval | None:
        with self._lock:
            if (
                not self._removals
                or self._removals[0].created_at + self._retention_s() > now
            ):
                return None
            return heapq.heappop(self._removals)

    def remove_expired_in_shard(self, shard: int, now: float) -> int:
        """Remove expired claims of one shard and return their number.

        ``shard`` is the first byte of the claim ids.
        """
        keys = self._client.keys(f"{CLAIM_KEY_PREFIX}{shard:02x}")
        if keys.is_error():
            return 0
        removed = sum(
            self._remove_if_expired(key, now) for key in keys.ok[:_MAX_SCANNED_CLAIMS]
        )
        if removed:
            logger.info("Removed %d expired claims.", removed)
        return removed

    def _remove_if_expired(self, key: str, now: float) -> bool:
        result = self._client.read(key)
        if result.is_error() or result.ok is None:
            return False
        try:
            record = msgspec.json.decode(result.ok.value, type=ClaimRecord)
        except (msgspec.DecodeError, msgspec.ValidationError):
            return False
        if record.created_at + self._retention_s() > now:
            return False
        return self._client.delete(key, version=result.ok.version).is_ok()
