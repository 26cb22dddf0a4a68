from __future__ import annotations

import math

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from kingcupwheel.decisions.limit_shares import EntryFleet
from kingcupwheel.decisions.limit_shares import compute_share
from kingcupwheel.decisions.rate_limits import LIFTED_RETENTION_S
from kingcupwheel.decisions.rate_limits import LimitReport
from kingcupwheel.decisions.rate_limits import RateLimits
from tests.decisions.limit_simulation import LEARNING_S
from tests.decisions.limit_simulation import SERVER
from tests.decisions.limit_simulation import Change
from tests.decisions.limit_simulation import Fault
from tests.decisions.limit_simulation import LimitSimulation
from tests.standins.rate_limits import allowed_requests


DURATION_S = 30.0
NAMED_AT = 3.0


def fleet(own: int, size: int, *, is_settled: bool = True) -> EntryFleet:
    names = frozenset(f"entry-{number}" for number in range(size))
    return EntryFleet(f"entry-{own}", names, size, is_settled)


def limits_of(own: int, size: int) -> RateLimits:
    limits = RateLimits()
    limits.update_fleet(fleet(own, size))
    return limits


@pytest.mark.parametrize("size", [1, 6, 8, 43, 370])
@pytest.mark.parametrize("limit", [0.0, 0.2, 0.5, 1.0, 5.0, 50.0, 500.0])
def test_shares_and_bursts_of_a_whole_fleet_stay_within_the_limit(
    size: int, limit: float
) -> None:
    shares = [compute_share(SERVER, limit, fleet(own, size)) for own in range(size)]

    window_s = 4.0 + 0.5
    most = sum(one.burst + window_s * one.rate for one in shares)
    assert most <= allowed_requests(limit)
    assert sum(one.rate for one in shares) == pytest.approx(max(limit, 0.25))


@pytest.mark.parametrize("size", [8, 43])
@pytest.mark.parametrize("limit", [0.5, 5.0, 50.0])
def test_demand_uses_a_limit_well_and_does_not_exceed_it(
    size: int, limit: float
) -> None:
    simulation = LimitSimulation(size, [Change(NAMED_AT, limit)])

    simulation.run(DURATION_S)

    assert simulation.find_violations(DURATION_S) == []
    steady_from = NAMED_AT + LEARNING_S
    steady = [at for at in simulation.arrivals if at >= steady_from]
    used = len(steady) / (limit * (DURATION_S - steady_from))
    assert used >= (0.5 if limit < 1.0 else 0.8)


@pytest.mark.parametrize("size", [8, 43])
@pytest.mark.parametrize("limit", [0.0, 0.5, 5.0, 50.0])
def test_an_idle_fleet_does_not_send_what_its_entries_have_saved(
    size: int, limit: float
) -> None:
    """Guards against one saved request in each of many entries at a small limit."""
    simulation = LimitSimulation(size, [Change(NAMED_AT, limit)], idle=(6.0, 26.0))

    simulation.run(DURATION_S)

    assert simulation.find_violations(DURATION_S) == []


def faults(entry_count: int) -> st.SearchStrategy[list[Fault]]:
    return st.lists(
        st.builds(
            Fault,
            at=st.floats(0.0, 25.0),
            entry=st.integers(0, entry_count - 1),
            kind=st.sampled_from(["restart", "freeze", "cut", "join"]),
            duration_s=st.floats(0.5, 8.0),
        ),
        max_size=6,
    )


@settings(max_examples=40, deadline=None)
@given(
    data=st.data(),
    entry_count=st.integers(2, 12),
    rates=st.lists(
        st.none() | st.sampled_from([0.0, 0.2, 0.5, 1.0, 2.0, 5.0, 20.0, 500.0]),
        min_size=1,
        max_size=3,
    ),
    loss=st.sampled_from([0.0, 0.05, 0.3]),
    idle_s=st.sampled_from([0.0, 3.0, 12.0]),
    seed=st.integers(0, 2**16),
)
def test_entries_never_send_more_than_a_limit_allows_whatever_they_know(
    data: st.DataObject,
    entry_count: int,
    rates: list[float | None],
    loss: float,
    idle_s: float,
    seed: int,
) -> None:
    """Guards against shares that add up to more than the limit when views differ."""
    changes = [
        Change(NAMED_AT + 9.0 * number, rate) for number, rate in enumerate(rates)
    ]
    simulation = LimitSimulation(
        entry_count,
        changes,
        data.draw(faults(entry_count)),
        seed=seed,
        loss=loss,
        idle=(7.0, 7.0 + idle_s),
    )

    simulation.run(DURATION_S)

    assert simulation.find_violations(DURATION_S) == []


def test_a_restarted_fleet_does_not_use_a_limit_twice() -> None:
    """Guards against processes that have forgotten a limit and take it whole."""
    all_at_once = [Fault(8.0, number, "restart") for number in range(8)]
    simulation = LimitSimulation(8, [Change(NAMED_AT, 1.0)], all_at_once)

    simulation.run(DURATION_S)

    after = [at for at in simulation.arrivals if at >= 8.0 + 2.0 + LEARNING_S]
    assert 0.8 <= len(after) / (DURATION_S - 13.0) <= 1.5


def test_a_limit_of_zero_is_probed_and_its_lifting_noticed() -> None:
    """Guards against a server that lifts its limit and never gets a request again."""
    simulation = LimitSimulation(8, [Change(NAMED_AT, 0.0), Change(20.0, None)])

    simulation.run(40.0)

    assert simulation.find_violations(20.0) == []
    assert len([at for at in simulation.arrivals if at >= 32.0]) > 8.0 * 8 * 2


