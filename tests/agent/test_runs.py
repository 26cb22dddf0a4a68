from __future__ import annotations

import pytest

from kingcupwheel.agent.attempt_table import AttemptTable
from kingcupwheel.agent.attempts import AttemptKey
from kingcupwheel.agent.attempts import ForgottenDecision
from kingcupwheel.agent.attempts import IgnoreDecision
from kingcupwheel.agent.attempts import JoinDecision
from kingcupwheel.agent.attempts import QueueDecision
from kingcupwheel.agent.attempts import RefusalDecision
from kingcupwheel.agent.attempts import StartDecision
from kingcupwheel.messages.attempts import ClaimRef
from kingcupwheel.messages.attempts import DispatchRefusal
from kingcupwheel.messages.attempts import TombstoneRequest
from tests.agent.builders import build_dispatch


TOKEN_S = 5.0


def build_table(
    *, capacity: int = 1, queue: int = 2, requests_bytes: float = float("inf")
) -> AttemptTable:
    return AttemptTable(
        incarnation="incarnation-1",
        capacity=capacity,
        queue_limit=queue,
        token_s=TOKEN_S,
        requests_bytes=requests_bytes,
    )


def dispatch_and_get_refusal(
    table: AttemptTable, request_id: str, **changes: object
) -> DispatchRefusal | None:
    decision = table.handle_dispatch(build_dispatch(request_id, **changes), now=0.0)  # type: ignore[arg-type]
    return decision.reason if isinstance(decision, RefusalDecision) else None


def test_queue_orders_by_priority_then_arrival_and_is_bounded() -> None:
    table = build_table(queue=3)
    table.handle_dispatch(build_dispatch("running"), now=0.0)

    waits = [
        table.handle_dispatch(build_dispatch(name, priority=priority), now=0.0)
        for name, priority in (("low", 1), ("first", 5), ("second", 5))
    ]
    over = dispatch_and_get_refusal(table, "over", priority=9)
    table.finish(AttemptKey("running", 1), now=1.0)

    assert waits == [QueueDecision(0), QueueDecision(0), QueueDecision(1)]
    assert over is DispatchRefusal.FULL
    assert [queued.request_id for queued in table.queued_dispatches] == [
        "first",
        "second",
        "low",
    ]
    assert [step.key.request_id for step in table.advance(now=1.0)] == ["first"]


def test_bodies_of_running_and_queued_attempts_are_bounded() -> None:
    """Guards against an agent that is killed for the memory of what waits."""
    table = build_table(queue=9, requests_bytes=8_000_000)
    large = bytes(2_000_000)

    refusals = [dispatch_and_get_refusal(table, name, body=large) for name in "abcdef"]
    small = dispatch_and_get_refusal(table, "small", body=b"x" * 65_536)
    table.finish(AttemptKey("a", 1), now=1.0)

    assert refusals[:2] == [None, None]
    assert refusals[-1] is DispatchRefusal.FULL
    assert small is None
    assert dispatch_and_get_refusal(table, "g", body=large) is None


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({"incarnation": "incarnation-0"}, DispatchRefusal.WRONG_INCARNATION),
        ({"token": -5001}, DispatchRefusal.STALE_TOKEN),
        ({"token": 1}, DispatchRefusal.STALE_TOKEN),
        ({"deadline_s": 0.0}, DispatchRefusal.EXPIRED),
        ({"path": "/a b"}, DispatchRefusal.BAD_REQUEST),
        ({"headers": (("A", "b\r\nX: y"),)}, DispatchRefusal.BAD_REQUEST),
        ({"claim": ClaimRef("low", 2)}, DispatchRefusal.LOW_FENCE),
        ({"claim": ClaimRef("tomb", 8)}, DispatchRefusal.ENTOMBED),
        ({"suspect": True}, DispatchRefusal.SUSPECT_BUSY),
    ],
)
def test_refusal_has_its_reason_and_holds_for_copies(
    changes: dict[str, object], reason: DispatchRefusal
) -> None:
    table = build_table(capacity=4)
    table.handle_dispatch(build_dispatch("suspect", suspect=True), now=0.0)
    table.handle_dispatch(
        build_dispatch("late", claim=ClaimRef("low", 3), deadline_s=0.0), now=0.0
    )
    table.set_tombstone(TombstoneRequest("tomb", 9, "incarnation-1"), now=0.0)

    assert dispatch_and_get_refusal(table, "a", **changes) is reason
    assert dispatch_and_get_refusal(table, "a") is reason


