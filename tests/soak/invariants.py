"""Invariants that every request of a soak must satisfy under any fault."""

from __future__ import annotations

import json
from collections import Counter
from typing import TYPE_CHECKING
from typing import Protocol

from tests.soak.fleet import EVENT_COUNT
from tests.soak.fleet import SECOND_KEY


if TYPE_CHECKING:
    from collections.abc import Iterable

    from tests.forwarding.fleet import CallerResponse
    from tests.soak.callers import CallRecord
    from tests.soak.fleet import SoakFleet

# Statuses that guarantee that the request has not run and will not run.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
# Every entry stops accepting a revoked key within this time.
MAX_KEY_REVOCATION_S = 5.0


class AnsweredCall(Protocol):
    """A request and the answer that its caller received."""

    @property
    def id(self) -> str: ...

    @property
    def route(self) -> str: ...

    @property
    def answer(self) -> CallerResponse: ...


def count_runs_by_id(fleet: SoakFleet) -> Counter[str]:
    """Return how often each request ran, as the servers recorded it."""
    return Counter(
        request.headers["x-attempt-id"]
        for server in fleet.all_servers
        for request in server.received_requests
        if request.ran
    )


def find_violations(fleet: SoakFleet, calls: Iterable[CallRecord]) -> list[str]:
    """Return a sentence for each violated invariant."""
    violations: list[str] = []
    runs = count_runs_by_id(fleet)
    for call in calls:
        violations.extend(find_answer_violations(call, runs[call.id]))
        if runs[call.id] and _uses_revoked_key(call, fleet.key_revoked_at):
            violations.append(f"{call.id} ran with a revoked key")
    if fleet.group.mixed_step_count:
        violations.append(f"{fleet.group.mixed_step_count} steps ran on two maps")
    return violations


def find_answer_violations(call: AnsweredCall, runs: int) -> list[str]:
    """Return a sentence for each invariant that an answer violates."""
    violations: list[str] = []
    status = call.answer.status
    if call.route == "once" and runs > 1:
        violations.append(f"{call.id} may run at most once but ran {runs} times")
    if call.route == "once" and status in NOT_EXECUTED_STATUSES and runs:
        violations.append(f"{call.id} was answered {status} but ran")
    if status == 200 and call.answer.is_complete and not _matches_request(call):
        violations.append(f"{call.id} got a wrong answer: {call.answer.body[:80]!r}")
    if call.route == "stream" and status == 200 and not _has_ordered_events(call):
        violations.append(
            f"{call.id} got its events out of order: {call.answer.body!r}"
        )
    return violations


def _uses_revoked_key(call: CallRecord, revoked_at: float | None) -> bool:
    if revoked_at is None or call.api_key != SECOND_KEY:
        return False
    return call.sent_at > revoked_at + MAX_KEY_REVOCATION_S


def _matches_request(call: AnsweredCall) -> bool:
    if call.route == "stream" and call.answer.body.startswith(b"id:"):
        event_count = call.answer.body.decode().count(f" of {call.id}\n")
        return event_count == len(_event_ids(call)) == EVENT_COUNT
    try:
        return bool(json.loads(call.answer.body)["id"] == call.id)
    except (ValueError, KeyError):
        return False


def _event_ids(call: AnsweredCall) -> list[int]:
    lines = call.answer.body.decode().splitlines()
    return [int(line[4:]) for line in lines if line.startswith("id: ")]


def _has_ordered_events(call: AnsweredCall) -> bool:
    ids = _event_ids(call)
    return ids == list(range(1, len(ids) + 1))
