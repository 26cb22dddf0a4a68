from __future__ import annotations

import random
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from kingcupwheel.platform.client import MAX_VALUE_BYTES
from kingcupwheel.settings.schema import Timings
from kingcupwheel.trace.batches import decode_batch
from kingcupwheel.trace.batches import decode_request_events
from kingcupwheel.trace.batches import parse_key
from kingcupwheel.trace.events import NoteAdded
from kingcupwheel.trace.outbox import MAX_CALLS_PER_PERIOD
from kingcupwheel.trace.outbox import MAX_OUTBOX_BYTES
from kingcupwheel.trace.outbox import DeleteBatch
from kingcupwheel.trace.outbox import Outbox
from kingcupwheel.trace.outbox import WriteBatch
from kingcupwheel.trace.recorder import DrainedEvents
from kingcupwheel.trace.recorder import TraceRecorder
from tests.trace.builders import ENTRY
from tests.trace.builders import START
from tests.trace.builders import build_request_id


PROCESSES = 370 + 1000
PERIOD_S = Timings().trace_batch_s
# The strictest reading of "several hundred"; half of it is left to claims.
WRITES_PER_S = 300
WANTED = build_request_id()


def build_encoded_events(size: int = 100, *, seed: int = 0) -> tuple[bytes, ...]:
    recorder = TraceRecorder(ENTRY, max_requests=10)
    recorder.record(WANTED, NoteAdded(random.Random(seed).randbytes(size // 2).hex()))
    return recorder.drain().encoded_events


def create_outbox(name: str = ENTRY) -> Outbox:
    return Outbox(name, incarnation="abcd", period_s=PERIOD_S, now=0.0)


class Fleet:
    """Outboxes of the whole fleet, with new events each second."""

    def __init__(self) -> None:
        self.outboxes = [
            create_outbox(f"process-{number}") for number in range(PROCESSES)
        ]
        self.calls_by_second: Counter[int] = Counter()
        self.encoded = build_encoded_events()

    def run(self, start: int, stop: int, *, up: bool, retention_s: float) -> None:
        for second in range(start, stop):
            for outbox in self.outboxes:
                self._turn(outbox, second, up=up, retention_s=retention_s)

    def _turn(
        self, outbox: Outbox, second: int, *, up: bool, retention_s: float
    ) -> None:
        outbox.add_events(
            DrainedEvents(self.encoded, START + second, START + second, 0)
        )
        call = outbox.plan_call(
            now=second, time_s=START + second, retention_s=retention_s
        )
        if call is None:
            return
        self.calls_by_second[second] += 1
        if not up:
            outbox.postpone_call(now=second)
        elif isinstance(call, WriteBatch):
            outbox.confirm_write(version=1, now=second)
        else:
            outbox.confirm_deletion(now=second)


def test_fleet_uses_at_most_half_of_platform_writes() -> None:
    """Guards against traces that crowd out the claims of at-most-once requests.

    1,370 processes record events all the time and delete expired batches. The platform
    is down for ten minutes and comes back for all of them at once, while claims still
    need their writes.
    """
    fleet = Fleet()
    fleet.run(0, 300, up=True, retention_s=100)
    fleet.run(300, 900, up=False, retention_s=100)
    fleet.run(900, 1200, up=True, retention_s=100)

    # This holds in each second, including the first ones, when the phases are filled.
    assert max(fleet.calls_by_second.values()) <= WRITES_PER_S
    for start in range(0, 1200, 30):
        calls = sum(
            fleet.calls_by_second[second] for second in range(start, start + 30)
        )
        assert calls <= PROCESSES * MAX_CALLS_PER_PERIOD
        assert calls / 30 <= WRITES_PER_S / 2


def test_events_dropped_in_outage_are_reported_in_next_batch() -> None:
    """Guards against events that are dropped without a report.

    The platform is down while more events are recorded than the outbox holds. The
    oldest batches are dropped; after the outage the next batch reports the loss.
    """
    outbox = create_outbox()
    rounds = 40
    for number in range(rounds):
        chunk = build_encoded_events(2_000_000, seed=number)
        outbox.add_events(DrainedEvents(chunk, START + number, START + number, 0))
        if outbox.plan_call(now=100.0 * number, time_s=START, retention_s=1e9):
            outbox.postpone_call(now=100.0 * number)
    assert outbox.pending_bytes <= MAX_OUTBOX_BYTES

    written = 0
    lost = 0
    while call := outbox.plan_flush():
        batch = decode_batch(call.value).ok
        written += batch.event_count
        lost += sum(loss.event_count for loss in batch.losses)
        outbox.confirm_write(version=1, now=1e6)
    assert lost > 0
    assert written + lost == rounds


@given(st.lists(st.integers(10, 400_000), min_size=1, max_size=30))
def test_each_event_is_in_one_object_within_size_limit(
    sizes: list[int],
) -> None:
    outbox = create_outbox()
    encoded = sum((build_encoded_events(size) for size in sizes), ())
    outbox.add_events(DrainedEvents(encoded, START, START + 1, 0))

    found = 0
    keys = set()
    while call := outbox.plan_flush():
        assert len(call.value) < MAX_VALUE_BYTES
        found += len(decode_request_events(decode_batch(call.value).ok, WANTED).ok)
        keys.add(call.key)
        name = parse_key(call.key)
        assert name is not None
        assert (name.process, name.key) == (ENTRY, call.key)
        outbox.confirm_write(version=1, now=0.0)
    assert found == len(sizes)
    assert keys


def test_expired_batch_of_earlier_incarnation_is_deleted_by_found_version() -> None:
    outbox = create_outbox()
    earlier_batch = parse_key("traces/entry-1/500000/1800000000-1800000030-ffff-1")
    assert earlier_batch is not None
    outbox.schedule_deletions((earlier_batch,))

    assert outbox.plan_call(now=100.0, time_s=START + 40, retention_s=60) is None
    call = outbox.plan_call(now=100.0, time_s=START + 100, retention_s=60)
    assert call == DeleteBatch(earlier_batch.key, 0)
    outbox.set_found_version(version=5, now=100.0)
    call = outbox.plan_call(now=200.0, time_s=START + 100, retention_s=60)
    assert call == DeleteBatch(earlier_batch.key, 5)
    outbox.confirm_deletion(now=200.0)
    assert outbox.plan_call(now=300.0, time_s=START + 100, retention_s=60) is None
