from __future__ import annotations

from collections import Counter
from dataclasses import replace
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kingcupwheel.decisions.age_normalization import normalize_ages
from kingcupwheel.decisions.candidates import Candidate
from kingcupwheel.decisions.candidates import NoServerAvailable
from kingcupwheel.decisions.candidates import PlacementRequest
from kingcupwheel.decisions.candidates import SelectedServer
from kingcupwheel.decisions.server_health import ServerState
from kingcupwheel.plugins.registries import load_builtin_plugins
from kingcupwheel.plugins.registries import placement_policies
from tests.decisions.builders import build_candidates


load_builtin_plugins()
POLICIES = ("two-choices", "random", "round-robin", "least-in-flight")

CANDIDATES = st.lists(
    st.builds(
        Candidate,
        name=st.integers(0, 30).map(str),
        data_centre=st.sampled_from(["heredia", "cartago"]),
        capacity=st.integers(1, 16),
        running=st.integers(0, 20),
        own_in_flight=st.integers(0, 3),
        report_age_s=st.floats(0.0, 10.0),
        uptime_s=st.floats(0.0, 60.0),
        state=st.sampled_from(ServerState),
        running_suspects=st.integers(0, 1),
    ),
    max_size=12,
    unique_by=lambda candidate: candidate.name,
)


def count_placements(
    servers: list[Candidate], request: PlacementRequest, count: int = 400
) -> Counter[str]:
    policy = placement_policies.get("two-choices")()
    rng = Random(1)
    placed = [policy.place(servers, request, 0.0, rng) for _ in range(count)]
    return Counter(one.server for one in placed if isinstance(one, SelectedServer))


@pytest.mark.parametrize("name", POLICIES)
@given(servers=CANDIDATES, suspect=st.booleans(), avoided=st.integers(0, 30))
def test_no_policy_selects_an_ineligible_server(
    name: str, servers: list[Candidate], suspect: bool, avoided: int
) -> None:
    request = PlacementRequest(
        "prefix", 100.0, frozenset({str(avoided)}), is_suspect=suspect
    )
    result = placement_policies.get(name)().place(servers, request, 0.0, Random(1))
    allowed = {
        one.name
        for one in normalize_ages(servers)
        if one.state
        not in (
            ServerState.EJECTED,
            ServerState.BACKING_OFF,
            ServerState.RATE_LIMITED,
            ServerState.DOWN,
            ServerState.LEAVING,
        )
        and not one.is_full
        and one.name not in request.excluded_servers
        and not (suspect and one.running_suspects)
    }
    match result:
        case SelectedServer(server=server):
            assert server in allowed
        case NoServerAvailable(applies_to_all=applies_to_all):
            if applies_to_all:
                other = placement_policies.get(name)().place(
                    servers, PlacementRequest(), 0.0, Random(1)
                )
                assert isinstance(other, NoServerAvailable)
            probed = {one.name for one in servers if one.state is ServerState.PROBING}
            assert allowed <= probed


def test_a_retry_with_only_a_busy_probed_server_does_not_block_others() -> None:
    """The queue blocks other requests because of one that cannot be placed.

    One server has capacity but was tried already; the other is probed and busy.
    """
    tried, probed = build_candidates(2)
    probed = replace(probed, state=ServerState.PROBING, own_in_flight=1)
    policy = placement_policies.get("two-choices")()

    retry = PlacementRequest(excluded_servers=frozenset({tried.name}))
    found = policy.place([tried, probed], retry, 0.0, Random(1))

    assert isinstance(found, NoServerAvailable)
    assert not found.applies_to_all
    assert isinstance(
        policy.place([tried, probed], PlacementRequest(), 0.0, Random(1)),
        SelectedServer,
    )


def test_less_loaded_servers_get_more_and_a_full_one_none() -> None:
    servers = build_candidates(4)
    servers[0] = replace(servers[0], running=16)
    servers[1] = replace(servers[1], running=12)

    given_to = count_placements(servers, PlacementRequest(data_centre="heredia"))

    assert given_to["server-0"] == 0
    assert given_to["server-1"] < 0.05 * 400


BUSY = replace(
    build_candidates(1)[0], running=4, own_in_flight=2, own_in_flight_at_report=2
)


@pytest.mark.parametrize(
    "unreliable",
    [
        replace(BUSY, uptime_s=1.0),
        replace(BUSY, state=ServerState.SLOW),
        replace(BUSY, report_age_s=8.0),
        replace(BUSY, running=0, own_in_flight=5, own_in_flight_at_report=5),
    ],
    ids=["restarted", "slow", "silent", "reports too little"],
)
def test_an_unreliable_server_gets_less_than_its_share(unreliable: Candidate) -> None:
    others = [replace(BUSY, name=one.name) for one in build_candidates(6)[1:]]

    given_to = count_placements(
        [unreliable, *others], PlacementRequest(data_centre="heredia"), 2000
    )

    assert given_to["server-0"] < 0.7 * 2000 / 6


