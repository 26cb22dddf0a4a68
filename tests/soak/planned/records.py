"""What a soak of planned work has recorded, joined: calls, arrivals and processes."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from tests.soak.planned.callers import KeepAliveCall
    from tests.soak.planned.servers import ServerRequest
    from tests.soak.processes import ProcessRun


class RequestRecord(NamedTuple):
    """A call, the life of the entry's process that took it, and where it arrived."""

    call: KeepAliveCall
    process_run: ProcessRun
    arrivals: tuple[ServerRequest, ...]

    @property
    def run_count(self) -> int:
        """How often servers began to work on it."""
        return sum(one.ran for one in self.arrivals)

    @property
    def sent_after_sigterm_s(self) -> float:
        """How long after SIGTERM it was sent; negative before, or without one."""
        if self.process_run.terminated_at is None:
            return float("-inf")
        return self.call.sent_at - self.process_run.terminated_at

    @property
    def was_killed(self) -> bool:
        """Whether its process was killed as a fault before the call ended."""
        killed_at = self.process_run.killed_at
        return killed_at is not None and killed_at <= self.call.ended_at

    def __str__(self) -> str:
        """Return its story, in seconds since it was sent."""
        call = self.call
        told = [f"{call.id} ({call.route}, {call.entry})"]
        if self.process_run.terminated_at is not None:
            told.append(f"sent {self.sent_after_sigterm_s:.3f} s after SIGTERM")
        for one in self.arrivals:
            reached = (
                f"reached {one.incarnation} at {one.arrived_at - call.sent_at:.3f} s"
            )
            ended = f"{one.outcome.value} at {one.ended_at - call.sent_at:.3f} s"
            told.append(f"{reached}, {ended}")
        how = (
            "whole" if call.answer.is_complete else "reset" if call.was_reset else "cut"
        )
        ended_s = call.ended_at - call.sent_at
        told.append(f"got {call.answer.status} {how} at {ended_s:.3f} s")
        return ", ".join(told)


def join_records(
    calls: Iterable[KeepAliveCall],
    arrivals: Iterable[ServerRequest],
    lives_by_entry: Mapping[str, Sequence[ProcessRun]],
) -> tuple[RequestRecord, ...]:
    """Return every call with all that is known of it, in the order of sending.

    An entry's address belongs to one process at a time, so the connection's time tells
    which one took the call.
    """
    arrivals_by_id: dict[str, list[ServerRequest]] = defaultdict(list)
    for arrival in arrivals:
        arrivals_by_id[arrival.id].append(arrival)
    found = []
    for call in sorted(calls, key=lambda one: one.sent_at):
        lives = lives_by_entry[call.entry]
        started = [one for one in lives if one.started_at < call.connected_at]
        found.append(RequestRecord(call, started[-1], tuple(arrivals_by_id[call.id])))
    return tuple(found)
