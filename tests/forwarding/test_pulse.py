from __future__ import annotations

from kingcupwheel.forwarding.pulse import STANDSTILL_S
from kingcupwheel.forwarding.pulse import Pulse


def test_a_silent_server_stands_out_while_others_send() -> None:
    pulse = Pulse()
    pulse.beat("i-1", 0.0)
    pulse.beat("i-2", 1.0)

    assert pulse.others_live("i-1", 1.1)


def test_when_the_whole_group_stands_still_no_server_stands_out() -> None:
    """One rank stalls, so all do; other servers of the group have nothing to offer.

    Seen without: 162 streams given up within three seconds, each read again elsewhere.
    """
    pulse = Pulse()
    pulse.beat("i-1", 1.0)
    pulse.beat("i-2", 1.0)

    assert not pulse.others_live("i-1", 1.0 + 2 * STANDSTILL_S)


def test_a_server_alone_has_no_other_to_go_to() -> None:
    pulse = Pulse()
    pulse.beat("i-1", 1.0)

    assert not pulse.others_live("i-1", 1.0)


def test_a_standstill_is_told_once_when_it_begins_and_once_when_it_ends() -> None:
    """On-call sees from the entry's log that a whole service fell silent."""
    pulse = Pulse()
    pulse.beat("i-1", 1.0)
    told = [pulse.turned(streams=3, now=now) for now in (1.1, 1.5, 1.6)]
    pulse.beat("i-1", 2.0)
    told.append(pulse.turned(streams=3, now=2.0))

    assert told == [False, True, False, True]


def test_without_streams_under_way_silence_means_nothing() -> None:
    pulse = Pulse()
    pulse.beat("i-1", 1.0)

    assert not pulse.turned(streams=0, now=9.0)


def test_passes_are_timed_by_what_agents_tell_and_lag_with_some_slack() -> None:
    """Passes of 60 ms become 300 ms when a rank turns slow, and then 100 ms again.

    A good pause is 120 ms; at 100 ms a group that lagged is not yet taken for sound.
    """
    pulse = Pulse()
    now, step, found = 0.0, 0, []
    for pass_s in (0.06, 0.3, 0.1, 0.06):
        for _ in range(round(2.0 / pass_s)):
            now += pass_s
            step += 1
            for server in ("i-1", "i-2"):
                pulse.told(server, step=step, busy=True, is_open=True, now=now)
        turned = pulse.timed(0.12)
        found.append((turned, pulse.lags))

    assert found == [(False, False), (True, True), (False, True), (True, False)]


def test_a_new_epoch_whose_passes_count_anew_is_no_standstill() -> None:
    pulse = Pulse()
    pulse.told("i-1", step=900, busy=True, is_open=True, now=1.0)
    pulse.told("i-1", step=901, busy=True, is_open=True, now=1.1)
    pulse.told("i-1", step=3, busy=True, is_open=True, now=1.6)

    assert not pulse.turned(streams=1, now=1.7)
    assert pulse.turned(streams=1, now=1.7 + STANDSTILL_S)


def test_others_work_in_a_group_shows_that_it_stands_still() -> None:
    """This entry has no stream there; agents tell that ranks have work all the same."""
    pulse = Pulse()
    pulse.told("i-1", step=5, busy=True, is_open=True, now=1.0)
    pulse.told("i-1", step=6, busy=True, is_open=True, now=1.2)
    pulse.told("i-1", step=6, busy=True, is_open=True, now=1.7)

    assert pulse.turned(streams=0, now=1.8)
