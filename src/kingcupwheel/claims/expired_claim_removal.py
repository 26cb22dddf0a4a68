"""Removes claims whose retention is over.

Each entry remembers the claims it made and removes them when their time is over: one
call a claim, without reading. An entry that was replaced has forgotten its claims, so
that each entry also looks through a random part of all claims now and then. Removal is
conditional on the version: a claim that was changed meanwhile stays.
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

# Removals a minute of one entry: with 370 entries 37 a second, well within what the
# platform takes beside the claims that are being made.
_MAX_REMOVALS_PER_ROUND = 6
_ROUND_INTERVAL_S = 60.0
# Claims remembered: a day of one entry's claims at three a minute; what is beyond is
# found by looking through.
_MAX_SCHEDULED_REMOVALS = 5_000
# Every so many turns one part of all claims is looked through, at most so many of it.
_ROUNDS_PER_SCAN = 60
_MAX_SCANNED_CLAIMS = 50
_SHARD_COUNT = 256


class _ScheduledRemoval(NamedTuple):
    created_at: float
    claim_id: str
    version: int


class ExpiredClaimRemover:
    """Removes old claims in a thread of its own; ``retention_s`` is asked each time."""

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
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread; what is due is left to others."""
        self._stopping.set()
        self._thread.join()

    def schedule_removal(self, stored_claim: StoredClaim) -> None:
        """Remove this claim when its time is over."""
        due = _ScheduledRemoval(
            stored_claim.record.created_at, stored_claim.claim_id, stored_claim.version
        )
        with self._lock:
            if len(self._removals) < _MAX_SCHEDULED_REMOVALS:
                heapq.heappush(self._removals, due)

    def _run(self) -> None:
        turn = random.randrange(_ROUNDS_PER_SCAN)
        while not self._stopping.wait(_ROUND_INTERVAL_S):
            turn += 1
            self.remove_expired(time.time())
            if turn % _ROUNDS_PER_SCAN == 0:
                self.remove_expired_in_shard(
                    random.randrange(_SHARD_COUNT), time.time()
                )

    def remove_expired(self, now: float) -> int:
        """Remove some of the remembered claims that are over at ``now`` (Unix s)."""
        removed = 0
        while removed < _MAX_REMOVALS_PER_ROUND:
            due = self._pop_expired(now)
            if due is None:
                break
            self._client.delete(build_claim_key(due.claim_id), version=due.version)
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
        """Remove what is over in one of the parts; return how many claims."""
        listed = self._client.keys(f"{CLAIM_KEY_PREFIX}{shard:02x}")
        if listed.is_error():
            return 0
        removed = sum(
            self._remove_if_expired(key, now) for key in listed.ok[:_MAX_SCANNED_CLAIMS]
        )
        if removed:
            logger.info("Removed %d old claims.", removed)
        return removed

    def _remove_if_expired(self, key: str, now: float) -> bool:
        found = self._client.read(key)
        if found.is_error() or found.ok is None:
            return False
        try:
            record = msgspec.json.decode(found.ok.value, type=ClaimRecord)
        except (msgspec.DecodeError, msgspec.ValidationError):
            return False
        if record.created_at + self._retention_s() > now:
            return False
        return self._client.delete(key, version=found.ok.version).is_ok()
