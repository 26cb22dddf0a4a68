from __future__ import annotations

from kingcupwheel.forwarding.liveness import STALL_THRESHOLD_S
from kingcupwheel.forwarding.liveness import LivenessTracker


def test_silent_server_is_detected_while_others_are_active() -> None:
    tracker = LivenessTracker()
    tracker.record_activity("i-1", 0.0)
    tracker.record_activity("i-2", 1.0)

    assert tracker.is_other_server_active("i-1", 1.1)


def test_stalled_group_has_no_active_server() -> None:
    """Guards against resuming the streams of a group that stalls as a whole.

    One stalled rank stalls all of them. Without the check 162 streams were aborted
    within three seconds, and each prompt was processed again at another server.
    """
    tracker = LivenessTracker()
    tracker.record_activity("i-1", 1.0)
    tracker.record_activity("i-2", 1.0)

    assert not tracker.is_other_server_active("i-1", 1.0 + 2 * STALL_THRESHOLD_S)


def test_single_server_has_no_other_active_server() -> None:
    tracker = LivenessTracker()
    tracker.record_activity("i-1", 1.0)

    assert not tracker.is_other_server_active("i-1", 1.0)


def test_stall_is_reported_once_at_its_start_and_once_at_its_end() -> None:
    """The entry logs that a whole service has stalled, so operators see it."""
    tracker = LivenessTracker()
    tracker.record_activity("i-1", 1.0)
    changes = [
        tracker.update_stalled(stream_count=3, now=now) for now in (1.1, 1.5, 1.6)
    ]
    tracker.record_activity("i-1", 2.0)
    changes.append(tracker.update_stalled(stream_count=3, now=2.0))

    assert changes == [False, True, False, True]


def test_silence_without_streams_is_no_stall() -> None:
    tracker = LivenessTracker()
    tracker.record_activity("i-1", 1.0)

    assert not tracker.update_stalled(stream_count=0, now=9.0)
