"""The part of a prompt that crashes servers is told from those beside it."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kingcupwheel.decisions.crash_causes import PART_QUARANTINES_S
from kingcupwheel.decisions.crash_causes import build_part_key
from kingcupwheel.decisions.crash_suspects import TRIAL_SPREAD_S
from kingcupwheel.decisions.crash_suspects import CrashSuspects
from kingcupwheel.decisions.crashed_runs import CrashedRun
from kingcupwheel.decisions.suspicion_status import NotSuspected
from kingcupwheel.decisions.suspicion_status import Quarantined
from kingcupwheel.decisions.suspicion_status import Suspect


BAD, SHARED, RARE = (build_part_key(name) for name in ("bad", "shared", "rare"))
DAY_S = 86_400.0
RULE_MAX_LATE_ARRIVALS = 3


def crash(
    suspects: CrashSuspects,
    number: int,
    at: float,
    *keys: str,
    is_trial: bool = False,
) -> None:
    """Let a server end under a request that nothing else resembles."""
    run = CrashedRun(number, at - 0.1, at, is_trial)
    for key in (f"request-{number}", *keys):
        suspects.record_crash(key, run, at)


def test_a_part_that_never_completes_is_quarantined_and_the_shared_one_is_not() -> None:
    """The part that all requests of a route share is refused, and none is served.

    Nothing completes between the crashes, since the whole group is down.
    """
    suspects = CrashSuspects()
    suspects.record_success(SHARED, 9.0, 9.0)
    crash(suspects, 0, 10.0, SHARED, BAD)
    assert isinstance(suspects.get_status(BAD, 10.0), Suspect)
    crash(suspects, 1, 14.5, SHARED, BAD)

    assert isinstance(suspects.get_status(BAD, 14.5), Quarantined)
    assert suspects.get_status(SHARED, 14.5) == NotSuspected()
    assert not isinstance(suspects.get_status("request-0", 14.5), Quarantined)


def test_entries_that_know_nothing_do_not_blame_the_shared_part() -> None:
    """All entries restart, and a shared part is as unknown as the one that crashes."""
    suspects = CrashSuspects()
    for number, at in enumerate((10.0, 14.5)):
        crash(suspects, number, at, SHARED, BAD)
    assert isinstance(suspects.get_status(SHARED, 14.5), Suspect)

    suspects.record_success(SHARED, 18.0, 18.0)

    assert suspects.get_status(SHARED, 18.0) == NotSuspected()
    assert isinstance(suspects.get_status(BAD, 18.0), Quarantined)


def test_parts_that_always_come_together_are_quarantined_after_three_crashes() -> None:
    """Servers end for ever because neither of two parts can be told from the other."""
    suspects = CrashSuspects()
    for number in range(3):
        crash(suspects, number, 10.0 + 4.5 * number, BAD, RARE)

    for key in (BAD, RARE):
        assert isinstance(suspects.get_status(key, 19.0), Quarantined)


def test_a_part_beside_the_one_that_crashes_servers_is_not_held() -> None:
    """Requests with a rare part are refused since they ran beside another part once."""
    suspects = CrashSuspects()
    crash(suspects, 0, 10.0, BAD, RARE)
    assert isinstance(suspects.get_status(RARE, 10.0), Suspect)
    crash(suspects, 1, 14.5, BAD)

    assert suspects.get_status(RARE, 14.5) == NotSuspected()


@given(
    ends=st.lists(st.floats(0.0, 0.5), min_size=1, max_size=16),
    is_known=st.booleans(),
)
def test_a_popular_part_is_not_refused_after_a_power_loss(
    ends: list[float], *, is_known: bool
) -> None:
    """All requests of a route are refused since servers lost power at one moment."""
    suspects = CrashSuspects()
    if is_known:
        suspects.record_success(SHARED, 9.0, 9.0)
    for number, end in enumerate(ends):
        run = CrashedRun(number, 9.3, 10.0 + end)
        suspects.record_crash(SHARED, run, 10.5)

    status = suspects.get_status(SHARED, 10.5)
    assert isinstance(status, NotSuspected if is_known else Suspect)
    suspects.record_success(SHARED, 11.0, 11.0)
    assert suspects.get_status(SHARED, 11.0) == NotSuspected()


def test_a_part_that_completed_until_it_crashed_servers_is_refused_after_a_trial() -> (
    None
):
    """A part begins to crash servers after a change of the engine, and never stops."""
    suspects = CrashSuspects()
    suspects.record_success(BAD, 9.0, 9.0)
    for number in range(3):
        crash(suspects, number, 10.0 + 4.5 * number, BAD)
    assert isinstance(suspects.get_status(BAD, 19.0), Suspect)

    crash(suspects, 3, 24.0, BAD, is_trial=True)

    assert isinstance(suspects.get_status(BAD, 24.0), Quarantined)


def test_a_quarantined_part_reaches_three_servers_a_day_at_most() -> None:
    """Each trial after a quarantine costs a server, and a group all of its runs."""
    suspects = CrashSuspects()
    for number in range(2):
        crash(suspects, number, 4.5 * number, BAD, is_trial=number > 0)
    now, trials, number = 5.0, 0, 2
    while now < DAY_S:
        match suspects.begin_run(BAD, now):
            case Quarantined(_, remaining_s):
                now += remaining_s + TRIAL_SPREAD_S
            case _:
                trials += 1
                crash(suspects, number, now + 0.1, BAD, is_trial=True)
                number += 1
                now += 0.1

    assert 1 <= trials <= RULE_MAX_LATE_ARRIVALS
    assert len(PART_QUARANTINES_S) >= 2


@pytest.mark.parametrize("flood", [10, 10_000])
def test_new_parts_in_each_request_do_not_clear_a_quarantined_one(flood: int) -> None:
    """A caller that sends thousands of parts lets a known one crash servers again."""
    suspects = CrashSuspects(max_keys=200)
    for number in range(2):
        crash(suspects, number, 4.5 * number, BAD)
    for number in range(flood):
        suspects.record_crash(build_part_key(str(number)), CrashedRun(9, 4.9, 5.0), 5.0)

    assert isinstance(suspects.get_status(BAD, 6.0), Quarantined)
    assert len(suspects) <= 200
