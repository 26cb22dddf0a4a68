from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from kingcupwheel.expertmaps.phases import Holding
from kingcupwheel.expertmaps.phases import Preparing
from kingcupwheel.expertmaps.phases import Ready
from tests.standins.ranks import RankSwitch


if TYPE_CHECKING:
    from kingcupwheel.expertmaps.phases import Phase
    from tests.expertmaps.fleet import Agent
    from tests.expertmaps.fleet import Fleet


def wait_for_coordinator(fleet: Fleet) -> Agent:
    fleet.wait_until(lambda: fleet.coordinating_agent is not None)
    coordinator = fleet.coordinating_agent
    assert coordinator is not None
    return coordinator


def make_popular(fleet: Fleet, *experts: int, factor: float = 8.0) -> None:
    switch = RankSwitch(hot=experts, factor=factor)
    with fleet.group.lock:
        fleet.group.apply_switch(fleet.group.ranks[0], switch)


def count_maps_used(fleet: Fleet) -> int:
    return len(fleet.group.build_step_report().steps_by_map)


def is_mid_change(phase: Phase) -> bool:
    """Return whether a rank has prepared and no outcome has been sent."""
    return isinstance(phase, Preparing) and bool(phase.acked)


def freeze_coordinator_mid_change(fleet: Fleet) -> Agent:
    """Freeze the coordinator between prepare and commit."""
    coordinator = wait_for_coordinator(fleet)
    fleet.wait_for_steps()
    coordinator.freeze_condition = is_mid_change
    make_popular(fleet, 0, 3)
    fleet.wait_until(lambda: not coordinator.running.is_set())
    coordinator.freeze_condition = lambda _: False
    return coordinator


def assert_group_recovers(fleet: Fleet) -> None:
    """Assert that the group steps, no change is open and no step ran on two maps."""
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
    steps_run = fleet.group.build_step_report()
    print(f"longest stall {steps_run.longest_stall_s:.2f} s")
    assert steps_run.mixed == []


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
    """Guards against a change that stays open, or a step on two maps, after a takeover.

    Some or all ranks have prepared when the coordinator is killed or frozen. Its lease
    expires, another agent acquires it, supersedes the change on every rank and decides
    it. The frozen agent resumes and sees by its own clock that its lease has expired.
    """
    coordinator = freeze_coordinator_mid_change(fleet)
    if how == "kill":
        coordinator.kill()
        fleet.replace(coordinator)
        fleet.wait_until(lambda: fleet.coordinating_agent not in (None, coordinator))
    else:
        fleet.wait_until(
            lambda: any(
                a.service.is_coordinating for a in fleet.agents if a != coordinator
            )
        )
        coordinator.resume()
    assert_group_recovers(fleet)


def test_a_successor_lost_while_it_holds_the_ranks_is_succeeded_in_turn(
    fleet: Fleet,
) -> None:
    """Guards against ranks that stay held, or a step on two maps, after two takeovers.

    Engines ignore fences throughout. The coordinator fails between prepare and commit,
    and its agent is replaced. The successor freezes while it holds the ranks, and a
    third agent acquires the lease. The second resumes, sees that its lease has expired,
    and forwards the third agent's orders.
    """
    with fleet.group.lock:
        for rank in fleet.group.ranks:
            fleet.group.apply_switch(rank, RankSwitch(ignore_fences=True))
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
    """Guards against a prepared change that stays open after a platform outage.

    The lease expires during the outage and no agent can acquire it. The change is
    decided once the platform is back.
    """
    coordinator = freeze_coordinator_mid_change(fleet)
    for agent in fleet.agents:
        agent.platform_client.is_down = True
    coordinator.resume()
    fleet.wait_until(lambda: fleet.coordinating_agent is None)
    for agent in fleet.agents:
        agent.platform_client.is_down = False
    assert_group_recovers(fleet)


def test_ranks_that_restart_refuse_or_answer_late_never_mix_maps(fleet: Fleet) -> None:
    """Guards against a step on two maps when several ranks fail at once.

    One rank refuses changes, one applies orders late without a reply, and both ignore
    fences. The third restarts twice while the coordinator is replaced.
    """
    coordinator = wait_for_coordinator(fleet)
    fleet.wait_for_steps()
    group = fleet.group
    with group.lock:
        group.apply_switch(group.ranks[0], RankSwitch(refuse=True, ignore_fences=True))
        group.apply_switch(group.ranks[1], RankSwitch(late_s=0.7, ignore_fences=True))
    make_popular(fleet, 0, 3)
    fleet.wait_for_steps()
    with group.lock:
        group.apply_switch(group.ranks[0], RankSwitch(refuse=False))
    fleet.wait_for_steps()
    coordinator.kill()
    fleet.replace(coordinator)
    with group.lock:
        group.apply_switch(group.ranks[2], RankSwitch(restart=True))
        group.apply_switch(group.ranks[2], RankSwitch(restart=True, stall_s=0.2))
        group.apply_switch(group.ranks[1], RankSwitch(late_s=0.0))
    assert_group_recovers(fleet)
