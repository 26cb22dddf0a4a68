from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from kingcupwheel.forwarding.outcomes import AttemptCounts
from kingcupwheel.forwarding.outcomes import AttemptOutcome
from kingcupwheel.forwarding.outcomes import NextStep
from kingcupwheel.forwarding.outcomes import RetryPolicy
from kingcupwheel.forwarding.outcomes import next_step


NON_REPEATABLE = RetryPolicy(may_rerun=False, max_servers=1, target_latency_s=0.2)
TWO_SERVERS = RetryPolicy(may_rerun=True, max_servers=2, target_latency_s=0.2)

policies = st.builds(
    RetryPolicy,
    may_rerun=st.booleans(),
    max_servers=st.integers(1, 3),
    target_latency_s=st.just(0.2),
)
attempt_ends = st.lists(
    st.tuples(st.sampled_from(AttemptOutcome), st.floats(0.0, 8.0), st.booleans()),
    min_size=1,
)


@given(policy=policies, ends=attempt_ends)
def test_a_promise_of_not_run_is_only_given_when_nothing_can_have_run(
    policy: RetryPolicy, ends: list[tuple[AttemptOutcome, float, bool]]
) -> None:
    """Guards against a false statement "not run", after which a caller books twice.

    Covers any sequence of outcomes; a send follows only if the step before is a retry.
    """
    counts = AttemptCounts()
    may_have_run = 0
    for outcome, time_left_s, is_within_budget in ends:
        counts = counts.with_outcome(outcome)
        may_have_run += outcome in (AttemptOutcome.LOST, AttemptOutcome.FAILED)
        step = next_step(
            outcome,
            counts,
            policy,
            time_left_s=time_left_s,
            is_within_budget=is_within_budget,
        )
        if step is NextStep.REFUSE:
            assert may_have_run == 0
        if step is not NextStep.RETRY:
            break
    if not policy.may_rerun:
        assert may_have_run <= 1
    assert may_have_run <= max(1, policy.max_servers)


def test_non_repeatable_request_is_retried_after_a_rejection() -> None:
    counts = AttemptCounts().with_outcome(AttemptOutcome.REJECTED)
    step = next_step(
        AttemptOutcome.REJECTED,
        counts,
        NON_REPEATABLE,
        time_left_s=1.0,
        is_within_budget=True,
    )
    assert step is NextStep.RETRY


def test_non_repeatable_request_is_not_retried_after_a_lost_answer() -> None:
    counts = AttemptCounts().with_outcome(AttemptOutcome.LOST)
    step = next_step(
        AttemptOutcome.LOST,
        counts,
        NON_REPEATABLE,
        time_left_s=1.0,
        is_within_budget=True,
    )
    assert step is NextStep.UNKNOWN


def test_server_failure_is_passed_on_at_the_server_limit() -> None:
    counts = AttemptCounts(possibly_run=1).with_outcome(AttemptOutcome.FAILED)
    step = next_step(
        AttemptOutcome.FAILED,
        counts,
        TWO_SERVERS,
        time_left_s=1.0,
        is_within_budget=True,
    )
    assert step is NextStep.PASS_ON


def test_nothing_is_retried_without_budget() -> None:
    """Guards against retries that keep failing servers from recovering."""
    counts = AttemptCounts().with_outcome(AttemptOutcome.LOST)
    step = next_step(
        AttemptOutcome.LOST,
        counts,
        TWO_SERVERS,
        time_left_s=1.0,
        is_within_budget=False,
    )
    assert step is NextStep.UNKNOWN
