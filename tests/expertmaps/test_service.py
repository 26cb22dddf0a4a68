from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from kingcupwheel.expertmaps.phases import Holding
from kingcupwheel.expertmaps.phases import Preparing
from kingcupwheel.expertmaps.phases import Ready
from tests.standins.ranks import Switch


if TYPE_CHECKING:
    from kingcupwheel.expertmaps.phases import Phase
    from tests.expertmaps.fleet import Agent
    from tests.expertmaps.fleet import Fleet


def wait_for_coordinator(fleet: Fleet) -> Agent:
    fleet.wait_until(lambda: fleet.coordinating_agent is not None)
    leader = fleet.coordinating_agent
    assert leader is not None
    return leader


def make_popular(fleet: Fleet, *experts: int, factor: float = 8.0) -> None:
    switch = Switch(hot=experts, factor=factor)
    with fleet.group.lock:
        fleet.group.switch(fleet.group.ranks[0], switch)


def count_maps_used(fleet: Fleet) -> int:
    return len(fleet.group.seen().steps_by_map)


def is_mid_change(phase: Phase) -> bool:
    """Tell whether some rank has prepared and none was told the outcome."""
    return isinstance(phase, Preparing) and bool(phase.acked)


def freeze_coordinator_mid_change(fleet: Fleet) -> Agent:
    """Freeze the leader between prepare and commit."""
    leader = wait_for_coordinator(fleet)
    fleet.wait_for_steps()
    leader.freeze_condition = is_mid_change
    make_popular(fleet, 0, 3)
    fleet.wait_until(lambda: not leader.running.is_set())
    leader.freeze_condition = lambda _: False
    return leader


def assert_group_recovers(fleet: Fleet) -> None:
    """The group steps, its leader is done, and no step was run on two maps."""
    fleet.wait_for_steps()
    fleet.wait_until(
        lambda: (
            fleet.coordinating_agent is not None
            and isinstance(
                fleet.coordinating_agent.service.coordinator_driver.phase, Ready
            )
        )
    )
    fleet.wait_for_steps()
    seen = fleet.group.seen()
    print(f"longest stall {seen.longest_stall_s:.2f} s")
    assert seen.mixed == []


def test_a_running_group_is_rebalanced_when_popularity_changes(fleet: Fleet) -> None:
    wait_for_coordinator(fleet)
    fleet.wait_for_steps()
    make_popular(fleet, 0, 3)
    fleet.wait_until(lambda: count_maps_used(fleet) >= 2)
    assert_group_recovers(fleet)


@pytest.mark.parametrize("how", ["kill", "freeze"])
def test_a_coordinator_lost_between_prepare_and_commit_stalls_the_group_only_briefly(
    fleet: Fleet, how: str
) -> None:
    """Callers see one long gap between tokens, then the stream goes on.

    All or some ranks have prepared when the coordinator is killed or frozen. Its lease
    lapses, another agent takes it, supersedes the change on every rank and settles it.
    The frozen one wakes and finds by its own clock that it leads no longer.
    """
    leader = freeze_coordinator_mid_change(fleet)
    if how == "kill":
        leader.kill()
        fleet.replace(leader)
        fleet.wait_until(lambda: fleet.coordinating_agent not in (None, leader))
    else:
        fleet.wait_until(
            lambda: any(a.service.is_coordinating for a in fleet.agents if a != leader)
        )
        leader.resume()
    assert_group_recovers(fleet)


def test_a_successor_lost_while_it_holds_the_ranks_is_succeeded_in_turn(
    fleet: Fleet,
) -> None:
    """Callers see one gap of two takeovers; engines ignore fences throughout.

    The coordinator dies between prepare and commit, and its agent is replaced. The
    successor freezes while it holds the ranks. A third takes the lease; the second
    wakes, finds that it leads no longer, and its agent answers the third.
    """
    with fleet.group.lock:
        for rank in fleet.group.ranks:
            fleet.group.switch(rank, Switch(ignore_fences=True))
    first = freeze_coordinator_mid_change(fleet)
    for agent in fleet.agents:
        agent.freeze_condition = lambda phase: isinstance(phase, Holding)
    first.kill()
    fleet.replace(first)
    fleet.wait_until(lambda: any(not agent.running.is_set() for agent in fleet.agents))
    second = next(agent for agent in fleet.agents if not agent.running.is_set())
    for agent in fleet.agents:
        agent.freeze_condition = lambda _: False

    fleet.wait_until(
        lambda: any(a.service.is_coordinating for a in fleet.agents if a is not second)
    )
    second.resume()
    assert_group_recovers(fleet)


def test_a_platform_outage_in_the_middle_of_a_change_is_outlived(
    fleet: Fleet,
) -> None:
    """Callers see at most one gap; the lease lapses meanwhile and nobody can take it.

    Whatever was prepared is settled once the platform is back.
    """
    leader = freeze_coordinator_mid_change(fleet)
    for agent in fleet.agents:
        agent.platform_client.is_down = True
    leader.resume()
    fleet.wait_until(lambda: fleet.coordinating_agent is None)
    for agent in fleet.agents:
        agent.platform_client.is_down = False
    assert_group_recovers(fleet)


def test_ranks_that_restart_refuse_or_answer_late_never_mix_maps(fleet: Fleet) -> None:
    """Callers see gaps, never an answer computed on two maps.

    One rank refuses changes, one takes orders late and loses its answers, both ignore
    fences; one restarts, twice; and the coordinator is replaced meanwhile.
    """
    leader = wait_for_coordinator(fleet)
    fleet.wait_for_steps()
    group = fleet.group
    with group.lock:
        group.switch(group.ranks[0], Switch(refuse=True, ignore_fences=True))
        group.switch(group.ranks[1], Switch(late_s=0.7, ignore_fences=True))
    make_popular(fleet, 0, 3)
    fleet.wait_for_steps()
    with group.lock:
        group.switch(group.ranks[0], Switch(refuse=False))
    fleet.wait_for_steps()
    leader.kill()
    fleet.replace(leader)
    with group.lock:
        group.switch(group.ranks[2], Switch(restart=True))
        group.switch(group.ranks[2], Switch(restart=True, stall_s=0.2))
        group.switch(group.ranks[1], Switch(late_s=0.0))
    assert_group_recovers(fleet)
