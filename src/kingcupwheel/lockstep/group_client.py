"""Queries a group's ranks through their agents, or directly if an agent is silent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from kingcupwheel.lockstep.agent_client import AgentRequest
from kingcupwheel.lockstep.direct_client import DirectServerClient
from kingcupwheel.lockstep.orders import Hold
from kingcupwheel.lockstep.orders import Release
from kingcupwheel.lockstep.roster import find_branch_heads
from kingcupwheel.messages.lockstep import RankStateRequest
from kingcupwheel.messages.lockstep import ReplyContent


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from kingcupwheel.lockstep.agent_client import AgentClient
    from kingcupwheel.lockstep.change_protocol import PendingOrder
    from kingcupwheel.lockstep.roster import PairedServer
    from kingcupwheel.lockstep.roster import Roster
    from kingcupwheel.messages.lockstep import RankStateReply

RepliesByAgent = dict[str, "RankStateReply"]


class GroupClient:
    """Client of all ranks of a group; replies are keyed by agent address.

    A silent agent is not asked again before the next ``fetch_counts`` or
    ``reset_silent_agents``; until then its server is queried directly. Not thread-safe.
    """

    def __init__(self, agent_client: AgentClient) -> None:
        self._agent_client = agent_client
        self._direct_client = DirectServerClient()
        self._silent_agents: set[str] = set()

    def reset_silent_agents(self) -> None:
        """Send requests to every agent again."""
        self._silent_agents = set()

    def use_roster(self, roster: Roster) -> None:
        """Route requests through the branch heads of ``roster``."""
        self._agent_client.set_branch_heads(roster.branch_heads)

    def fetch_placements(
        self, servers_by_agent: Mapping[str, PairedServer]
    ) -> RepliesByAgent:
        """Return the state and experts of every reachable rank."""
        self._agent_client.set_branch_heads(
            find_branch_heads(servers_by_agent, servers_by_agent)
        )
        replies = self._agent_client.request_all(
            dict.fromkeys(servers_by_agent, AgentRequest(ReplyContent.PLACES))
        )
        direct_requests = dict.fromkeys(
            servers_by_agent, RankStateRequest(0, ReplyContent.PLACES)
        )
        servers = {one: paired.server for one, paired in servers_by_agent.items()}
        self._query_servers(direct_requests, servers, replies)
        return replies

    def fetch_counts(self, roster: Roster) -> tuple[RepliesByAgent, int]:
        """Return states and counts, and the number of silent agents.

        Counts are never read from servers directly: a remote read delays every pass.
        """
        agents = tuple(roster.agents_by_rank.values())
        replies = self._agent_client.request_all(
            dict.fromkeys(agents, AgentRequest(ReplyContent.COUNTS))
        )
        self._silent_agents = set(agents) - set(replies)
        return replies, len(self._silent_agents)

    def fetch_states(self, roster: Roster, ranks: Iterable[int]) -> RepliesByAgent:
        """Return the states of ``ranks``."""
        agents = [roster.agents_by_rank[rank] for rank in ranks]
        asked = [one for one in agents if one not in self._silent_agents]
        replies = self._agent_client.request_all(dict.fromkeys(asked, AgentRequest()))
        direct_requests = dict.fromkeys(agents, RankStateRequest(0, ReplyContent.STATE))
        self._query_servers(direct_requests, _find_servers(roster, agents), replies)
        return replies

    def send_orders(
        self, roster: Roster, pending_orders: Iterable[PendingOrder], wait_s: float
    ) -> RepliesByAgent:
        """Send the orders and return the states after them.

        A hold and its release go directly to the server, so that the sender of the
        order and the process that executes it can't be lost together.
        """
        requests: dict[str, AgentRequest] = {}
        direct_requests: dict[str, RankStateRequest] = {}
        for pending in pending_orders:
            agent = roster.agents_by_rank[pending.rank]
            if isinstance(pending.order, Hold | Release):
                self._direct_client.send_order(roster.server_of(agent), pending.order)
                requests[agent] = AgentRequest()
                direct_requests[agent] = RankStateRequest(0, ReplyContent.STATE)
            else:
                requests[agent] = AgentRequest(
                    ReplyContent.STATE, pending.order, wait_s
                )
                direct_requests[agent] = RankStateRequest(
                    0, ReplyContent.STATE, pending.order, int(wait_s * 1000)
                )
        replies = self._agent_client.request_all(
            {
                one: asked
                for one, asked in requests.items()
                if one not in self._silent_agents
            }
        )
        self._query_servers(direct_requests, _find_servers(roster, requests), replies)
        return replies

    def _query_servers(
        self,
        requests_by_agent: Mapping[str, RankStateRequest],
        servers_by_agent: Mapping[str, str],
        replies: RepliesByAgent,
    ) -> None:
        """Query the servers of agents without a reply and extend ``replies``."""
        agents_by_server = {
            servers_by_agent[agent]: agent
            for agent in requests_by_agent
            if agent not in replies
        }
        self._silent_agents.update(agents_by_server.values())
        replies_by_server = self._direct_client.request_all(
            {
                server: requests_by_agent[agent]
                for server, agent in agents_by_server.items()
            }
        )
        for server, one in replies_by_server.items():
            replies[agents_by_server[server]] = one


def _find_servers(roster: Roster, agents: Iterable[str]) -> dict[str, str]:
    return {agent: roster.server_of(agent) for agent in agents}
