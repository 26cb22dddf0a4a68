"""The head of a branch: passes a question on to its members and gathers the answers."""

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

# Numbers of questions of a head begin here: an agent may coordinate one group's maps
# and be asked for a branch at the same time, and answers are told apart by number.
_FIRST_REQUEST_NUMBER = 1 << 40


class _PendingBranchRequest:
    """One question under way."""

    def __init__(self, link: Link, ask: BranchRequest, until: float) -> None:
        self.link = link
        self.number = ask.number
        self.deadline = until
        self.awaited_by_number: dict[int, str] = {}
        self.replies_by_address: dict[str, RankStateReply] = {}
        self.counts: list[int] = []

    def add_reply(self, message: RankStateReply) -> None:
        """Take in a member's answer; its counts are summed."""
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
        """Return what was told so far."""
        if not self.counts:
            return BranchReply(self.number, self.replies_by_address)
        scale, counts = pack_counts(self.counts)
        return BranchReply(self.number, self.replies_by_address, counts, scale)


class BranchAggregator:
    """Questions that this agent passes on; safe from any thread.

    A member that says nothing within the time of the question is left out: it may be
    frozen, and the others' answers must not wait for it.
    """

    def __init__(self, hub: MessageHub) -> None:
        self._hub = hub
        self._numbers = count(_FIRST_REQUEST_NUMBER)
        self._pending_by_number: dict[int, _PendingBranchRequest] = {}
        self._lock = Lock()

    def forward_request(self, link: Link, message: BranchRequest, now: float) -> None:
        """Pass a question on to the members of its branch."""
        wait_s = message.request.wait_ms / 1000
        pending = _PendingBranchRequest(link, message, now + wait_s + REPLY_TIMEOUT_S)
        with self._lock:
            for address in message.members:
                number = next(self._numbers)
                pending.awaited_by_number[number] = address
                self._pending_by_number[number] = pending
            asked = tuple(pending.awaited_by_number.items())
        for number, address in asked:
            ask = message.request
            passed = RankStateRequest(number, ask.content, ask.order, ask.wait_ms)
            self._hub.send(OutgoingLink(address, 0), passed)

    def handle_reply(self, message: RankStateReply) -> bool:
        """Take in an answer; return whether it belongs to a branch of this agent."""
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
        """Answer for branches whose time is up with what there is."""
        with self._lock:
            expired = {
                id(branch): branch
                for branch in self._pending_by_number.values()
                if now >= branch.deadline
            }
            for branch in expired.values():
                for number in branch.awaited_by_number:
                    del self._pending_by_number[number]
        for branch in expired.values():
            self._hub.send(branch.link, branch.build_reply())
