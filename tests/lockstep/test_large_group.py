"""Tests of agents with a stand-in group large enough to be split into branches."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from kingcupwheel.lockstep.branches import MAX_BRANCH_AGENTS
from kingcupwheel.lockstep.branches import MAX_DIRECT_RANKS
from tests.forwarding.fleet import free_ports
from tests.forwarding.fleet import wait_until
from tests.lockstep.builders import start_agent
from tests.lockstep.builders import start_store
from tests.lockstep.builders import stop_all
from tests.standins.lockstep_group import GroupStandIn


if TYPE_CHECKING:
    from collections.abc import Iterator

    from kingcupwheel.lockstep.daemon import RankDaemon

RANK_COUNT = MAX_DIRECT_RANKS + 2
EXPERT_COUNT = 2 * RANK_COUNT
# Two data centres. An agent listens on the IP of its server; all share one port.
HOSTS = [f"127.0.0.{100 + number}" for number in range(RANK_COUNT)]
ENGINE = {
    "Sets": 1,
    "Experts": EXPERT_COUNT,
    "Placements": 3,
    "Spare": 1,
    "ExpertMb": 10.0,
    "LinkMbps": 100000.0,
}
# The first head of the second data centre, other than the coordinating rank 0.
HEAD_RANK = RANK_COUNT // 2
CHANGE_TIMEOUT_S = 15.0


class LargeGroup:
    """A stand-in group and its agents; stopped agents are not restarted."""

    def __init__(self) -> None:
        server_port, self.port = free_ports(2)
        self.group = GroupStandIn(HOSTS, server_port, layers=1, experts=EXPERT_COUNT)
        self.group.start()
        self.store_server = start_store(
            self.group, ENGINE, lambda rank: "dc-1" if rank < HEAD_RANK else "dc-2"
        )
        self.agents = {number: self._agent(number) for number in range(RANK_COUNT)}

    def _agent(self, number: int) -> RankDaemon:
        listen = f"{HOSTS[number]}:{self.port}"
        return start_agent(self.group.ranks[number], listen, self.store_server.url)

    def stop_agent(self, number: int) -> None:
        """Stop one agent permanently; its server keeps running."""
        self.agents.pop(number).stop()

    def make_popular(self, hot: int) -> None:
        """Make an expert popular and wait until the active map replicates it."""
        self.group.expert_weights = [
            60 if one == hot else 1 for one in range(EXPERT_COUNT)
        ]
        wait_until(lambda: self.count_holders(hot) > 1, CHANGE_TIMEOUT_S)

    def count_holders(self, expert: int) -> int:
        """Return how many ranks hold an expert in the active map."""
        with self.group.lock:
            newest = self.group.ranks[0]
            return sum(
                expert in held for held in newest.map_by_version[newest.map_version][0]
            )

    def stop(self) -> None:
        stop_all(self.agents.values(), self.group, self.store_server)


@pytest.fixture
def large_group() -> Iterator[LargeGroup]:
    found = LargeGroup()
    try:
        yield found
    finally:
        found.stop()


def test_a_large_group_changes_its_map_though_the_head_of_a_branch_is_gone(
    large_group: LargeGroup,
) -> None:
    """The agent that heads a branch ends; its members and its own server keep running.

    The map has to keep following the demand: the members are asked one by one, the
    server of the head directly. No pass may run on two maps.
    """
    assert MAX_BRANCH_AGENTS < HEAD_RANK
    large_group.make_popular(0)
    large_group.stop_agent(HEAD_RANK)
    large_group.make_popular(1)
    large_group.make_popular(2)

    assert large_group.group.mixed_step_count == 0
