from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from kingcupwheel.decisions.group_health import MAX_EJECTED_SHARE
from kingcupwheel.decisions.group_health import GroupHealth
from kingcupwheel.decisions.group_health import ServerLoad
from kingcupwheel.decisions.retry_budget import RetryBudget
from kingcupwheel.decisions.server_health import BASE_EJECTION_S
from kingcupwheel.decisions.server_health import RECOVERY_PROBES
from kingcupwheel.decisions.server_health import ServerState


NAMES = tuple(f"server-{number}" for number in range(6))
OUT_OF_SERVICE = (ServerState.EJECTED, ServerState.PROBING)


def build_loads(held: int = 2) -> list[ServerLoad]:
    return [ServerLoad(name, held, 16) for name in NAMES]


def build_healthy_group() -> GroupHealth:
    group = GroupHealth()
    for name in NAMES:
        for _ in range(10):
            group.get(name).record_success(0.02, 0.0)
    return group


def test_a_failing_server_is_ejected_probed_and_restored() -> None:
    group = build_healthy_group()
    group.get("server-0").record_failure(0.9)
    assert group.update_states(build_loads(), 0.9)["server-0"] is ServerState.FAILING
    for _ in range(2):
        group.get("server-0").record_failure(1.0)
    assert group.update_states(build_loads(), 1.0)["server-0"] is ServerState.EJECTED

    later = 1.0 + BASE_EJECTION_S
    assert group.update_states(build_loads(), later)["server-0"] is ServerState.PROBING
    group.get("server-0").record_failure(later)
    assert (
        group.update_states(build_loads(), later + BASE_EJECTION_S)["server-0"]
        is ServerState.EJECTED
    )

    for _ in range(RECOVERY_PROBES):
        group.get("server-0").record_success(0.02, later + 2 * BASE_EJECTION_S)
    assert group.update_states(build_loads(), 30.0)["server-0"] is ServerState.HEALTHY


def test_a_slow_server_is_distinguished_from_a_slow_group() -> None:
    group = build_healthy_group()
    for _ in range(40):
        group.get("server-0").record_success(0.06, 1.0)
    assert group.update_states(build_loads(), 1.0)["server-0"] is ServerState.SLOW

    for name in NAMES:
        for _ in range(40):
            group.get(name).record_success(0.08, 2.0)
    assert set(group.update_states(build_loads(), 2.0).values()) == {
        ServerState.HEALTHY
    }


@given(
    failures=st.lists(st.sampled_from(NAMES), max_size=60),
    held=st.integers(0, 16),
)
def test_ejections_never_overload_the_remaining_servers(
    failures: list[str], held: int
) -> None:
    """A mass failure overloads the servers that are left.

    A failing switch or a bad request makes many servers fail at once. If all of them
    were ejected, the others would get every request and fail as well.
    """
    group = build_healthy_group()
    for number, name in enumerate(failures):
        group.get(name).record_failure(number / 10)
        states = group.update_states(build_loads(held), number / 10)
        out = [name for name, state in states.items() if state in OUT_OF_SERVICE]
        assert len(out) <= len(NAMES) * MAX_EJECTED_SHARE
        assert not out or held * len(NAMES) <= 16 * (len(NAMES) - len(out))


def test_retries_are_a_share_of_first_attempts_and_decay() -> None:
    """Retries double the load of a failing group, which then cannot recover."""
    budget = RetryBudget()
    retried = 0
    for number in range(1000):
        budget.record_first_attempt(number / 100)
        retried += budget.try_acquire(number / 100)
    assert 50 < retried < 120

    quiet = [budget.try_acquire(200.0) for _ in range(10)]
    assert quiet.count(True) == 2


def test_servers_out_of_service_add_no_capacity_for_ejections() -> None:
    """With five of six servers out of service, the failing sixth is not ejected."""
    group = build_healthy_group()
    for _ in range(3):
        group.get("server-0").record_failure(1.0)
    rest = [
        load._replace(is_in_service=load.name == "server-0") for load in build_loads()
    ]

    assert group.update_states(rest, 1.0)["server-0"] is ServerState.FAILING
    assert group.update_states(build_loads(), 1.0)["server-0"] is ServerState.EJECTED
