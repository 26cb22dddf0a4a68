"""Asks every rank of a group at once and gathers the answers."""

from __future__ import annotations

from threading import Condition
from time import monotonic
from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.link.links import Outgoing
from kingcupwheel.messages.lockstep import BranchAsk
from kingcupwheel.messages.lockstep import RankAsk
from kingcupwheel.messages.lockstep import RankTold
from kingcupwheel.messages.lockstep import Tell
from kingcupwheel.telemetry.lines import lines_of


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from kingcupwheel.link.hub import Hub
    from kingcupwheel.lockstep.orders import RankOrder
    from kingcupwheel.messages.lockstep import BranchTold

log = lines_of("maps")

# What an answer takes beyond the wait that was asked for, in seconds: two ways between
# data centres, two local calls, and room for a busy processor.
REPLY_TIMEOUT_S = 0.15
# What a branch takes besides: two hops, and a tick of its head.
_BRANCH_S = 0.1
# A link that left so many questions in a row without an answer is opened anew: one that
# went silent stays so, while new ones work.
_SILENT_QUESTIONS = 3
# How long the members of a branch whose head was silent are asked directly, in seconds:
# about what a process takes to be started again.
_HEAD_SILENT_S = 3.0


class AgentRequest(NamedTuple):
    """What one agent is asked."""

    tell: Tell = Tell.STATE
    order: RankOrder | None = None
    wait_s: float = 0.0


class _Part(NamedTuple):
    """One message of a question: to an agent, or to the head of a branch."""

    address: str
    question: AgentRequest
    members: tuple[str, ...]

    @property
    def is_branch(self) -> bool:
        return len(self.members) > 1

    @property
    def until_s(self) -> float:
        return self.question.wait_s + REPLY_TIMEOUT_S + _BRANCH_S * self.is_branch


class AgentClient:
    """Questions to agents by address; ``told`` may be called from any thread."""

    def __init__(self, hub: Hub) -> None:
        self._hub = hub
        self._number = 0
        self._waited: dict[int, RankTold | BranchTold | None] = {}
        self._unanswered_by_address: dict[str, int] = {}
        self._heads_by_agent: Mapping[str, str] = {}
        self._silent_until_by_head: dict[str, float] = {}
        self._changed = Condition()

    def set_branch_heads(self, heads_by_agent: Mapping[str, str]) -> None:
        """Ask agents through these heads from now on; one left out is asked itself."""
        self._heads_by_agent = heads_by_agent

    def handle_reply(self, message: RankTold | BranchTold) -> None:
        """Take in an answer."""
        with self._changed:
            if message.number in self._waited:
                self._waited[message.number] = message
                self._changed.notify_all()

    def request_all(self, questions: Mapping[str, AgentRequest]) -> dict[str, RankTold]:
        """Return the answers by address; those that came too late are left out.

        Counts of a branch come summed with one of its members.
        """
        parts = self._parts(questions)
        answers, silent = self._exchange(parts)
        behind = self._behind(silent)
        if behind:
            direct = [_Part(one, questions[one], (one,)) for one in behind]
            found, _ = self._exchange(direct)
            answers.update(found)
        self._note_silence(questions, answers)
        return answers

    def _parts(self, questions: Mapping[str, AgentRequest]) -> list[_Part]:
        now = monotonic()
        # By the order itself, not what it holds: comparing maps of 72 ranks is slow.
        members: dict[tuple[str, Tell, int], list[str]] = {}
        for address, question in questions.items():
            head = self._heads_by_agent.get(address, address)
            if now < self._silent_until_by_head.get(head, 0.0):
                head = address
            key = (head, question.tell, id(question.order))
            members.setdefault(key, []).append(address)
        return [
            _Part(
                head if len(found) > 1 else found[0], questions[found[0]], tuple(found)
            )
            for (head, _, _), found in members.items()
        ]

    def _behind(self, silent: Iterable[_Part]) -> tuple[str, ...]:
        """Return the agents behind silent heads, to be asked directly.

        Failure: the head of a branch is frozen or killed. Symptom: eight ranks seem
        silent, and a change that holds a pass waits for all of them. Each is asked
        itself at once, and so is the branch for a while.
        """
        behind: list[str] = []
        for part in silent:
            if part.is_branch:
                log.info("branch-silent", head=part.address, agents=len(part.members))
                self._silent_until_by_head[part.address] = monotonic() + _HEAD_SILENT_S
                behind.extend(part.members)
        return tuple(behind)

    def _exchange(
        self, parts: Iterable[_Part]
    ) -> tuple[dict[str, RankTold], tuple[_Part, ...]]:
        """Send each part; return answers by address, and the parts without any."""
        parts_by_number = {self._next(): part for part in parts}
        began = monotonic()
        with self._changed:
            self._waited = dict.fromkeys(parts_by_number)
        for number, part in parts_by_number.items():
            self._send(number, part)
        longest_s = max((one.until_s for one in parts_by_number.values()), default=0.0)
        with self._changed:
            self._changed.wait_for(
                lambda: all(one is not None for one in self._waited.values()),
                max(0.0, began + longest_s - monotonic()),
            )
            waited, self._waited = self._waited, {}
        answers: dict[str, RankTold] = {}
        for number, answer in waited.items():
            if answer is not None:
                answers.update(_by_address(parts_by_number[number], answer))
        silent = tuple(
            parts_by_number[number] for number, one in waited.items() if one is None
        )
        return answers, silent

    def _send(self, number: int, part: _Part) -> None:
        question = part.question
        wait_ms = int(question.wait_s * 1000)
        ask = RankAsk(number, question.tell, question.order, wait_ms)
        message = BranchAsk(number, ask, part.members) if part.is_branch else ask
        self._hub.send(Outgoing(part.address, 0), message)

    def _next(self) -> int:
        self._number += 1
        return self._number

    def _note_silence(
        self, questions: Mapping[str, AgentRequest], answers: Mapping[str, RankTold]
    ) -> None:
        for address in questions:
            if address in answers:
                self._unanswered_by_address[address] = 0
                continue
            unanswered = self._unanswered_by_address.get(address, 0) + 1
            if unanswered >= _SILENT_QUESTIONS:
                self._hub.replace(address)
                unanswered = 0
            self._unanswered_by_address[address] = unanswered


def _by_address(part: _Part, answer: RankTold | BranchTold) -> dict[str, RankTold]:
    if isinstance(answer, RankTold):
        return {part.address: answer}
    told = dict(answer.told)
    if answer.counts and told:
        first = next(iter(told))
        one = told[first]
        told[first] = RankTold(
            one.number, one.state, answer.counts, answer.scale, one.places
        )
    return told
