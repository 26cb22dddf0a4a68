"""Attempt table under reordered, duplicated, delayed and lost messages.

A non-repeatable request runs at most once per agent incarnation, and a reported
``not-run`` stays true. Sent messages are delivered at any time, any number of times or
never, while clocks advance, attempts end and the agent restarts, because links that
were silent may deliver old messages late.
"""

from __future__ import annotations

from collections import Counter

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from kingcupwheel.agent.attempt_table import AttemptTable
from kingcupwheel.agent.attempts import AttemptKey
from kingcupwheel.agent.attempts import RefusalDecision
from kingcupwheel.agent.attempts import StartDecision
from kingcupwheel.agent.attempts import StopDecision
from kingcupwheel.agent.attempts import get_attempt_key
from kingcupwheel.messages.attempts import ClaimRef
from kingcupwheel.messages.attempts import Dispatch
from kingcupwheel.messages.attempts import DispatchRefusal
from kingcupwheel.messages.attempts import TombstoneRequest
from tests.agent.builders import build_dispatch


TOKEN_S = 5.0
CAPACITY = 2
QUEUE_LIMIT = 2
CLAIMS = st.sampled_from(["c1", None])
FENCES = st.integers(min_value=1, max_value=4)


class AttemptTableMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.incarnation_number = 0
        self.sent_dispatches: list[Dispatch] = []
        self.heartbeats: list[tuple[str, int]] = []
        # The server's view: attempts that ran, by incarnation, and running ones.
        self.ran: set[tuple[int, AttemptKey]] = set()
        self.runs_by_claim: Counter[tuple[int, str]] = Counter()
        self.running: dict[AttemptKey, Dispatch] = {}
        self.refused: set[AttemptKey] = set()
        self.tombstones_by_claim_id: dict[str, int] = {}
        self.is_leaving = False
        self.restart_table()

    def restart_table(self) -> None:
        self.incarnation_number += 1
        self.table = AttemptTable(
            incarnation=f"incarnation-{self.incarnation_number}",
            capacity=CAPACITY,
            queue_limit=QUEUE_LIMIT,
            token_s=TOKEN_S,
        )
        self.running.clear()
        self.tombstones_by_claim_id.clear()
        self.is_leaving = False
        self.send_heartbeat()

    @rule()
    def send_heartbeat(self) -> None:
        token = self.table.get_token(now=self.now)
        self.heartbeats.append((f"incarnation-{self.incarnation_number}", token))

    @rule(
        data=st.data(),
        claim_id=CLAIMS,
        fence=FENCES,
        deadline_s=st.sampled_from([None, 0.0, 2.0]),
        suspect=st.booleans(),
        arrives=st.booleans(),
    )
    def send(
        self,
        data: st.DataObject,
        claim_id: str | None,
        fence: int,
        deadline_s: float | None,
        suspect: bool,
        arrives: bool,
    ) -> None:
        if arrives:
            self.send_heartbeat()
        incarnation, token = data.draw(st.sampled_from(self.heartbeats[:-4:-1]))
        claim = None if claim_id is None else ClaimRef(claim_id, fence)
        self.sent_dispatches.append(
            build_dispatch(
                f"r{len(self.sent_dispatches)}",
                incarnation=incarnation,
                token=token,
                claim=claim,
                deadline_s=deadline_s,
                suspect=suspect,
            )
        )
        if arrives:
            self.apply_decision(
                self.table.handle_dispatch(self.sent_dispatches[-1], now=self.now)
            )

    @precondition(lambda self: self.sent_dispatches)
    @rule(data=st.data())
    def deliver(self, data: st.DataObject) -> None:
        message = data.draw(st.sampled_from(self.sent_dispatches[:-5:-1]))
        self.apply_decision(self.table.handle_dispatch(message, now=self.now))

    @rule(seconds=st.sampled_from([3.0, 6.0, 6.0, 8.0, 700.0]))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        for step in self.table.advance(now=self.now):
            self.apply_decision(step)

    @precondition(lambda self: self.running)
    @rule(data=st.data(), reached=st.booleans())
    def end_run(self, data: st.DataObject, reached: bool) -> None:
        key = data.draw(st.sampled_from(sorted(self.running)))
        message = self.running.pop(key)
        if reached:
            self.table.finish(key, now=self.now)
            return
        self.ran.discard((self.incarnation_number, key))
        if message.claim is not None:
            self.runs_by_claim[self.incarnation_number, message.claim.claim_id] -= 1
        for refuse in self.table.record_not_run(
            key, DispatchRefusal.SERVER_UNREACHABLE, now=self.now
        ):
            self.apply_decision(refuse)

    @precondition(lambda self: self.sent_dispatches)
    @rule(data=st.data())
    def cancel(self, data: st.DataObject) -> None:
        key = get_attempt_key(data.draw(st.sampled_from(self.sent_dispatches[:-5:-1])))
        decision = self.table.cancel(key, now=self.now)
        if isinstance(decision, RefusalDecision):
            self.apply_decision(decision)
        if isinstance(decision, StopDecision):
            assert key in self.running

    @rule(claim_id=st.just("c1"), fence=FENCES)
    def set_tombstone(self, claim_id: str, fence: int) -> None:
        reply = self.table.set_tombstone(
            TombstoneRequest(claim_id, fence, f"incarnation-{self.incarnation_number}"),
            now=self.now,
        )
        assert reply.accepted
        if reply.ran:
            return
        assert not self.runs_by_claim[self.incarnation_number, claim_id]
        self.tombstones_by_claim_id[claim_id] = max(
            fence, self.tombstones_by_claim_id.get(claim_id, 0)
        )

    @rule(rarely=st.integers(0, 5))
    def restart(self, rarely: int) -> None:
        if rarely == 1:
            self.restart_table()

    @precondition(lambda self: not self.is_leaving)
    @rule(rarely=st.integers(0, 5))
    def leave(self, rarely: int) -> None:
        if rarely != 1:
            return
        self.is_leaving = True
        for refuse in self.table.begin_leaving(now=self.now):
            self.apply_decision(refuse)

    @invariant()
    def bounds_hold(self) -> None:
        assert len(self.table.running_dispatches) <= CAPACITY
        assert len(self.table.queued_dispatches) <= QUEUE_LIMIT
        here = (*self.table.running_dispatches, *self.table.queued_dispatches)
        assert sum(message.suspect for message in here) <= 1
        assert not (self.is_leaving and self.table.queued_dispatches)

    def apply_decision(self, decision: object) -> None:
        match decision:
            case StartDecision(message):
                self.start_run(message)
            case RefusalDecision(key, reason):
                incarnations = range(1, self.incarnation_number + 1)
                if reason is DispatchRefusal.WRONG_INCARNATION:
                    incarnations = range(
                        self.incarnation_number, self.incarnation_number + 1
                    )
                assert not any(
                    (incarnation, key) in self.ran for incarnation in incarnations
                )
                self.refused.add(key)

    def start_run(self, message: Dispatch) -> None:
        key = get_attempt_key(message)
        assert key not in self.refused, "an AttemptRefused was not true"
        assert (self.incarnation_number, key) not in self.ran, "an attempt ran twice"
        assert not self.is_leaving, "an attempt started while leaving"
        self.ran.add((self.incarnation_number, key))
        self.running[key] = message
        if message.claim is not None:
            claim_id, fence = message.claim.claim_id, message.claim.fence
            self.runs_by_claim[self.incarnation_number, claim_id] += 1
            assert self.runs_by_claim[self.incarnation_number, claim_id] == 1
            assert fence >= self.tombstones_by_claim_id.get(claim_id, 0), (
                "ran below a tombstone's fence"
            )


AttemptTableMachine.TestCase.settings = settings(
    max_examples=300, stateful_step_count=50
)
TestRuns = AttemptTableMachine.TestCase
