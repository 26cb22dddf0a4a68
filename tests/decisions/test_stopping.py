from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from kingcupwheel.decisions.max_duration import WINDOW_S
from kingcupwheel.decisions.max_duration import RecentMaxDuration
from kingcupwheel.decisions.shutdown_schedule import ShutdownSchedule


SCHEDULE = ShutdownSchedule(100.0, 8.0)
seconds = st.floats(0.0, 20.0)


@given(arrived_s=seconds, lasts_s=seconds, longest_s=seconds)
def test_a_late_request_as_long_as_recent_ones_ends_in_time(
    arrived_s: float, lasts_s: float, longest_s: float
) -> None:
    """Callers that kept the address send late requests with answers of any length."""
    now = SCHEDULE.started_at + arrived_s
    deadline_at = now + lasts_s

    accepted = SCHEDULE.may_accept(
        now, deadline_at=deadline_at, longest_recent_s=longest_s, is_streamed=False
    )

    if accepted and arrived_s > 3.0:
        assert min(deadline_at, now + longest_s) <= SCHEDULE.responses_end_at


@given(arrived_s=seconds, lasts_s=seconds, longest_s=seconds)
def test_a_stream_that_is_taken_late_ends_in_time_whatever_others_took(
    arrived_s: float, lasts_s: float, longest_s: float
) -> None:
    """A stream that has begun cannot end with an error, only be cut."""
    now = SCHEDULE.started_at + arrived_s
    deadline_at = now + lasts_s

    accepted = SCHEDULE.may_accept(
        now, deadline_at=deadline_at, longest_recent_s=longest_s, is_streamed=True
    )

    assert not accepted or arrived_s <= 3.0 or deadline_at <= SCHEDULE.responses_end_at


def test_all_requests_are_accepted_while_callers_may_have_the_address() -> None:
    assert SCHEDULE.may_accept(
        102.7, deadline_at=111.0, longest_recent_s=8.0, is_streamed=True
    )


def test_a_late_plain_request_is_accepted_only_if_answers_are_short() -> None:
    assert SCHEDULE.may_accept(
        104.0, deadline_at=112.0, longest_recent_s=0.9, is_streamed=False
    )
    assert not SCHEDULE.may_accept(
        104.0, deadline_at=112.0, longest_recent_s=1.6, is_streamed=False
    )


def test_very_late_requests_are_accepted_only_with_an_early_deadline() -> None:
    assert not SCHEDULE.may_accept(
        106.5, deadline_at=114.5, longest_recent_s=0.0, is_streamed=False
    )
    assert SCHEDULE.may_accept(
        106.5, deadline_at=107.1, longest_recent_s=5.0, is_streamed=True
    )


@given(placed_s=seconds, lasts_s=seconds, longest_s=seconds)
def test_a_late_dispatch_as_long_as_recent_ones_ends_in_time(
    placed_s: float, lasts_s: float, longest_s: float
) -> None:
    """Servers are full, so that requests leave the queue late in a shutdown."""
    now = SCHEDULE.started_at + placed_s
    deadline_at = now + lasts_s

    sent = SCHEDULE.may_dispatch(
        now, deadline_at=deadline_at, longest_recent_s=longest_s
    )

    if sent and placed_s > 3.0:
        assert min(deadline_at, now + longest_s) <= SCHEDULE.responses_end_at


def test_an_accepted_request_may_wait_in_the_queue() -> None:
    """Acceptance allows time for a wait in the queue, dispatch no longer does."""
    assert not SCHEDULE.may_accept(
        104.5, deadline_at=112.0, longest_recent_s=1.2, is_streamed=False
    )
    assert SCHEDULE.may_dispatch(104.5, deadline_at=112.0, longest_recent_s=1.2)
    assert not SCHEDULE.may_dispatch(106.5, deadline_at=112.0, longest_recent_s=1.2)


def test_without_recent_answers_no_short_duration_is_assumed() -> None:
    assert not SCHEDULE.may_accept(
        103.0, deadline_at=112.0, longest_recent_s=None, is_streamed=False
    )
    assert not SCHEDULE.may_dispatch(103.0, deadline_at=112.0, longest_recent_s=None)
    assert SCHEDULE.may_accept(
        103.0, deadline_at=104.0, longest_recent_s=None, is_streamed=False
    )


def test_responses_end_in_the_last_sixth_of_the_grace_period() -> None:
    assert SCHEDULE.grace_s * 5 / 6 < SCHEDULE.responses_end_at - SCHEDULE.started_at
    assert (
        SCHEDULE.earliest_exit_at < SCHEDULE.responses_end_at < SCHEDULE.latest_exit_at
    )
    assert SCHEDULE.latest_exit_at < SCHEDULE.started_at + SCHEDULE.grace_s


def test_the_longest_duration_is_dropped_after_two_windows() -> None:
    durations = RecentMaxDuration()
    durations.record(4.0, 1.0)
    durations.record(0.5, 2.0)

    assert durations.max_s(3.0) == 4.0
    assert durations.max_s(WINDOW_S + 1.0) == 4.0
    assert durations.max_s(2 * WINDOW_S + 1.0) is None
