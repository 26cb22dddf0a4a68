from __future__ import annotations

from kingcupwheel.forwarding.outage import MAX_REFUSAL_S
from kingcupwheel.forwarding.outage import OutageTracker


def test_an_outage_counts_from_the_start_of_the_watch_before_it() -> None:
    """The store refuses calls from 0.03 s on; a watch begun at 0.0 s ends at 1.5 s.

    Counted from the first refusal, two seconds would look like half a second, and every
    server whose registration expired meanwhile would be removed.
    """
    outage = OutageTracker()
    outage.record_success(0.0)

    assert outage.record_failure(1.50, 1.51, is_silent=False)
    assert not outage.record_failure(1.71, 1.72, is_silent=False)
    assert outage.duration_s(2.07) == 2.07


def test_a_watch_aborted_while_the_store_is_up_is_no_outage() -> None:
    """Servers that vanish after it have left and get no more requests."""
    outage = OutageTracker()
    outage.record_success(0.0)
    outage.record_failure(1.5, 1.5 + 2 * MAX_REFUSAL_S, is_silent=False)

    assert outage.duration_s(1.6 + 2 * MAX_REFUSAL_S) < 0.2


def test_a_silent_call_counts_as_outage_from_its_start() -> None:
    """A call times out just before the store recovers."""
    outage = OutageTracker()
    outage.record_failure(0.0, 2.7, is_silent=True)

    assert outage.duration_s(2.8) == 2.8


def test_outage_is_certain_once_a_call_on_a_new_connection_fails() -> None:
    """Guards against silence of the own connection that is taken for an outage."""
    outage = OutageTracker()
    outage.record_success(0.0)
    outage.record_failure(1.5, 3.6, is_silent=True)
    assert not outage.is_certain

    outage.record_failure(3.6, 4.8, is_silent=True)
    assert outage.is_certain

    outage.record_success(5.0)
    assert not outage.is_certain
    outage.record_failure(6.0, 6.0, is_silent=False)
    assert outage.is_certain


def test_an_answer_ends_the_outage_and_the_next_one_counts_from_it() -> None:
    outage = OutageTracker()
    outage.record_success(0.0)
    outage.record_failure(1.0, 1.0, is_silent=False)
    assert outage.is_active

    outage.record_success(5.0)

    assert not outage.is_active
    assert outage.duration_s(6.0) == 0.0
    assert outage.record_failure(6.0, 6.0, is_silent=False)
    assert outage.duration_s(6.5) == 1.5
