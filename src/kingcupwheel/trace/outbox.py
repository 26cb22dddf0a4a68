"""When a process writes which batch of events, decided without input or output.

Load: 1,370 processes share a platform that takes several hundred writes a second, and
claims of requests that run at most once need most of them. Harm prevented: traces that
crowd out claims, above all when the platform comes back after an outage and everyone
has an hour of events to tell. So each process makes at most ``CALLS_PER_PERIOD`` calls
a period, and what waits is joined into few large objects instead of many small ones.
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

# One batch, the deletion of one expired batch, and one more to catch up after an
# outage. 1,370 processes with periods of 30 s then stay under 137 calls a second.
MAX_CALLS_PER_PERIOD = 3
# Batches that wait for the platform, compressed, plus events not yet compressed. An
# hour at the target rate of an entry has to fit, in a small share of its 256 MB.
MAX_OUTBOX_BYTES = 16_000_000
# Batches remembered for deletion: three days of 30 s periods. What finds no room is
# listed again at a later sweep.
_REMEMBERED = 10_000
_PHASES = 1000


class WriteBatch(NamedTuple):
    """Create this object; it is the oldest that waits."""

    key: str
    value: bytes


class DeleteBatch(NamedTuple):
    """Remove this expired object; ``version`` is 0 if it is not known."""

    key: str
    version: int


class _Waiting(NamedTuple):
    name: BatchName
    batch: TraceBatch


class _Expiring(NamedTuple):
    recorded_until: int
    key: str
    version: int


class Outbox:
    """Events on their way to the platform; belongs to one thread.

    ``life`` tells this process's life from earlier ones of its name. Times called
    ``now`` are monotonic seconds; ``at`` is Unix seconds.
    """

    def __init__(self, process: str, *, life: str, period_s: float, now: float) -> None:
        self._process = process
        self._life = life
        self._gap_s = period_s / MAX_CALLS_PER_PERIOD
        self._period_s = period_s
        # Processes that start together, as after an outage, must not write together.
        phase = zlib.crc32(process.encode()) % _PHASES / _PHASES
        self._next_call = now + phase * self._gap_s
        self._next_batch = now + phase * period_s
        self._part = 0
        self._open: list[bytes] = []
        self._open_bytes = 0
        self._open_since = 0.0
        self._open_until = 0.0
        self._waiting: deque[_Waiting] = deque()
        self._waiting_bytes = 0
        self._losses: list[EventLoss] = []
        self._expiring: list[_Expiring] = []
        self._expiring_keys: set[str] = set()

    @property
    def pending_bytes(self) -> int:
        """Bytes held for the platform."""
        return self._waiting_bytes + self._open_bytes

    @property
    def next_call_at(self) -> float:
        """The earliest monotonic time of the next call."""
        return self._next_call

    def add_events(self, drained: DrainedEvents) -> int:
        """Take events from the recorder; return how many were lost for want of room.

        The oldest batch makes room; the loss is told in the next batch written.
        """
        lost = drained.lost_count
        if lost:
            self._lose(drained.since, drained.until, lost, "no room in memory")
        if drained.encoded:
            self._take(drained)
        while self.pending_bytes > MAX_OUTBOX_BYTES and self._waiting:
            oldest = self._waiting.popleft().batch
            self._waiting_bytes -= len(oldest.compressed_events)
            lost += oldest.event_count
            self._lose(
                oldest.since, oldest.until, oldest.event_count, "platform out of reach"
            )
        return lost

    def schedule_deletions(self, names: Iterable[BatchName]) -> None:
        """Take over deletion of batches that other lives or processes wrote."""
        for name in names:
            self._remember(name, version=0)

    def plan_call(
        self, *, now: float, at: float, retention_s: float
    ) -> WriteBatch | DeleteBatch | None:
        """Return the call to make now, if its time has come.

        ``settle`` has to follow before the next call.
        """
        if now < self._next_call:
            return None
        if now >= self._next_batch and not self._waiting:
            self._seal()
        if self._waiting:
            return self._write()
        oldest = self._expiring[0] if self._expiring else None
        if oldest and oldest.recorded_until + retention_s < at:
            return DeleteBatch(oldest.key, oldest.version)
        return None

    def plan_flush(self) -> WriteBatch | None:
        """Return the next write without regard to time, for a graceful stop."""
        if not self._waiting:
            self._seal()
        return self._write() if self._waiting else None

    def confirm_write(self, *, version: int, now: float) -> None:
        """Note that the batch of the last call is on the platform."""
        done = self._waiting.popleft()
        self._waiting_bytes -= len(done.batch.compressed_events)
        self._remember(done.name, version=version)
        self._losses = []
        self._pause(now)
        if not self._waiting:
            self._next_batch = now + self._period_s

    def drop_rejected(self, why: str, *, now: float) -> None:
        """Note that the platform will never take the batch of the last call."""
        refused = self._waiting.popleft().batch
        self._waiting_bytes -= len(refused.compressed_events)
        self._lose(refused.since, refused.until, refused.event_count, why)
        self._pause(now)

    def confirm_deletion(self, *, now: float) -> None:
        """Note that the batch of the last call is gone."""
        gone = heapq.heappop(self._expiring)
        self._expiring_keys.discard(gone.key)
        self._pause(now)

    def set_found_version(self, *, version: int, now: float) -> None:
        """Note the version of the batch to delete, which the refusal told."""
        oldest = self._expiring[0]
        heapq.heapreplace(self._expiring, oldest._replace(version=version))
        self._pause(now)

    def postpone_call(self, *, now: float, wait_s: float = 0.0) -> None:
        """Note that the last call came to nothing; the same follows later."""
        self._pause(now)
        self._next_call = max(self._next_call, now + wait_s)

    def _remember(self, name: BatchName, *, version: int) -> None:
        if name.key in self._expiring_keys or len(self._expiring) >= _REMEMBERED:
            return
        self._expiring_keys.add(name.key)
        heapq.heappush(self._expiring, _Expiring(name.until, name.key, version))

    def _pause(self, now: float) -> None:
        self._next_call = now + self._gap_s

    def _take(self, drained: DrainedEvents) -> None:
        if not self._open:
            self._open_since = drained.since
        self._open_until = drained.until
        self._open.extend(drained.encoded)
        self._open_bytes += sum(map(len, drained.encoded))
        if self._open_bytes >= MAX_RAW_PART_BYTES:
            self._seal()

    def _seal(self) -> None:
        if not self._open:
            return
        for part in compress_events(tuple(self._open)):
            self._part += 1
            name = BatchName(
                self._process,
                int(self._open_since),
                int(self._open_until) + 1,
                self._life,
                self._part,
            )
            batch = TraceBatch(
                self._process,
                self._open_since,
                self._open_until,
                part.event_count,
                part.compressed_events,
            )
            self._waiting.append(_Waiting(name, batch))
            self._waiting_bytes += len(part.compressed_events)
        self._open = []
        self._open_bytes = 0

    def _write(self) -> WriteBatch:
        name, batch = self._waiting[0]
        telling = TraceBatch(
            batch.process,
            batch.since,
            batch.until,
            batch.event_count,
            batch.compressed_events,
            tuple(self._losses),
        )
        self._waiting[0] = _Waiting(name, telling)
        return WriteBatch(name.key, encode_batch(telling))

    def _lose(self, since: float, until: float, events: int, why: str) -> None:
        last = self._losses[-1] if self._losses else None
        if last and last.reason == why:
            since, events = min(last.since, since), last.event_count + events
            self._losses.pop()
        self._losses.append(EventLoss(since, until, events, why))
