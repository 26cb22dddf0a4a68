"""Schedule of a process's batch writes and deletions, without any I/O.

1,370 processes share a platform that takes several hundred writes a second, most of
which claims of at-most-once requests need. Traces must not crowd out claims, above all
after a platform outage, when every process has an hour of events to write. So each
process makes at most ``MAX_CALLS_PER_PERIOD`` calls a period, and pending events are
joined into few large objects.
"""

from __future__ import annotations

import heapq
import zlib
from collections import deque
from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.trace.batches import MAX_RAW_PART_BYTES
from kingcupwheel.trace.batches import BatchName
from kingcupwheel.trace.batches import EventLoss
from kingcupwheel.trace.batches import TraceBatch
from kingcupwheel.trace.batches import compress_events
from kingcupwheel.trace.batches import encode_batch


if TYPE_CHECKING:
    from collections.abc import Iterable

    from kingcupwheel.trace.recorder import DrainedEvents

# One write, one deletion of an expired batch, and one more call to catch up after an
# outage. 1,370 processes with periods of 30 s then make at most 137 calls a second.
MAX_CALLS_PER_PERIOD = 3
# Compressed pending batches plus events not yet compressed. An hour of events at an
# entry's target rate has to fit, in a small share of its 256 MB.
MAX_OUTBOX_BYTES = 16_000_000
# Three days of 30 s periods. Batches beyond it are listed again at a later sweep.
_MAX_EXPIRING_BATCHES = 10_000
_PHASE_COUNT = 1000


class WriteBatch(NamedTuple):
    """Call that creates the object of the oldest pending batch."""

    key: str
    value: bytes


class DeleteBatch(NamedTuple):
    """Call that deletes an expired object; ``version`` is 0 if unknown."""

    key: str
    version: int


class _PendingBatch(NamedTuple):
    name: BatchName
    batch: TraceBatch


class _ExpiringBatch(NamedTuple):
    recorded_until: int
    key: str
    version: int


