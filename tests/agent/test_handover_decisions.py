from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kingcupwheel.agent.adapters.handover import MAX_SENDS_THAT_MAY_RUN
from kingcupwheel.agent.adapters.handover import AnswerMissing
from kingcupwheel.agent.adapters.handover import Handover
from kingcupwheel.agent.adapters.handover import NextStep
from kingcupwheel.agent.adapters.handover import RequestIncomplete
from kingcupwheel.agent.adapters.handover import RunNotFound


PROVEN = RequestIncomplete("closed", proves_not_run=True)
UNPROVEN = RequestIncomplete("closed", proves_not_run=False)
MISSING = AnswerMissing("closed", is_silent=False)
NOT_FOUND = RunNotFound("not found")
FAILURES = st.sampled_from([PROVEN, UNPROVEN, MISSING, NOT_FOUND])


@given(st.lists(st.tuples(FAILURES, st.booleans()), max_size=12))
def test_request_that_may_run_once_is_sent_again_only_while_it_cannot_have_run(
    events: list[tuple[RequestIncomplete | AnswerMissing | RunNotFound, bool]],
) -> None:
    """Guards against a second run, and against a false report of not-run."""
    handover = Handover(is_repeatable=False)
    may_have_run = False
    for failure, is_over in events:
        may_have_run = may_have_run or failure != PROVEN
        step = handover.handle_failure(failure, is_over=is_over)

        if may_have_run:
            assert step in (NextStep.QUERY_SERVER, NextStep.GIVE_UP)
            assert handover.may_have_run
        else:
            assert step is (NextStep.REFUSE if is_over else NextStep.SEND_AGAIN)


@pytest.mark.parametrize("failure", [PROVEN, UNPROVEN])
def test_repeatable_request_is_sent_again_until_its_body_has_left(
    failure: RequestIncomplete,
) -> None:
    """Guards against giving up a request that costs the server nothing to repeat."""
    handover = Handover(is_repeatable=True)

    steps = [handover.handle_failure(failure, is_over=False) for _ in range(20)]

    assert set(steps) == {NextStep.SEND_AGAIN}


def test_repeatable_request_that_the_server_does_not_have_is_sent_again() -> None:
    """Guards against an unknown outcome for a request that never arrived.

    The number of sends that may run is bounded.
    """
    handover = Handover(is_repeatable=True)

    steps = []
    for _ in range(MAX_SENDS_THAT_MAY_RUN):
        assert handover.handle_failure(MISSING, is_over=False) is NextStep.QUERY_SERVER
        steps.append(handover.handle_failure(NOT_FOUND, is_over=False))

    *earlier, last = steps
    assert set(earlier) == {NextStep.SEND_AGAIN}
    assert last is NextStep.GIVE_UP


def test_refusal_is_never_reported_after_a_send_that_may_run() -> None:
    """Guards against reporting not-run while a delayed copy may still arrive."""
    handover = Handover(is_repeatable=True)
    handover.handle_failure(MISSING, is_over=False)
    handover.handle_failure(NOT_FOUND, is_over=False)

    step = handover.handle_failure(PROVEN, is_over=True)

    assert step is NextStep.QUERY_SERVER
