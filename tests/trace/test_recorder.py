from __future__ import annotations

from freezegun import freeze_time

from kingcupwheel.trace.events import EVENTS_DECODER
from kingcupwheel.trace.events import NoteAdded
from kingcupwheel.trace.events import RequestFinished
from kingcupwheel.trace.recorder import MAX_EVENTS_PER_REQUEST
from kingcupwheel.trace.recorder import MAX_UNSHIPPED_BYTES
from kingcupwheel.trace.recorder import TraceRecorder
from tests.trace.builders import ENTRY
from tests.trace.builders import START
from tests.trace.builders import build_request_id


def test_evicted_request_is_reported_as_incomplete() -> None:
    with freeze_time(tz_offset=0) as clock:
        clock.move_to("2027-01-15")
        recorder = TraceRecorder(ENTRY, max_requests=2)
        ids = []
        for _ in range(3):
            clock.tick(1)
            ids.append(build_request_id(arrived_at=clock().timestamp()))
            recorder.record(ids[-1], NoteAdded("here"))

    assert not recorder.build_reply(ids[0]).complete
    assert recorder.get_events(ids[0]) == ()
    assert recorder.build_reply(ids[2]).complete
    assert len(EVENTS_DECODER.decode(recorder.build_reply(ids[2]).events)) == 1


def test_request_before_process_start_is_reported_as_incomplete() -> None:
    recorder = TraceRecorder(ENTRY, max_requests=2)

    assert not recorder.build_reply(build_request_id(arrived_at=START - 1e9)).complete


def test_event_limit_keeps_first_events_and_final_outcome() -> None:
    recorder = TraceRecorder(ENTRY, max_requests=2)
    request_id = build_request_id(arrived_at=START + 1e9)
    for number in range(MAX_EVENTS_PER_REQUEST + 10):
        recorder.record(request_id, NoteAdded(str(number)))
    recorder.record(request_id, RequestFinished("ran", 200, 1, "whole"))

    stored = recorder.get_events(request_id)
    assert len(stored) == MAX_EVENTS_PER_REQUEST + 1
    assert isinstance(stored[-1].event, RequestFinished)
    assert not recorder.build_reply(request_id).complete


def test_undrained_events_are_bounded_and_losses_counted() -> None:
    recorder = TraceRecorder(ENTRY, max_requests=2)
    text = "x" * 100_000
    for _ in range(60):
        recorder.record(build_request_id(), NoteAdded(text))

    drained = recorder.drain()
    assert sum(map(len, drained.encoded_events)) <= MAX_UNSHIPPED_BYTES
    assert drained.lost_count == 60 - len(drained.encoded_events)
    assert recorder.drain().encoded_events == ()
