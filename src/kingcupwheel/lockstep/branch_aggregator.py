"""Forwards a request to the members of a branch and aggregates their replies."""

from __future__ import annotations

from itertools import count
from threading import Lock
from typing import TYPE_CHECKING

import msgspec

from kingcupwheel.link.links import OutgoingLink
from kingcupwheel.lockstep.agent_client import REPLY_TIMEOUT_S
from kingcupwheel.lockstep.order_executor import pack_counts
from kingcupwheel.messages.lockstep import BranchReply
from kingcupwheel.messages.lockstep import RankStateRequest


if TYPE_CHECKING:
    from kingcupwheel.link.hub import MessageHub
    from kingcupwheel.link.links import Link
    from kingcupwheel.messages.lockstep import BranchRequest
    from kingcupwheel.messages.lockstep import RankStateReply

# First number of forwarded requests. An agent may coordinate a group and be the head of
# a branch at the same time; the number tells which of the two a reply belongs to.
_FIRST_REQUEST_NUMBER = 1 << 40


class _PendingBranchRequest:
    """A forwarded request whose replies are being collected."""

    def __init__(self, link: Link, request: BranchRequest, deadline: float) -> None:
        self.link = link
        self.number = request.number
        self.deadline = deadline
        self.awaited_by_number: dict[int, str] = {}
        self.replies_by_address: dict[str, RankStateReply] = {}
        self.counts: list[int] = []

    def add_reply(self, message: RankStateReply) -> None:
        """Store a member's reply and add its counts to the sum."""
        address = self.awaited_by_number.pop(message.number)
        self.replies_by_address[address] = msgspec.structs.replace(
            message, counts=b"", scale=1
        )
        if not message.counts:
            return
        if not self.counts:
            self.counts = [0] * len(message.counts)
        for index, found in enumerate(message.counts):
            self.counts[index] += found * message.scale

    def build_reply(self) -> BranchReply:
        """Return the aggregate of the replies received so far."""
        if not self.counts:
            return BranchReply(self.number, self.replies_by_address)
        scale, counts = pack_counts(self.counts)
        return BranchReply(self.number, self.replies_by_address, counts, scale)


class BranchAggregator:
    """Requests that this agent forwards as the head of a branch; thread-safe.

    A member that does not reply within the timeout is omitted: it may be frozen, and
    must not delay the replies of the others.
    """

    def __init__(self, hub: MessageHub) -> None:
        self._hub = hub
        self._numbers = count(_FIRST_REQUEST_NUMBER)
        self._pending_by_number: dict[int, _PendingBranchRequest] = {}
        self._lock = Lock()

    def forward_request(self, link: Link, message: BranchRequest, now: float) -> None:
        """Forward a request to each member of the branch."""
        wait_s = message.request.wait_ms / 1000
        pending = _PendingBranchRequest(link, message, now + wait_s + REPLY_TIMEOUT_S)
        with self._lock:
            for address in message.members:
                number = next(self._numbers)
                pending.awaited_by_number[number] = address
                self._pending_by_number[number] = pending
            awaited = tuple(pending.awaited_by_number.items())
        for number, address in awaited:
            request = message.request
            forwarded = RankStateRequest(
                number, request.content, request.order, request.wait_ms
            )
            self._hub.send(OutgoingLink(address, 0), forwarded)

    def handle_reply(self, message: RankStateReply) -> bool:
        """Store a reply; return whether it answers a forwarded request."""
        with self._lock:
            pending = self._pending_by_number.pop(message.number, None)
            if pending is None:
                return message.number >= _FIRST_REQUEST_NUMBER
            pending.add_reply(message)
            if pending.awaited_by_number:
                return True
        self._hub.send(pending.link, pending.build_reply())
        return True

    def on_tick(self, now: float) -> None:
        """Send the replies received so far for requests past their deadline."""
        with self._lock:
            expired = {
                id(pending): pending
                for pending in self._pending_by_number.values()
                if now >= pending.deadline
            }
            for pending in expired.values():
                for number in pending.awaited_by_number:
                    del self._pending_by_number[number]
        for pending in expired.values():
            self._hub.send(pending.link, pending.build_reply())