def test_an_entry_without_a_share_learns_that_a_limit_is_lifted() -> None:
    """Guards against a lifted limit that holds because its holders have no callers."""
    own = max(
        range(8), key=lambda number: compute_share(SERVER, 0.5, fleet(number, 8)).rank
    )
    limits = limits_of(own, 8)
    limits.record_answer(SERVER, 0.5, sent_at=0.0, now=0.1)
    access = limits.get_access(SERVER, 1.0)
    assert access is not None
    assert math.isinf(access.available_at)

    probed_at = [second for second in range(120) if _probe(limits, now=float(second))]

    assert probed_at
    assert 30 <= probed_at[0] <= 34
    assert all(b - a >= 30 for a, b in zip(probed_at, probed_at[1:], strict=False))


def _probe(limits: RateLimits, now: float) -> bool:
    access = limits.get_access(SERVER, now)
    if access is None or access.available_at > now:
        return False
    limits.acquire(SERVER, now)
    return True


def test_an_unsettled_entry_sends_nothing_to_a_limited_server() -> None:
    limits = RateLimits()
    limits.update_fleet(fleet(0, 1, is_settled=False))
    limits.record_answer(SERVER, 50.0, sent_at=0.0, now=0.1)

    access = limits.get_access(SERVER, 100.0)

    assert access is not None
    assert math.isinf(access.available_at)


def test_a_late_answer_without_a_limit_does_not_lift_it() -> None:
    limits = limits_of(0, 2)
    limits.record_answer(SERVER, 2.0, sent_at=5.0, now=5.1)

    assert limits.record_answer(SERVER, None, sent_at=4.0, now=6.0) is None
    assert limits.get_rate(SERVER) == 2.0


def test_an_answer_to_a_later_request_lifts_the_limit() -> None:
    limits = limits_of(0, 2)
    limits.record_answer(SERVER, 2.0, sent_at=5.0, now=5.1)

    change = limits.record_answer(SERVER, None, sent_at=5.2, now=5.3)

    assert change is not None
    assert limits.get_rate(SERVER) is None
    assert limits.get_access(SERVER, 5.4) is None


def test_of_overlapping_answers_the_lower_limit_holds() -> None:
    limits = limits_of(0, 2)
    limits.record_answer(SERVER, 2.0, sent_at=5.0, now=6.0)
    limits.record_answer(SERVER, 1.0, sent_at=5.1, now=6.1)
    limits.record_answer(SERVER, 9.0, sent_at=5.2, now=6.2)

    assert limits.get_rate(SERVER) == 1.0


def test_a_limit_belongs_to_one_incarnation() -> None:
    limits = limits_of(0, 2)
    limits.record_answer(SERVER, 1.0, sent_at=5.0, now=6.0)

    assert limits.get_access("i-1@2", 7.0) is None


def test_a_limit_is_learnt_from_a_peer_and_not_reported_further() -> None:
    limits = limits_of(0, 2)
    report = LimitReport(SERVER, 1.0, sent_age_s=0.4, received_age_s=0.3)

    change = limits.record_report(report, max_transit_s=0.2, now=10.0)

    assert change is not None
    assert limits.get_rate(SERVER) == 1.0
    assert limits.list_reports(10.0) == ()


def test_a_limit_is_reported_on_though_a_peer_saw_it_later() -> None:
    """Guards against a new entry that nobody tells once that peer is gone."""
    limits = limits_of(0, 3)
    limits.record_answer(SERVER, 1.0, sent_at=5.0, now=5.1)
    report = LimitReport(SERVER, 1.0, sent_age_s=0.2, received_age_s=0.1)

    limits.record_report(report, max_transit_s=0.1, now=9.0)

    assert [one.rate for one in limits.list_reports(9.0)] == [1.0]


def test_what_was_observed_before_a_suspension_is_not_reported() -> None:
    """Guards against a limit that an old observation lifts at the other entries.

    Its age is on a clock that does not count the suspended time.
    """
    limits = limits_of(0, 3)
    limits.record_answer(SERVER, 1.0, sent_at=5.0, now=5.1)
    limits.record_answer(SERVER, None, sent_at=5.2, now=6.1)

    assert limits.list_reports(6.2, observed_since=5.5) == ()

    limits.record_answer(SERVER, None, sent_at=6.2, now=6.3)
    assert len(limits.list_reports(6.4, observed_since=5.5)) == 1


def test_a_limit_that_a_peer_saw_lifted_is_not_reported_on() -> None:
    limits = limits_of(0, 3)
    limits.record_answer(SERVER, 1.0, sent_at=5.0, now=5.1)
    report = LimitReport(SERVER, None, sent_age_s=0.2, received_age_s=0.1)

    limits.record_report(report, max_transit_s=0.1, now=9.0)

    assert limits.get_rate(SERVER) is None
    assert limits.list_reports(9.0) == ()


def test_a_report_of_uncertain_age_does_not_lift_a_limit() -> None:
    limits = limits_of(0, 2)
    limits.record_answer(SERVER, 1.0, sent_at=5.0, now=5.1)
    report = LimitReport(SERVER, None, sent_age_s=0.0, received_age_s=0.0)

    limits.record_report(report, max_transit_s=math.inf, now=10.0)

    assert limits.get_rate(SERVER) == 1.0


def test_a_lifted_limit_is_reported_for_a_while_and_then_forgotten() -> None:
    limits = limits_of(0, 2)
    limits.record_answer(SERVER, 1.0, sent_at=5.0, now=5.1)
    limits.record_answer(SERVER, None, sent_at=6.0, now=6.1)
    assert [one.rate for one in limits.list_reports(7.0)] == [None]

    limits.retain({SERVER}, 6.1 + LIFTED_RETENTION_S)

    assert len(limits) == 0
