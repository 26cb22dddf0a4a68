"""What must hold around planned work, judged by what callers and servers saw.

Each check returns a sentence for each thing that must not be.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING
from typing import NamedTuple

from tests.soak.invariants import find_answer_violations
from tests.soak.planned.fleet import REQUEST_TIMEOUT_S
from tests.soak.planned.fleet import SHUTDOWN_GRACE_S
from tests.soak.planned.servers import RequestOutcome


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from tests.soak.planned.records import RequestRecord
    from tests.soak.planned.servers import ServerRequest
    from tests.soak.processes import ProcessRun

# Parts of the grace: a request sent so early after SIGTERM may still be cut if its
# server was at work in the last part.
EARLY_GRACE_SHARE = 3 / 8
LAST_GRACE_SHARE = 1 / 6
# What is sent later and not passed on is refused within this time of its last byte.
MAX_REFUSAL_S = 0.2
# A caller's own time is up, to within the way there and back.
ROUND_TRIP_TOLERANCE_S = 0.15
# After a server's word that it leaves has passed, its entry stops within this time.
MAX_DRAIN_DELAY_S = 1.0
# A server that asked for rest gets so many requests, from this long after on.
BACKOFF_START_DELAY_S = 0.5
MAX_BACKOFF_REQUESTS = 2


class ServerEnd(NamedTuple):
    """When a server's life ended; monotonic seconds."""

    began_at: float
    ended_at: float


def find_violations(
    sent: Sequence[RequestRecord],
    arrivals: Sequence[ServerRequest],
    lives_by_entry: Mapping[str, Sequence[ProcessRun]],
    ends: Sequence[ServerEnd],
) -> list[str]:
    """Return every fault, by all checks."""
    return [
        *find_lost_requests(sent),
        *find_unanswered_requests(sent, ends),
        *find_overdue_processes(lives_by_entry),
        *find_drain_violations(sent),
        *find_backoff_violations(sent, arrivals),
        *find_untrue_answers(sent),
        *find_cut_connections(sent),
    ]


def find_lost_requests(sent: Iterable[RequestRecord]) -> list[str]:
    """Find requests that a stopping entry passed on and whose answer it cut."""
    return [
        f"LOST: {one}"
        for one in sent
        if _is_cut_around_stop(one) and not _may_be_cut(one)
    ]


def _is_cut_around_stop(one: RequestRecord) -> bool:
    asked_at = one.process_run.terminated_at
    if asked_at is None or one.was_killed or one.call.answer.is_complete:
        return False
    return bool(one.arrivals) and one.call.ended_at >= asked_at


def _may_be_cut(one: RequestRecord) -> bool:
    """Return whether a stop excuses the cut, or something else explains it."""
    last = one.arrivals[-1]
    if last.outcome is RequestOutcome.SERVER_ABORTED or _is_timed_out(one):
        return True
    assert one.process_run.terminated_at is not None, "checked by the caller"
    last_part_at = one.process_run.terminated_at + SHUTDOWN_GRACE_S * (
        1 - LAST_GRACE_SHARE
    )
    return _is_sent_early(one) and last.ran and last.ended_at >= last_part_at


def _is_sent_early(one: RequestRecord) -> bool:
    return one.sent_after_sigterm_s <= SHUTDOWN_GRACE_S * EARLY_GRACE_SHARE


def _is_timed_out(one: RequestRecord) -> bool:
    return (
        one.call.ended_at
        >= one.call.sent_at + REQUEST_TIMEOUT_S - ROUND_TRIP_TOLERANCE_S
    )


def find_unanswered_requests(
    sent: Iterable[RequestRecord], ends: Iterable[ServerEnd]
) -> list[str]:
    """Find requests that a stopping entry kept waiting though it did not pass them on.

    A server that ends may have taken a request's connection and not read it: the entry
    then truly says that it does not know.
    """
    ends = tuple(ends)
    found = []
    for one in sent:
        if one.sent_after_sigterm_s <= 0 or one.arrivals or one.was_killed:
            continue
        if not (
            _is_refused(one)
            or _is_closed_in_time(one)
            or _overlaps_server_end(one, ends)
        ):
            found.append(f"UNANSWERED: {one}")
    return found


def _is_refused(one: RequestRecord) -> bool:
    """Return whether it is refused at once, or in time if it could wait for a place."""
    answer = one.call.answer
    in_time = _response_time_s(one) <= MAX_REFUSAL_S or _is_sent_early(one)
    return answer.status == 503 and answer.is_complete and in_time


