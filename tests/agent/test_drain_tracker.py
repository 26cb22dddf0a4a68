from __future__ import annotations

from kingcupwheel.agent.drain_tracker import DrainTracker


def build_leaving_tracker() -> DrainTracker:
    drain = DrainTracker(min_duration_s=3.0, ack_timeout_s=20.0)
    drain.begin(now=0.0)
    return drain


def test_drain_lasts_for_its_minimum_duration() -> None:
    leaving = build_leaving_tracker()

    assert not leaving.is_complete(is_busy=False, undelivered_count=0, now=2.9)
    assert leaving.is_complete(is_busy=False, undelivered_count=0, now=3.0)


def test_drain_waits_without_limit_while_busy() -> None:
    assert not build_leaving_tracker().is_complete(
        is_busy=True, undelivered_count=1, now=1e6
    )


def test_ack_timeout_counts_from_the_last_frame() -> None:
    leaving = build_leaving_tracker()
    assert not leaving.is_complete(is_busy=True, undelivered_count=1, now=50.0)

    assert not leaving.is_complete(is_busy=False, undelivered_count=1, now=51.0)
    assert not leaving.is_complete(is_busy=False, undelivered_count=1, now=71.0)
    assert leaving.is_complete(is_busy=False, undelivered_count=1, now=71.1)


def test_drain_that_has_not_begun_is_never_complete() -> None:
    staying = DrainTracker(min_duration_s=0.0, ack_timeout_s=0.0)

    assert not staying.has_begun
    assert not staying.is_complete(is_busy=False, undelivered_count=0, now=1e6)
