from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from kingcupwheel.decisions.admission import MAX_RETRY_AFTER_S
from kingcupwheel.decisions.admission import AdmissionController
from kingcupwheel.decisions.admission import AdmissionGrant
from kingcupwheel.decisions.admission import LimitRefusal
from kingcupwheel.manifest.schema import Allowance


SMALL = Allowance(work_per_s=100.0, burst=500.0, concurrency=2)


def build_controller(
    share: float = 1.0, allowance: Allowance = SMALL
) -> AdmissionController:
    made = AdmissionController()
    made.configure("retazo", allowance, share)
    return made


@given(
    st.lists(
        st.tuples(st.floats(0.0, 2.0), st.floats(1.0, 400.0), st.floats(1.0, 400.0)),
        max_size=60,
    )
)
def test_work_over_any_time_stays_within_rate_burst_and_one_request(
    requests: list[tuple[float, float, float]],
) -> None:
    limiter = build_controller(0.5)
    now = 0.0
    used = 0.0
    for gap_s, predicted, actual in requests:
        now += gap_s
        if isinstance(limiter.admit("retazo", predicted, now), AdmissionGrant):
            limiter.settle("retazo", predicted, actual, now)
            used += actual
        assert used <= 0.5 * (100.0 * now + 500.0) + 800.0


def test_every_entry_of_a_set_admits_one_request_of_a_small_allowance() -> None:
    tiny = Allowance(work_per_s=1.0, burst=10.0, concurrency=1)

    decisions = [
        build_controller(0.1, tiny).admit("retazo", 900.0, 0.0) for _ in range(10)
    ]

    assert all(isinstance(decision, AdmissionGrant) for decision in decisions)


def test_settling_frees_concurrency_and_a_refusal_names_the_limit() -> None:
    limiter = build_controller()
    limiter.admit("retazo", 10.0, 0.0)
    limiter.admit("retazo", 10.0, 0.0)

    refused = limiter.admit("retazo", 10.0, 0.1)
    assert isinstance(refused, LimitRefusal)
    assert refused.limit == "concurrency"

    limiter.settle("retazo", 10.0, 10.0, 0.2)
    assert isinstance(limiter.admit("retazo", 10.0, 0.3), AdmissionGrant)


def test_refused_callers_get_different_retry_after_times() -> None:
    """Refused callers retry together and are refused again.

    A hundred requests reach an organisation whose allowance is used up. Their
    Retry-After times have to spread at the rate of the allowance and stay bounded.
    """
    limiter = build_controller(allowance=Allowance(work_per_s=100.0, burst=10.0))
    limiter.admit("retazo", 50.0, 0.0)

    decisions = [limiter.admit("retazo", 50.0, 0.0) for _ in range(100)]

    times = [one.retry_after_s for one in decisions if isinstance(one, LimitRefusal)]
    assert len(times) == 100
    assert len({round(time) for time in times}) > 25
    assert max(times) <= MAX_RETRY_AFTER_S


def test_an_unknown_organisation_is_refused_and_a_smaller_share_takes_effect() -> None:
    limiter = build_controller()
    assert isinstance(limiter.admit("nobody", 1.0, 0.0), LimitRefusal)

    limiter.configure("retazo", SMALL, 0.01)
    limiter.admit("retazo", 20.0, 0.0)
    refused = limiter.admit("retazo", 20.0, 0.1)
    assert isinstance(refused, LimitRefusal)
    assert limiter.get_demand("retazo", 0.1) > 0.0