class Outbox:
    """Events that wait to be written to the platform; not thread-safe.

    ``incarnation`` distinguishes this run of the process from earlier ones. ``now`` is
    in monotonic seconds, ``time_s`` in Unix seconds.
    """

    def __init__(
        self, process: str, *, incarnation: str, period_s: float, now: float
    ) -> None:
        self._process = process
        self._incarnation = incarnation
        self._call_interval_s = period_s / MAX_CALLS_PER_PERIOD
        self._period_s = period_s
        # Processes that start together, as after an outage, write at different times.
        phase = zlib.crc32(process.encode()) % _PHASE_COUNT / _PHASE_COUNT
        self._next_call_at = now + phase * self._call_interval_s
        self._next_batch_at = now + phase * period_s
        self._part_number = 0
        self._open_events: list[bytes] = []
        self._open_bytes = 0
        self._open_since = 0.0
        self._open_until = 0.0
        self._pending: deque[_PendingBatch] = deque()
        self._pending_bytes = 0
        self._losses: list[EventLoss] = []
        self._expiring: list[_ExpiringBatch] = []
        self._expiring_keys: set[str] = set()

    @property
    def pending_bytes(self) -> int:
        """Bytes that wait to be written."""
        return self._pending_bytes + self._open_bytes

    @property
    def next_call_at(self) -> float:
        """The earliest monotonic time of the next call."""
        return self._next_call_at

    def add_events(self, drained: DrainedEvents) -> int:
        """Add events of the recorder; return how many events were lost.

        Past ``MAX_OUTBOX_BYTES`` the oldest batches are dropped; the next batch written
        reports the loss.
        """
        lost_count = drained.lost_count
        if lost_count:
            self._record_loss(
                drained.since, drained.until, lost_count, "no room in memory"
            )
        if drained.encoded_events:
            self._append_events(drained)
        while self.pending_bytes > MAX_OUTBOX_BYTES and self._pending:
            oldest = self._pending.popleft().batch
            self._pending_bytes -= len(oldest.compressed_events)
            lost_count += oldest.event_count
            self._record_loss(
                oldest.since, oldest.until, oldest.event_count, "platform out of reach"
            )
        return lost_count

    def schedule_deletions(self, names: Iterable[BatchName]) -> None:
        """Delete these batches, of other incarnations or processes, once expired."""
        for name in names:
            self._schedule_deletion(name, version=0)

    def plan_call(
        self, *, now: float, time_s: float, retention_s: float
    ) -> WriteBatch | DeleteBatch | None:
        """Return the call to make now, or None if none is due.

        Its result has to be reported before the next call is planned.
        """
        if now < self._next_call_at:
            return None
        if now >= self._next_batch_at and not self._pending:
            self._close_batch()
        if self._pending:
            return self._build_write()
        oldest = self._expiring[0] if self._expiring else None
        if oldest and oldest.recorded_until + retention_s < time_s:
            return DeleteBatch(oldest.key, oldest.version)
        return None

    def plan_flush(self) -> WriteBatch | None:
        """Return the next write at once, for a graceful stop; None if none is left."""
        if not self._pending:
            self._close_batch()
        return self._build_write() if self._pending else None

    def confirm_write(self, *, version: int, now: float) -> None:
        """Report that the platform has stored the batch of the last call."""
        written = self._pending.popleft()
        self._pending_bytes -= len(written.batch.compressed_events)
        self._schedule_deletion(written.name, version=version)
        self._losses = []
        self._delay_next_call(now)
        if not self._pending:
            self._next_batch_at = now + self._period_s

    def drop_rejected(self, reason: str, *, now: float) -> None:
        """Drop the batch of the last call, which the platform rejected for good."""
        rejected = self._pending.popleft().batch
        self._pending_bytes -= len(rejected.compressed_events)
        self._record_loss(rejected.since, rejected.until, rejected.event_count, reason)
        self._delay_next_call(now)

    def confirm_deletion(self, *, now: float) -> None:
        """Report that the batch of the last call is deleted."""
        deleted = heapq.heappop(self._expiring)
        self._expiring_keys.discard(deleted.key)
        self._delay_next_call(now)

    def set_found_version(self, *, version: int, now: float) -> None:
        """Set the version of the batch to delete, as found by the conflict."""
        oldest = self._expiring[0]
        heapq.heapreplace(self._expiring, oldest._replace(version=version))
        self._delay_next_call(now)

    def postpone_call(self, *, now: float, min_delay_s: float = 0.0) -> None:
        """Report that the last call failed; it is retried later."""
        self._delay_next_call(now)
        self._next_call_at = max(self._next_call_at, now + min_delay_s)

    def _schedule_deletion(self, name: BatchName, *, version: int) -> None:
        if (
            name.key in self._expiring_keys
            or len(self._expiring) >= _MAX_EXPIRING_BATCHES
        ):
            return
        self._expiring_keys.add(name.key)
        heapq.heappush(self._expiring, _ExpiringBatch(name.until, name.key, version))

    def _delay_next_call(self, now: float) -> None:
        self._next_call_at = now + self._call_interval_s

    def _append_events(self, drained: DrainedEvents) -> None:
        if not self._open_events:
            self._open_since = drained.since
        self._open_until = drained.until
        self._open_events.extend(drained.encoded_events)
        self._open_bytes += sum(map(len, drained.encoded_events))
        if self._open_bytes >= MAX_RAW_PART_BYTES:
            self._close_batch()

    def _close_batch(self) -> None:
        if not self._open_events:
            return
        for part in compress_events(tuple(self._open_events)):
            self._part_number += 1
            name = BatchName(
                self._process,
                int(self._open_since),
                int(self._open_until) + 1,
                self._incarnation,
                self._part_number,
            )
            batch = TraceBatch(
                self._process,
                self._open_since,
                self._open_until,
                part.event_count,
                part.compressed_events,
            )
            self._pending.append(_PendingBatch(name, batch))
            self._pending_bytes += len(part.compressed_events)
        self._open_events = []
        self._open_bytes = 0

    def _build_write(self) -> WriteBatch:
        name, batch = self._pending[0]
        batch_with_losses = TraceBatch(
            batch.process,
            batch.since,
            batch.until,
            batch.event_count,
            batch.compressed_events,
            tuple(self._losses),
        )
        self._pending[0] = _PendingBatch(name, batch_with_losses)
        return WriteBatch(name.key, encode_batch(batch_with_losses))

    def _record_loss(
        self, since: float, until: float, event_count: int, reason: str
    ) -> None:
        last = self._losses[-1] if self._losses else None
        if last and last.reason == reason:
            since, event_count = min(last.since, since), last.event_count + event_count
            self._losses.pop()
        self._losses.append(EventLoss(since, until, event_count, reason))
