"""Tests of agents with a stand-in group: maps change and are never mixed."""

from __future__ import annotations

import time
from functools import partial
from typing import TYPE_CHECKING

import pytest

from tests.forwarding.fleet import free_ports
from tests.forwarding.fleet import send_request
from tests.forwarding.fleet import wait_until
from tests.lockstep.builders import start_agent
from tests.lockstep.builders import start_store
from tests.lockstep.builders import stop_all
from tests.standins.lockstep_group import GroupStandIn


if TYPE_CHECKING:
    from collections.abc import Iterator

    from kingcupwheel.lockstep.daemon import RankDaemon

# An agent listens on the IP of its server; all agents share one port.
HOSTS = ["127.0.0.11", "127.0.0.12", "127.0.0.13"]
ENGINE = {
    "Sets": 2,
    "Experts": 6,
    "Placements": 3,
    "Spare": 2,
    "ExpertMb": 10.0,
    "LinkMbps": 100000.0,
}


class GroupWithAgents:
    """A stand-in group and the agents of its ranks."""

    def __init__(self) -> None:
        server_port, self.port, self.metrics_port = free_ports(3)
        self.group = GroupStandIn(HOSTS, server_port, layers=2, experts=6)
        self.group.start()
        self.store_server = start_store(self.group, ENGINE, lambda _: "dc-1")
        self.agents = [self.start_agent_beside(number) for number in range(len(HOSTS))]

    def start_agent_beside(self, number: int) -> RankDaemon:
        host = HOSTS[number]
        return start_agent(
            self.group.ranks[number],
            f"{host}:{self.port}",
            self.store_server.url,
            metrics=f"{host}:{self.metrics_port}",
        )

    def read_metrics(self) -> str:
        """Return the metrics of the agent of rank 0."""
        return send_request(f"{HOSTS[0]}:{self.metrics_port}", "/metrics").body.decode()

    def stop(self) -> None:
        stop_all(self.agents, self.group, self.store_server)


@pytest.fixture
def agents_and_group() -> Iterator[GroupWithAgents]:
    found = GroupWithAgents()
    try:
        yield found
    finally:
        found.stop()


def is_map_newer(agents_and_group: GroupWithAgents, version: int) -> bool:
    return agents_and_group.group.ranks[0].map_version > version


def test_a_popular_expert_is_replicated_without_mixing_maps(
    agents_and_group: GroupWithAgents,
) -> None:
    """Expert 0 has most of the work, so its rank would delay every pass."""
    agents_and_group.group.expert_weights = [20, 1, 1, 1, 1, 1]

    wait_until(lambda: agents_and_group.group.ranks[0].map_version > 0)

    ranks = agents_and_group.group.ranks
    newest = ranks[0].map_by_version[ranks[0].map_version]
    holders = sum(0 in experts for experts in newest[0])
    assert holders > 1
    assert agents_and_group.group.mixed_step_count == 0
    # The coordinator counts the release when it next reads the states.
    wait_until(
        lambda: (
            'kingcupwheel_map_changes_total{end="released"} '
            in agents_and_group.read_metrics()
        )
    )
    metrics = agents_and_group.read_metrics()
    assert 'kingcupwheel_rank_orders_total{answer="202",order="prepare"} ' in metrics


def test_maps_change_on_though_half_of_the_orders_get_no_answer(
    agents_and_group: GroupWithAgents,
) -> None:
    """Unanswered orders are executed up to half a second late, after newer ones."""
    for rank in agents_and_group.group.ranks:
        rank.order_loss_rate = 0.5
    versions: set[int] = set()
    for number in range(6):
        agents_and_group.group.expert_weights = [
            20 if e == number else 1 for e in range(6)
        ]
        before = agents_and_group.group.ranks[0].map_version
        wait_until(partial(is_map_newer, agents_and_group, before))
        versions.add(agents_and_group.group.ranks[0].map_version)

    assert len(versions) == 6
    assert agents_and_group.group.mixed_step_count == 0


def test_a_pass_held_by_a_former_life_is_released(
    agents_and_group: GroupWithAgents,
) -> None:
    """The agent of rank 0 was killed between its hold and the release.

    The group and all streams stop until the restarted agent releases the pass.
    """
    with agents_and_group.group.lock:
        agents_and_group.group.ranks[0].held_step = agents_and_group.group.step + 3
    stood = agents_and_group.group.step + 2

    wait_until(lambda: agents_and_group.group.step > stood + 50)

    assert agents_and_group.group.mixed_step_count == 0


@pytest.mark.parametrize("armed", [(), (2,)])
def test_a_hold_is_ended_though_the_machine_that_gave_it_is_frozen(
    agents_and_group: GroupWithAgents, armed: tuple[int, ...]
) -> None:
    """The machine of rank 0 (agent and server) freezes after a hold at another rank.

    Unless other agents end the hold, the group and all streams stop until the machine
    wakes.
    """
    agents_and_group.agents[0].stop()
    agents_and_group.group.ranks[0].stop()
    with agents_and_group.group.lock:
        stood = agents_and_group.group.step + 2
        for rank in agents_and_group.group.ranks:
            rank.prepared_version = rank.highest_prepared_version = 1000
            rank.map_by_version[1000] = agents_and_group.group.initial_map
        for number in armed:
            agents_and_group.group.ranks[number].armed_switch = (1000, stood + 1)
        agents_and_group.group.ranks[1].held_step = stood + 1

    wait_until(lambda: agents_and_group.group.step > stood + 50)

    assert agents_and_group.group.mixed_step_count == 0
    assert all(rank.map_version < 1000 for rank in agents_and_group.group.ranks)


def test_no_pass_is_held_while_a_rank_does_not_answer(
    agents_and_group: GroupWithAgents,
) -> None:
    """The machine of rank 2 (agent and server) freezes after its rank has prepared.

    The rank can't be armed, so a held pass would wait until its machine wakes.
    """
    group = agents_and_group.group
    group.ranks[2].freezes_when_prepared = True
    group.expert_weights = [20, 1, 1, 1, 1, 1]
    wait_until(lambda: group.ranks[2].is_frozen.is_set())
    agents_and_group.agents[2].stop()
    frozen_at = group.step

    wait_until(lambda: group.step > frozen_at + 200)

    assert group.ranks[0].map_version == 0
    assert group.mixed_step_count == 0


def test_the_coordinator_takes_over_a_new_epoch(
    agents_and_group: GroupWithAgents,
) -> None:
    agents_and_group.group.expert_weights = [20, 1, 1, 1, 1, 1]
    wait_until(lambda: agents_and_group.group.ranks[0].map_version > 0)
    with agents_and_group.group.lock:
        agents_and_group.group.epoch = 2
        for rank in agents_and_group.group.ranks:
            rank.held_step = None
        for rank in agents_and_group.group.ranks:
            rank.map_version = rank.prepared_version = rank.highest_prepared_version = 0
            rank.armed_switch = None
            rank.map_by_version = {0: agents_and_group.group.initial_map}
    time.sleep(0.1)

    wait_until(lambda: agents_and_group.group.ranks[0].map_version > 0)
    assert agents_and_group.group.mixed_step_count == 0