def _is_closed_in_time(one: RequestRecord) -> bool:
    """Return whether its connection ended at once, or unread as the process went."""
    if one.call.answer.is_complete:
        return False
    if _response_time_s(one) <= MAX_REFUSAL_S:
        return True
    process_ended_at = one.process_run.ended_at or float("inf")
    went = one.call.ended_at >= process_ended_at - MAX_REFUSAL_S
    return one.call.was_reset and went and not one.call.answer.status


def _overlaps_server_end(one: RequestRecord, ends: Sequence[ServerEnd]) -> bool:
    call = one.call
    met = any(
        end.began_at <= call.ended_at and call.last_byte_at <= end.ended_at
        for end in ends
    )
    return met and call.answer.status == 502 and call.answer.is_complete


def _response_time_s(one: RequestRecord) -> float:
    return one.call.ended_at - one.call.last_byte_at


def find_overdue_processes(
    lives_by_entry: Mapping[str, Sequence[ProcessRun]],
) -> list[str]:
    """Find processes that outlived their grace."""
    return [
        f"OVERDUE: {name} was still there {SHUTDOWN_GRACE_S} s after SIGTERM, its "
        f"process ended {_shutdown_duration_s(life):.3f} s after it"
        for name, lives in lives_by_entry.items()
        for life in lives
        if life.exceeded_grace
    ]


def _shutdown_duration_s(life: ProcessRun) -> float:
    """Return how long after SIGTERM it ended, killed for its grace or by itself."""
    if life.terminated_at is None or life.ended_at is None:
        return float("inf")
    return life.ended_at - life.terminated_at


def find_drain_violations(sent: Sequence[RequestRecord]) -> list[str]:
    """Find requests at a server whose word that it leaves its entry has passed on."""
    told_at: dict[tuple[int, str], float] = {}
    for one in sent:
        headers = one.call.answer.headers
        if "server-leaving" in headers:
            server = headers["x-response-signature"].removeprefix("signed-by-")
            key = id(one.process_run), server
            told_at[key] = min(one.call.head_read_at, told_at.get(key, float("inf")))
    found = []
    for one in sent:
        for arrival in one.arrivals:
            told = told_at.get((id(one.process_run), arrival.incarnation), float("inf"))
            late_s = one.call.sent_at - told
            if (
                late_s > MAX_DRAIN_DELAY_S
                and arrival.outcome is not RequestOutcome.WRONG_INCARNATION
            ):
                found.append(f"DRAIN: {one}, told {late_s:.3f} s before")
    return found


def find_backoff_violations(
    sent: Iterable[RequestRecord], arrivals: Iterable[ServerRequest]
) -> list[str]:
    """Find servers that asked an entry for rest and did not get it."""
    life_by_id = {one.call.id: one.process_run for one in sent}
    entry_by_id = {one.call.id: one.call.entry for one in sent}
    by_pair: dict[tuple[str, int], list[ServerRequest]] = defaultdict(list)
    for arrival in arrivals:
        by_pair[arrival.incarnation, id(life_by_id[arrival.id])].append(arrival)
    found = []
    for (server, _), of_pair in by_pair.items():
        for asked in of_pair:
            begins = asked.ended_at + BACKOFF_START_DELAY_S
            ends = asked.ended_at + asked.retry_after_s
            came = [one.id for one in of_pair if begins < one.arrived_at < ends]
            if asked.retry_after_s and len(came) > MAX_BACKOFF_REQUESTS:
                entry = entry_by_id[asked.id]
                what = f"{server} asked {entry} for {asked.retry_after_s:g} s of rest"
                found.append(f"BUDGET: {what} beside {asked.id} and got {came}")
    return found


def find_untrue_answers(sent: Iterable[RequestRecord]) -> list[str]:
    """Find answers that are not their request's own, and promises that were broken."""
    return [
        f"UNTRUE: {fault} ({one})"
        for one in sent
        for fault in find_answer_violations(one.call, one.run_count)
    ]


def find_cut_connections(sent: Iterable[RequestRecord]) -> list[str]:
    """Find connections that ended without an answer though nothing had happened."""
    found = []
    for one in sent:
        ended_at = one.call.ended_at
        signals = (one.process_run.terminated_at, one.process_run.killed_at)
        if one.call.answer.is_complete or any(at and at <= ended_at for at in signals):
            continue
        broke_off = any(
            arrival.outcome is RequestOutcome.SERVER_ABORTED for arrival in one.arrivals
        )
        if not broke_off and not _is_timed_out(one):
            found.append(f"CUT: {one}")
    return found