@pytest.mark.parametrize(
    "seen",
    [replace(BUSY, running=8, uptime_s=0.2), replace(BUSY, report_age_s=8.0)],
    ids=["entry started", "entry was paused"],
)
def test_an_entry_that_starts_or_resumes_uses_the_servers_immediately(
    seen: Candidate,
) -> None:
    """An entry that just started or was paused refuses its callers for seconds.

    All servers look just started or silent to it. With a tenth of its capacity each
    would be full, although the group is only half busy.
    """
    servers = [replace(seen, name=one.name) for one in build_candidates(6)]

    given_to = count_placements(servers, PlacementRequest(data_centre="heredia"))

    assert given_to.total() == 400
    assert max(given_to.values()) < 2 * min(given_to.values())


def test_requests_of_other_entries_between_reports_are_estimated() -> None:
    """Several entries together overload a server between two of its reports.

    The server reported eight attempts, two of them from this entry, which has sent two
    more since; the other entries are estimated to have sent at the same rate.
    """
    server = replace(BUSY, running=8, own_in_flight=4)
    assert server.estimated_in_flight == 14.0
    assert replace(server, own_in_flight=1).estimated_in_flight == 5.0
    assert replace(server, running=2).estimated_in_flight == 4.0


def test_a_server_that_always_reports_idle_gets_no_more_than_the_others() -> None:
    """A server that always reports to be idle attracts the requests of all entries.

    They would wait there while other servers have capacity. The entry's own attempts on
    the server show that the report is wrong.
    """
    misreporting = replace(BUSY, running=0, own_in_flight=3, own_in_flight_at_report=3)
    others = [replace(BUSY, name=one.name) for one in build_candidates(6)[1:]]

    assert (
        count_placements(
            [misreporting, *others], PlacementRequest(data_centre="heredia")
        )["server-0"]
        == 0
    )


def test_a_probed_server_gets_single_repeatable_requests() -> None:
    servers = build_candidates(4)
    servers[0] = replace(servers[0], state=ServerState.PROBING)
    request = PlacementRequest(data_centre="heredia")

    assert 0 < count_placements(servers, request, 1000)["server-0"] < 50
    assert (
        count_placements(servers, request._replace(is_repeatable=False), 1000)[
            "server-0"
        ]
        == 0
    )
    assert (
        count_placements(servers, request._replace(is_suspect=True), 1000)["server-0"]
        == 0
    )


def test_a_failing_server_gets_only_what_the_others_have_no_capacity_for() -> None:
    """Failing servers that are not ejected look idle and attract requests."""
    failing = replace(build_candidates(1)[0], state=ServerState.FAILING)
    others = [replace(BUSY, name=one.name) for one in build_candidates(4)[1:]]
    request = PlacementRequest(data_centre="heredia")
    assert count_placements([failing, *others], request)["server-0"] == 0

    full = [replace(one, running=15) for one in others]
    assert count_placements([failing, *full], request)["server-0"] > 100


def test_the_local_data_centre_is_preferred_until_it_is_more_loaded() -> None:
    near = build_candidates(3)
    far = [
        replace(one, name=f"far-{one.name}", data_centre="cartago")
        for one in build_candidates(3)
    ]
    request = PlacementRequest(data_centre="heredia")
    lightly_loaded = count_placements(near + far, request)
    busy = count_placements([replace(one, running=12) for one in near] + far, request)

    assert sum(lightly_loaded[one.name] for one in near) > 0.7 * 400
    assert sum(busy[one.name] for one in far) > 0.7 * 400


def test_a_prefix_keeps_its_server_until_it_is_more_loaded_than_others() -> None:
    servers = build_candidates(8)
    request = PlacementRequest(prefix_key="same beginning", data_centre="heredia")
    ((affinity_server, times),) = count_placements(servers, request).items()
    assert times == 400

    busy = [replace(one, running=8 * (one.name == affinity_server)) for one in servers]
    assert count_placements(busy, request)[affinity_server] < 0.1 * 400


def test_prefers_local_leaves_the_data_centre_only_for_much_lower_load() -> None:
    """Requests leave the local data centre although traffic between them is costly.

    With a capacity of 6 per server, a load difference of two requests justifies the
    remote server, one does not.
    """
    request = PlacementRequest(
        data_centre="near", remote_load_penalty=0.25, prefers_local=True
    )

    def given_near(near_running: int) -> int:
        servers = [
            Candidate(f"n-{number}", "near", 6, running=near_running)
            for number in range(5)
        ] + [Candidate(f"f-{number}", "far", 6, running=2) for number in range(11)]
        given = count_placements(servers, request)
        return sum(count for name, count in given.items() if name.startswith("n-"))

    assert given_near(2) == 400
    assert given_near(3) == 400
    assert given_near(4) < 200