def test_expired_or_drained_queue_entries_release_their_claims() -> None:
    table = build_table()
    table.handle_dispatch(build_dispatch("running"), now=0.0)
    table.handle_dispatch(
        build_dispatch("late", deadline_s=1.0, claim=ClaimRef("c", 1)), now=0.0
    )

    late = table.advance(now=1.0)
    again = table.handle_dispatch(
        build_dispatch("again", claim=ClaimRef("c", 2)), now=1.0
    )
    left = table.begin_leaving(now=1.0)

    assert late == [RefusalDecision(AttemptKey("late", 1), DispatchRefusal.EXPIRED)]
    assert again == QueueDecision(0)
    assert left == [RefusalDecision(AttemptKey("again", 1), DispatchRefusal.LEAVING)]
    assert (
        table.set_tombstone(TombstoneRequest("c", 3, "incarnation-1"), now=1.0).ran
        is False
    )
    assert dispatch_and_get_refusal(table, "new") is DispatchRefusal.LEAVING


def test_a_claim_that_ran_is_joined_whatever_fence_or_name_comes() -> None:
    table = build_table()
    first = build_dispatch("a", claim=ClaimRef("c", 4))
    assert table.handle_dispatch(first, now=0.0) == StartDecision(first)
    joined = JoinDecision(AttemptKey("a", 1))

    assert table.handle_dispatch(first, now=0.0) == joined
    lower = build_dispatch("b", claim=ClaimRef("c", 3))
    assert table.handle_dispatch(lower, now=0.0) == joined
    table.finish(AttemptKey("a", 1), now=1.0)
    assert table.handle_dispatch(lower, now=1.0) == joined
    reply = table.set_tombstone(TombstoneRequest("c", 9, "incarnation-1"), now=1.0)

    assert (reply.accepted, reply.ran, reply.request_id) == (True, True, "a")
    assert (
        table.set_tombstone(TombstoneRequest("c", 9, "other"), now=1.0).accepted
        is False
    )


def test_joined_attempts_share_an_unreachable_refusal() -> None:
    table = build_table()
    table.handle_dispatch(build_dispatch("a", claim=ClaimRef("c", 1)), now=0.0)
    table.handle_dispatch(build_dispatch("b", claim=ClaimRef("c", 2)), now=0.0)

    refused = table.record_not_run(
        AttemptKey("a", 1), DispatchRefusal.SERVER_UNREACHABLE, now=0.0
    )

    assert [refuse.key.request_id for refuse in refused] == ["a", "b"]
    assert (
        dispatch_and_get_refusal(table, "b", claim=ClaimRef("c", 2))
        is DispatchRefusal.SERVER_UNREACHABLE
    )


def test_refusal_is_kept_until_copies_are_stale() -> None:
    table = build_table(queue=0)
    table.handle_dispatch(build_dispatch("running"), now=0.0)
    assert dispatch_and_get_refusal(table, "a") is DispatchRefusal.FULL
    table.finish(AttemptKey("running", 1), now=0.0)

    in_time = table.handle_dispatch(build_dispatch("a"), now=TOKEN_S)
    stale = table.handle_dispatch(build_dispatch("a"), now=4 * TOKEN_S)

    assert in_time == RefusalDecision(AttemptKey("a", 1), DispatchRefusal.FULL)
    assert stale == RefusalDecision(AttemptKey("a", 1), DispatchRefusal.STALE_TOKEN)


def test_copy_of_an_ended_attempt_is_joined_and_later_unknown() -> None:
    table = build_table()
    first = build_dispatch("a")
    table.handle_dispatch(first, now=0.0)
    table.finish(AttemptKey("a", 1), now=0.0)

    assert table.handle_dispatch(first, now=table.ended_retention_s) == JoinDecision(
        AttemptKey("a", 1)
    )
    after = table.ended_retention_s + 1.0
    assert table.handle_dispatch(first, now=after) == ForgottenDecision(
        AttemptKey("a", 1)
    )


def test_cancel_of_an_unknown_attempt_does_not_refuse_it_yet() -> None:
    """Guards against a false ``not-run`` for a cancel after the agent restarted.

    The attempt may have run in the earlier incarnation. Only a dispatch that arrives
    after the cancel shows that it never ran in this one.
    """
    table = build_table()

    assert table.cancel(AttemptKey("a", 1), now=0.0) == IgnoreDecision()
    assert table.get_refusal(AttemptKey("a", 1)) is None
    assert dispatch_and_get_refusal(table, "a") is DispatchRefusal.CANCELLED
