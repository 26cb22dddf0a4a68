"""Sends requests to all agents of a group in parallel and collects the replies."""

from __future__ import annotations

from threading import Condition
from time import monotonic
from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.link.links import OutgoingLink
from kingcupwheel.messages.lockstep import BranchRequest
from kingcupwheel.messages.lockstep import RankStateReply
from kingcupwheel.messages.lockstep import RankStateRequest
from kingcupwheel.messages.lockstep import ReplyContent
from kingcupwheel.telemetry.json_logs import lines_of


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from kingcupwheel.link.hub import MessageHub
    from kingcupwheel.lockstep.orders import RankOrder
    from kingcupwheel.messages.lockstep import BranchReply

log = lines_of("maps")

# Time for a reply beyond the requested wait: a round trip between data centres, two
# local calls and a margin for a busy processor.
REPLY_TIMEOUT_S = 0.15
# A branch adds two hops and one tick of its head.
_BRANCH_EXTRA_TIMEOUT_S = 0.1
# Consecutive unanswered requests after which a link is reconnected: a link that went
# silent does not recover, while a new one works.
_MAX_UNANSWERED_REQUESTS = 3
# How long the members of a branch are asked directly after its head was silent: about
# the restart time of a process.
_HEAD_BYPASS_S = 3.0


class AgentRequest(NamedTuple):
    """A request to one agent: the reply's content, an order, and how long to wait."""

    content: ReplyContent = ReplyContent.STATE
    order: RankOrder | None = None
    wait_s: float = 0.0


class _OutgoingRequest(NamedTuple):
    """One request message, to a single agent or to the head of a branch."""

    address: str
    request: AgentRequest
    members: tuple[str, ...]

    @property
    def is_branch(self) -> bool:
        return len(self.members) > 1

    @property
    def timeout_s(self) -> float:
        return (
            self.request.wait_s
            + REPLY_TIMEOUT_S
            + _BRANCH_EXTRA_TIMEOUT_S * self.is_branch
        )


class AgentClient:
    """Client of agents by address; ``handle_reply`` may be called from any thread."""

    def __init__(self, hub: MessageHub) -> None:
        self._hub = hub
        self._last_number = 0
        self._replies_by_number: dict[int, RankStateReply | BranchReply | None] = {}
        self._unanswered_by_address: dict[str, int] = {}
        self._heads_by_agent: Mapping[str, str] = {}
        self._bypassed_until_by_head: dict[str, float] = {}
        self._changed = Condition()

    def set_branch_heads(self, heads_by_agent: Mapping[str, str]) -> None:
        """Route requests through these heads; other agents are asked directly."""
        self._heads_by_agent = heads_by_agent

    def handle_reply(self, message: RankStateReply | BranchReply) -> None:
        """Store a reply if it is still awaited."""
        with self._changed:
            if message.number in self._replies_by_number:
                self._replies_by_number[message.number] = message
                self._changed.notify_all()

    def request_all(
        self, requests_by_address: Mapping[str, AgentRequest]
    ) -> dict[str, RankStateReply]:
        """Return the replies by address, without those that missed the timeout.

        The summed counts of a branch are attached to one of its members.
        """
        outgoing = self._group_requests(requests_by_address)
        replies, silent = self._exchange(outgoing)
        bypassed = self._bypass_heads(silent)
        if bypassed:
            direct = [
                _OutgoingRequest(one, requests_by_address[one], (one,))
                for one in bypassed
            ]
            found, _ = self._exchange(direct)
            replies.update(found)
        self._count_unanswered(requests_by_address, replies)
        return replies

    def _group_requests(
        self, requests_by_address: Mapping[str, AgentRequest]
    ) -> list[_OutgoingRequest]:
        now = monotonic()
        # Keyed by the identity of the order: comparing maps of 72 ranks is slow.
        members: dict[tuple[str, ReplyContent, int], list[str]] = {}
        for address, request in requests_by_address.items():
            head = self._heads_by_agent.get(address, address)
            if now < self._bypassed_until_by_head.get(head, 0.0):
                head = address
            key = (head, request.content, id(request.order))
            members.setdefault(key, []).append(address)
        return [
            _OutgoingRequest(
                head if len(found) > 1 else found[0],
                requests_by_address[found[0]],
                tuple(found),
            )
            for (head, _, _), found in members.items()
        ]

    def _bypass_heads(self, silent: Iterable[_OutgoingRequest]) -> tuple[str, ...]:
        """Bypass silent heads for a while; return the members to ask directly.

        When the head of a branch is frozen or killed, eight ranks seem silent, and a
        change that holds a pass would wait for all of them.
        """
        members: list[str] = []
        for request in silent:
            if request.is_branch:
                log.info(
                    "branch-silent", head=request.address, agents=len(request.members)
                )
                self._bypassed_until_by_head[request.address] = (
                    monotonic() + _HEAD_BYPASS_S
                )
                members.extend(request.members)
        return tuple(members)

    def _exchange(
        self, outgoing: Iterable[_OutgoingRequest]
    ) -> tuple[dict[str, RankStateReply], tuple[_OutgoingRequest, ...]]:
        """Send each request; return replies by address and the unanswered requests."""
        outgoing_by_number = {self._next_number(): request for request in outgoing}
        began = monotonic()
        with self._changed:
            self._replies_by_number = dict.fromkeys(outgoing_by_number)
        for number, request in outgoing_by_number.items():
            self._send(number, request)
        longest_s = max(
            (one.timeout_s for one in outgoing_by_number.values()), default=0.0
        )
        with self._changed:
            self._changed.wait_for(
                lambda: all(
                    one is not None for one in self._replies_by_number.values()
                ),
                max(0.0, began + longest_s - monotonic()),
            )
            awaited, self._replies_by_number = self._replies_by_number, {}
        replies: dict[str, RankStateReply] = {}
        for number, reply in awaited.items():
            if reply is not None:
                replies.update(_replies_by_address(outgoing_by_number[number], reply))
        silent = tuple(
            outgoing_by_number[number] for number, one in awaited.items() if one is None
        )
        return replies, silent

    def _send(self, number: int, outgoing: _OutgoingRequest) -> None:
        request = outgoing.request
        wait_ms = int(request.wait_s * 1000)
        rank_request = RankStateRequest(number, request.content, request.order, wait_ms)
        message = (
            BranchRequest(number, rank_request, outgoing.members)
            if outgoing.is_branch
            else rank_request
        )
        self._hub.send(OutgoingLink(outgoing.address, 0), message)

    def _next_number(self) -> int:
        self._last_number += 1
        return self._last_number

    def _count_unanswered(
        self,
        requests_by_address: Mapping[str, AgentRequest],
        replies: Mapping[str, RankStateReply],
    ) -> None:
        for address in requests_by_address:
            if address in replies:
                self._unanswered_by_address[address] = 0
                continue
            unanswered = self._unanswered_by_address.get(address, 0) + 1
            if unanswered >= _MAX_UNANSWERED_REQUESTS:
                self._hub.reconnect(address)
                unanswered = 0
            self._unanswered_by_address[address] = unanswered


def _replies_by_address(
    outgoing: _OutgoingRequest, reply: RankStateReply | BranchReply
) -> dict[str, RankStateReply]:
    if isinstance(reply, RankStateReply):
        return {outgoing.address: reply}
    replies = dict(reply.reply_by_address)
    if reply.counts and replies:
        first = next(iter(replies))
        one = replies[first]
        replies[first] = RankStateReply(
            one.number, one.state, reply.counts, reply.scale, one.placement
        )
    return replies
