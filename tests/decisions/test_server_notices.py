from __future__ import annotations

from typing import TYPE_CHECKING

from hypothesis import given
from hypothesis import strategies as st

from kingcupwheel.decisions import server_notices
from kingcupwheel.decisions.server_notices import ABSENT_RETENTION_S
from kingcupwheel.decisions.server_notices import MAX_BACKOFF_S
from kingcupwheel.decisions.server_notices import ServerNotices


if TYPE_CHECKING:
    import pytest


def test_a_backoff_lasts_as_requested_and_its_end_is_returned_once() -> None:
    notices = ServerNotices()
    assert notices.record_backoff("i-1", 3.0, 10.0)

    assert not notices.accepts_requests("i-1", 12.9)
    assert notices.accepts_requests("i-1", 13.0)
    assert notices.accepts_requests("i-2", 10.0)
    assert notices.take_ended_backoffs(12.9) == ()
    assert notices.take_ended_backoffs(13.0) == ("i-1",)
    assert notices.take_ended_backoffs(13.0) == ()


def test_a_later_shorter_backoff_does_not_replace_a_longer_one() -> None:
    notices = ServerNotices()
    notices.record_backoff("i-1", 5.0, 10.0)

    assert not notices.record_backoff("i-1", 1.0, 11.0)
    assert notices.backoff_until("i-1") == 15.0
    assert notices.record_backoff("i-1", 5.0, 11.0)
    assert notices.backoff_until("i-1") == 16.0


def test_a_zero_backoff_is_ignored_and_a_huge_one_is_capped() -> None:
    notices = ServerNotices()

    assert not notices.record_backoff("i-1", 0.0, 10.0)
    assert len(notices) == 0
    notices.record_backoff("i-1", 1e12, 10.0)
    assert notices.backoff_until("i-1") == 10.0 + MAX_BACKOFF_S


def test_an_incarnation_that_is_listed_again_keeps_its_backoff() -> None:
    """An overwritten instance entry reappears with the same incarnation."""
    notices = ServerNotices()
    notices.record_backoff("i-1", 100.0, 10.0)

    assert notices.retain((), 11.0) == ()
    assert not notices.accepts_requests("i-1", 12.0)
    assert notices.retain(("i-1",), 12.0) == ()
    assert notices.retain((), 13.0) == ()
    assert notices.retain((), 13.0 + ABSENT_RETENTION_S) == ("i-1",)
    assert len(notices) == 0


def test_the_number_of_incarnations_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server_notices, "MAX_INCARNATIONS", 5)
    notices = ServerNotices()
    for number in range(9):
        notices.record_backoff(f"i-{number}", 5.0, 10.0)

    assert len(notices) == 5
    assert not notices.accepts_requests("i-8", 11.0)


def test_a_leaving_incarnation_gets_no_requests_until_it_is_dropped() -> None:
    notices = ServerNotices()
    assert notices.record_leaving("i-1")
    assert not notices.record_leaving("i-1")
    notices.record_backoff("i-1", 3.0, 10.0)

    assert notices.take_ended_backoffs(13.0) == ("i-1",)
    assert not notices.accepts_requests("i-1", 1e9)
    assert notices.accepts_requests("i-1@7", 10.0)
    assert notices.retain((), 20.0) == ()
    assert notices.retain((), 20.0 + ABSENT_RETENTION_S) == ("i-1",)
    assert notices.accepts_requests("i-1", 100.0)


INCARNATIONS = st.sampled_from(["i-1", "i-2", "i-2@7"])
STEPS = st.lists(
    st.tuples(
        INCARNATIONS,
        st.sampled_from(["backoff", "leaving", "retain", "take_ended"]),
        st.floats(0.0, 200.0),
    ),
    max_size=30,
)


@given(steps=STEPS, gaps=st.lists(st.floats(0.0, 20.0), min_size=30, max_size=30))
def test_no_incarnation_gets_requests_during_a_requested_backoff(
    steps: list[tuple[str, str, float]], gaps: list[float]
) -> None:
    """Holds for any sequence of notices and clean-ups, also of other incarnations."""
    notices = ServerNotices()
    ends_by_incarnation: dict[str, list[float]] = {"i-1": [], "i-2": [], "i-2@7": []}
    now = 0.0
    for (incarnation, step, seconds), gap in zip(steps, gaps, strict=False):
        now += gap
        match step:
            case "backoff":
                notices.record_backoff(incarnation, seconds, now)
                ends_by_incarnation[incarnation].append(
                    now + min(seconds, MAX_BACKOFF_S)
                )
            case "leaving":
                notices.record_leaving(incarnation)
                ends_by_incarnation[incarnation].append(float("inf"))
            case "retain":
                notices.retain({incarnation} | set(ends_by_incarnation), now)
            case "take_ended":
                notices.take_ended_backoffs(now)
        for one, ends in ends_by_incarnation.items():
            assert notices.accepts_requests(one, now) == all(end <= now for end in ends)
