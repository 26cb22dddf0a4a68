"""Agents of a group that is asked through branches, beside a stand-in group."""

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
# Two data centres; each agent is found at its server's IP and a port all share.
HOSTS = [f"127.0.0.{100 + number}" for number in range(RANK_COUNT)]
ENGINE = {
    "Sets": 1,
    "Experts": EXPERT_COUNT,
    "Placements": 3,
    "Spare": 1,
    "ExpertMb": 10.0,
    "LinkMbps": 100000.0,
}
# The first head of the second data centre: not rank 0, which coordinates.
HEAD_RANK = RANK_COUNT // 2
CHANGE_TIMEOUT_S = 15.0


class LargeGroup:
    """A group and its agents; an agent that was stopped stays away."""

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
        """Stop one agent for good; its server goes on."""
        self.agents.pop(number).stop()

    def make_popular(self, hot: int) -> None:
        """Let another expert be popular and wait until the map in force follows."""
        self.group.weights = [60 if one == hot else 1 for one in range(EXPERT_COUNT)]
        wait_until(lambda: self.count_holders(hot) > 1, CHANGE_TIMEOUT_S)

    def count_holders(self, expert: int) -> int:
        """Return how many ranks hold an expert in the map in force."""
        with self.group.lock:
            newest = self.group.ranks[0]
            return sum(expert in held for held in newest.maps[newest.version][0])

    def stop(self) -> None:
        stop_all(self.agents.values(), self.group, self.store_server)


@pytest.fixture
def large() -> Iterator[LargeGroup]:
    found = LargeGroup()
    try:
        yield found
    finally:
        found.stop()


def test_a_large_group_changes_its_map_though_the_head_of_a_branch_is_gone(
    large: LargeGroup,
) -> None:
    """The head's agent ends for good; its branch and its own server are still there.

    The map of a group that is asked through branches follows the demand, and goes on
    to do so: the branch is asked agent by agent, the head's server itself. No pass
    ever runs on two maps.
    """
    assert MAX_BRANCH_AGENTS < HEAD_RANK
    large.make_popular(0)
    large.stop_agent(HEAD_RANK)
    large.make_popular(1)
    large.make_popular(2)

    assert large.group.mixed == 0
