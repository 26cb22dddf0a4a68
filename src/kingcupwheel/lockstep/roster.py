"""Addresses of a group's agents and servers, and the map from their reports."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.lockstep.branches import assign_branch_heads
from kingcupwheel.lockstep.placement_planner import round_robin_placement


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from kingcupwheel.forwarding.configuration import EngineShape
    from kingcupwheel.lockstep.change_protocol import LayerPlacements
    from kingcupwheel.lockstep.rank_reports import RankState
    from kingcupwheel.messages.lockstep import RankStateReply


class PairedServer(NamedTuple):
    """The address of an agent's server, and the data centre of both."""

    server: str
    data_centre: str


class Roster(NamedTuple):
    """Addresses of the agents and servers of a group's ranks in one epoch.

    Rank 0 may be missing from ``agents_by_rank`` for an agent that ends a hold without
    it, but is included in ``rank_count``.
    """

    epoch: int
    rank_count: int
    agents_by_rank: Mapping[int, str]
    servers_by_agent: Mapping[str, PairedServer]

    def server_of(self, agent: str) -> str:
        """Return the address of an agent's server."""
        return self.servers_by_agent[agent].server

    def is_same_incarnation(
        self, rank: int, known: RankState | None, reported: RankState
    ) -> bool:
        """Return whether a report has the same rank, epoch and server start as before.

        A restarted server has no map and nothing prepared or armed, whatever it
        reported before.
        """
        if reported.epoch != self.epoch or reported.rank != rank:
            return False
        return known is None or known.born_ms == reported.born_ms

    @property
    def branch_heads(self) -> dict[str, str]:
        """The head of the branch of each agent."""
        return find_branch_heads(self.servers_by_agent, self.agents_by_rank.values())


class RankReport(NamedTuple):
    """The agent, state and experts of a rank that responded."""

    agent: str
    state: RankState
    experts_by_layer: tuple[tuple[int, ...], ...]


def collect_reports(
    own_state: RankState, replies: Mapping[str, RankStateReply]
) -> dict[int, RankReport]:
    """Return the reports by rank of the group and epoch of ``own_state``."""
    return {
        reply.state.rank: RankReport(agent, reply.state, reply.placement)
        for agent, reply in replies.items()
        if reply.state is not None
        and reply.state.epoch == own_state.epoch
        and reply.state.group == own_state.group
    }


def find_branch_heads(
    servers_by_agent: Mapping[str, PairedServer], agents: Iterable[str]
) -> dict[str, str]:
    """Return the head of the branch of each agent."""
    return assign_branch_heads(
        {agent: servers_by_agent[agent].data_centre for agent in agents}
    )


def assemble_active_map(
    reports_by_rank: Mapping[int, RankReport], rank_count: int, shape: EngineShape
) -> LayerPlacements:
    """Return the active map, assembled from the experts of each rank.

    A missing rank is assigned the experts that no other rank holds.
    """
    if not all(
        len(one.experts_by_layer) == shape.layer_count
        for one in reports_by_rank.values()
    ):
        return round_robin_placement(rank_count, shape.layer_count, shape.expert_count)
    return tuple(
        _assemble_layer(reports_by_rank, rank_count, shape, layer)
        for layer in range(shape.layer_count)
    )


def _assemble_layer(
    reports_by_rank: Mapping[int, RankReport],
    rank_count: int,
    shape: EngineShape,
    layer: int,
) -> tuple[tuple[int, ...], ...]:
    held = {
        expert
        for one in reports_by_rank.values()
        for expert in one.experts_by_layer[layer]
    }
    rest = tuple(one for one in range(shape.expert_count) if one not in held) or (0,)
    return tuple(
        reports_by_rank[rank].experts_by_layer[layer]
        if rank in reports_by_rank
        else rest
        for rank in range(rank_count)
    )
