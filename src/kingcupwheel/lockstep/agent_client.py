"""Asks every rank of a group at once and gathers the answers."""

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

# What an answer takes beyond the wait that was asked for, in seconds: two ways between
# data centres, two local calls, and room for a busy processor.
REPLY_TIMEOUT_S = 0.15
# What a branch takes besides: two hops, and a tick of its head.
_BRANCH_EXTRA_TIMEOUT_S = 0.1
# A link that left so many questions in a row without an answer is opened anew: one that
# went silent stays so, while new ones work.
_MAX_UNANSWERED_REQUESTS = 3
# How long the members of a branch whose head was silent are asked directly, in seconds:
# about what a process takes to be started again.
_HEAD_BYPASS_S = 3.0


class AgentRequest(NamedTuple):
    """What one agent is asked."""

    content: ReplyContent = ReplyContent.STATE
    order: RankOrder | None = None
    wait_s: float = 0.0


class _OutgoingRequest(NamedTuple):
    """One message of a question: to an agent, or to the head of a branch."""

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
    """Questions to agents by address; ``told`` may be called from any thread."""

    def __init__(self, hub: MessageHub) -> None:
        self._hub = hub
        self._last_number = 0
        self._replies_by_number: dict[int, RankStateReply | BranchReply | None] = {}
        self._unanswered_by_address: dict[str, int] = {}
        self._heads_by_agent: Mapping[str, str] = {}
        self._bypassed_until_by_head: dict[str, float] = {}
        self._changed = Condition()

    def set_branch_heads(self, heads_by_agent: Mapping[str, str]) -> None:
        """Ask agents through these heads from now on; one left out is asked itself."""
        self._heads_by_agent = heads_by_agent

    def handle_reply(self, message: RankStateReply | BranchReply) -> None:
        """Take in an answer."""
        with self._changed:
            if message.number in self._replies_by_number:
                self._replies_by_number[message.number] = message
                self._changed.notify_all()

    def request_all(
        self, requests_by_address: Mapping[str, AgentRequest]
    ) -> dict[str, RankStateReply]:
        """Return the answers by address; those that came too late are left out.

        Counts of a branch come summed with one of its members.
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
        # By the order itself, not what it holds: comparing maps of 72 ranks is slow.
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
        """Return the agents behind silent heads, to be asked directly.

        Failure: the head of a branch is frozen or killed. Symptom: eight ranks seem
        silent, and a change that holds a pass waits for all of them. Each is asked
        itself at once, and so is the branch for a while.
        """
        members: list[str] = []
        for part in silent:
            if part.is_branch:
                log.info("branch-silent", head=part.address, agents=len(part.members))
                self._bypassed_until_by_head[part.address] = (
                    monotonic() + _HEAD_BYPASS_S
                )
                members.extend(part.members)
        return tuple(members)

    def _exchange(
        self, outgoing: Iterable[_OutgoingRequest]
    ) -> tuple[dict[str, RankStateReply], tuple[_OutgoingRequest, ...]]:
        """Send each part; return answers by address, and the parts without any."""
        outgoing_by_number = {self._next_number(): part for part in outgoing}
        began = monotonic()
        with self._changed:
            self._replies_by_number = dict.fromkeys(outgoing_by_number)
        for number, part in outgoing_by_number.items():
            self._send(number, part)
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
            waited, self._replies_by_number = self._replies_by_number, {}
        replies: dict[str, RankStateReply] = {}
        for number, answer in waited.items():
            if answer is not None:
                replies.update(_replies_by_address(outgoing_by_number[number], answer))
        silent = tuple(
            outgoing_by_number[number] for number, one in waited.items() if one is None
        )
        return replies, silent

    def _send(self, number: int, outgoing: _OutgoingRequest) -> None:
        request = outgoing.request
        wait_ms = int(request.wait_s * 1000)
        ask = RankStateRequest(number, request.content, request.order, wait_ms)
        message = (
            BranchRequest(number, ask, outgoing.members) if outgoing.is_branch else ask
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
    told = dict(reply.reply_by_address)
    if reply.counts and told:
        first = next(iter(told))
        one = told[first]
        told[first] = RankStateReply(
            one.number, one.state, reply.counts, reply.scale, one.placement
        )
    return told
