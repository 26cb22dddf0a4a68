from __future__ import annotations

from kingcupwheel.forwarding.closed_services import REJECTION_WINDOW_S
from kingcupwheel.forwarding.closed_services import ClosedServiceDetector


LONG_IDLE_S = 5.0


def test_two_servers_that_turn_requests_away_in_a_silent_service_close_it() -> None:
    """After a power outage a group forms again; each idle rank answers 503."""
    detector = ClosedServiceDetector()

    assert not detector.record_rejection("i-1", idle_s=LONG_IDLE_S, now=1.0)
    assert detector.record_rejection("i-2", idle_s=LONG_IDLE_S, now=1.01)


def test_one_rejecting_server_does_not_close_its_service() -> None:
    detector = ClosedServiceDetector()

    for number in range(10):
        assert not detector.record_rejection(
            "i-1", idle_s=LONG_IDLE_S, now=1.0 + number / 10
        )


def test_rejections_while_streams_progress_do_not_close_the_service() -> None:
    """Servers at capacity reject further requests while their group works."""
    detector = ClosedServiceDetector()
    detector.record_rejection("i-1", idle_s=0.05, now=1.0)

    assert not detector.record_rejection("i-2", idle_s=0.05, now=1.1)


def test_rejections_outside_the_window_do_not_close_the_service() -> None:
    detector = ClosedServiceDetector()
    detector.record_rejection("i-1", idle_s=LONG_IDLE_S, now=1.0)

    assert not detector.record_rejection(
        "i-2", idle_s=LONG_IDLE_S, now=1.1 + REJECTION_WINDOW_S
    )
