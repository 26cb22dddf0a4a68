from __future__ import annotations

from collections import Counter
from typing import Any
from typing import cast

from hypothesis import given
from hypothesis import strategies as st

from kingcupwheel.link.links import IncomingLink
from kingcupwheel.link.links import OutgoingLink
from kingcupwheel.lockstep.agent_client import AgentClient
from kingcupwheel.lockstep.agent_client import AgentRequest
from kingcupwheel.lockstep.branch_aggregator import BranchAggregator
from kingcupwheel.lockstep.branches import MAX_BRANCH_AGENTS
from kingcupwheel.lockstep.branches import MAX_DIRECT_RANKS
from kingcupwheel.lockstep.branches import assign_branch_heads
from kingcupwheel.messages.lockstep import BranchReply
from kingcupwheel.messages.lockstep import BranchRequest
from kingcupwheel.messages.lockstep import RankStateReply
from kingcupwheel.messages.lockstep import RankStateRequest
from kingcupwheel.messages.lockstep import ReplyContent
from tests.lockstep.builders import RecordingHub
from tests.lockstep.builders import make_rank_state


COORDINATOR_LINK = IncomingLink(b"coordinator")


def make_agents(count: int) -> dict[str, str]:
    return {f"10.{n % 3}.0.{n}:7340": f"dc-{n % 3}" for n in range(count)}


def take_request_numbers(hub: RecordingHub) -> dict[str, int]:
    """Return the numbers of the forwarded requests by member address."""
    return {
        link.address: message.number
        for link, message in hub.take_sent()
        if isinstance(link, OutgoingLink) and isinstance(message, RankStateRequest)
    }


@given(st.integers(1, 100))
def test_branches_are_small_and_within_a_data_centre(count: int) -> None:
    found = make_agents(count)
    heads = assign_branch_heads(found)

    assert set(heads) == set(found)
    assert all(found[agent] == found[head] for agent, head in heads.items())
    assert all(heads[head] == head for head in heads.values())
    if count <= MAX_DIRECT_RANKS:
        assert all(agent == head for agent, head in heads.items())
    assert max(Counter(heads.values()).values()) <= MAX_BRANCH_AGENTS


def test_a_head_replies_once_with_summed_counts() -> None:
    """Counts of 72 ranks cross between data centres only once per branch."""
    hub = RecordingHub()
    aggregator = BranchAggregator(cast("Any", hub))
    request = RankStateRequest(0, ReplyContent.COUNTS)
    aggregator.forward_request(
        COORDINATOR_LINK, BranchRequest(7, request, ("a:1", "b:1", "c:1")), 100.0
    )
    numbers = take_request_numbers(hub)

    for rank, number in enumerate(numbers.values()):
        reply = RankStateReply(
            number, make_rank_state(rank), bytes([rank + 1, 10]), scale=2
        )
        assert aggregator.handle_reply(reply)

    [(link, branch_reply)] = hub.take_sent()
    assert link == COORDINATOR_LINK
    assert isinstance(branch_reply, BranchReply)
    assert branch_reply.number == 7
    assert set(branch_reply.reply_by_address) == {"a:1", "b:1", "c:1"}
    assert [count * branch_reply.scale for count in branch_reply.counts] == [12, 60]


def test_a_silent_member_is_omitted_after_the_timeout() -> None:
    """A frozen agent must not delay the states of the other members.

    The coordinator then sends the order directly to the server of that rank. A late
    reply of the frozen agent is ignored.
    """
    hub = RecordingHub()
    aggregator = BranchAggregator(cast("Any", hub))
    request = RankStateRequest(0, ReplyContent.STATE, wait_ms=250)
    aggregator.forward_request(
        COORDINATOR_LINK, BranchRequest(7, request, ("a:1", "b:1")), 100.0
    )
    numbers = take_request_numbers(hub)
    aggregator.handle_reply(RankStateReply(numbers["a:1"], make_rank_state(0)))

    aggregator.on_tick(100.3)
    assert hub.take_sent() == []
    aggregator.on_tick(100.5)

    [(_, branch_reply)] = hub.take_sent()
    assert isinstance(branch_reply, BranchReply)
    assert set(branch_reply.reply_by_address) == {"a:1"}
    assert aggregator.handle_reply(RankStateReply(numbers["b:1"], make_rank_state(1)))
    assert hub.take_sent() == []


class RespondingHub(RecordingHub):
    """Replies to requests immediately, except those to silent addresses."""

    def __init__(self, silent: set[str]) -> None:
        super().__init__()
        self.silent = silent
        self.agent_client = AgentClient(cast("Any", self))

    def send(self, link: Any, message: Any) -> None:
        super().send(link, message)
        if link.address in self.silent:
            return
        match message:
            case BranchRequest(number=number, members=members):
                replies = {
                    one: RankStateReply(0, make_rank_state(0))
                    for one in members
                    if one not in self.silent
                }
                self.agent_client.handle_reply(
                    BranchReply(number, replies, bytes([4]), 3)
                )
            case RankStateRequest(number=number):
                self.agent_client.handle_reply(
                    RankStateReply(number, make_rank_state(0), bytes([1]), 3)
                )


def test_a_branch_takes_one_message_and_its_counts_are_added_once() -> None:
    found = make_agents(72)
    hub = RespondingHub(set())
    hub.agent_client.set_branch_heads(assign_branch_heads(found))

    replies = hub.agent_client.request_all(
        dict.fromkeys(found, AgentRequest(ReplyContent.COUNTS))
    )

    assert len(hub.sent) == 72 // MAX_BRANCH_AGENTS
    assert set(replies) == set(found)
    assert sum(sum(reply.counts) * reply.scale for reply in replies.values()) == 9 * 12


def test_members_behind_a_silent_head_are_asked_themselves() -> None:
    """A head that is killed while a pass is held must not stop the group.

    Eight ranks would seem silent. They are asked directly at once, and the head is
    bypassed in the following requests as well.
    """
    found = make_agents(72)
    heads = assign_branch_heads(found)
    head = heads[sorted(found)[0]]
    hub = RespondingHub({head})
    hub.agent_client.set_branch_heads(heads)

    replies = hub.agent_client.request_all(dict.fromkeys(found, AgentRequest()))
    assert set(found) - set(replies) == {head}

    hub.take_sent()
    hub.agent_client.request_all(dict.fromkeys(found, AgentRequest()))
    asked = {
        link.address for link, _ in hub.take_sent() if isinstance(link, OutgoingLink)
    }
    assert {one for one in found if heads[one] == head} <= asked
