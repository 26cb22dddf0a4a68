from __future__ import annotations

import pytest

from kingcupwheel.decisions.crashed_runs import CORRELATED_CRASH_S
from kingcupwheel.forwarding.crash_attribution import CLOSE_CONFIRMATION_S
from kingcupwheel.forwarding.crash_attribution import CRASH_DETECTION_S
from kingcupwheel.forwarding.crash_attribution import MIN_LEAVING_S
from kingcupwheel.forwarding.crash_attribution import CrashAttribution
from kingcupwheel.forwarding.crash_attribution import LostRun


RUN = LostRun(("f",), "i-1", 10.0, 10.1, is_closed=True, is_suspect=True)


def test_a_server_found_dead_at_once_ended_when_it_closed_the_connection() -> None:
    attribution = CrashAttribution()
    assert attribution.record_lost_run(RUN) == []

    (found,) = attribution.record_server_end("i-1", 10.2)

    assert found.key == "f"
    assert (found.run.started_at, found.run.ended_at) == (10.0, 10.1)


def test_a_server_found_dead_late_may_have_ended_as_late() -> None:
    """A server resets a connection and dies seconds later of something else."""
    attribution = CrashAttribution()
    attribution.record_lost_run(RUN)

    (found,) = attribution.record_server_end("i-1", 10.2 + CLOSE_CONFIRMATION_S)

    assert found.run.ended_at == 10.2 + CLOSE_CONFIRMATION_S


@pytest.mark.parametrize("is_end_known_first", [True, False])
def test_an_answer_given_up_before_or_after_its_server_is_known_dead_counts(
    *, is_end_known_first: bool
) -> None:
    """Evidence is lost since the entry gave up or the caller left at another moment.

    A machine without power closes no connection: the silence timeout, the deadline or
    the caller ends the wait, before or after the server is removed from the list.
    """
    attribution = CrashAttribution()
    run = RUN._replace(is_closed=False, lost_at=13.0)
    if is_end_known_first:
        assert attribution.record_server_end("i-1", 12.0) == []
        (found,) = attribution.record_lost_run(run)
    else:
        attribution.record_lost_run(run)
        (found,) = attribution.record_server_end("i-1", 14.0)

    assert found.run.ended_at == (12.0 if is_end_known_first else 14.0)
    assert found.run.started_at <= found.run.ended_at - CRASH_DETECTION_S


def test_a_lost_answer_of_a_server_that_lives_on_is_no_evidence() -> None:
    attribution = CrashAttribution()
    attribution.record_lost_run(RUN)

    assert attribution.record_server_end("i-2", 10.2) == []
    assert attribution.record_server_end("i-1", 10.2 + CRASH_DETECTION_S) == []


def test_a_server_that_closes_connections_after_its_removal_has_left() -> None:
    """A server whose entry is removed serves on for a while and exits in order."""
    attribution = CrashAttribution()
    attribution.record_server_end("i-1", 9.0)

    assert attribution.record_lost_run(RUN) == []


@pytest.mark.parametrize(
    ("lost_after_s", "is_crash"), [(0.5, True), (MIN_LEAVING_S + 0.5, False)]
)
def test_a_leaving_server_has_crashed_only_if_it_ends_early(
    lost_after_s: float, *, is_crash: bool
) -> None:
    """A request crashes leaving servers unnoticed, or is blamed for their exits."""
    attribution = CrashAttribution()
    attribution.record_leaving("i-1", 10.0)
    attribution.record_lost_run(RUN._replace(lost_at=10.0 + lost_after_s))

    found = attribution.record_server_end("i-1", 10.1 + lost_after_s)

    assert bool(found) is is_crash


def test_a_request_sent_before_a_crash_was_known_may_share_its_cause() -> None:
    attribution = CrashAttribution()
    attribution.record_lost_run(RUN._replace(is_suspect=False))

    (found,) = attribution.record_server_end("i-1", 10.2)

    assert found.run.started_at == 10.0 - CORRELATED_CRASH_S
