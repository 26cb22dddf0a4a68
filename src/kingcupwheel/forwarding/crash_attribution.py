"""Attributes the ends of servers to the requests whose answers were lost. Pure."""

from __future__ import annotations

from collections import OrderedDict
from collections import deque
from typing import NamedTuple

from kingcupwheel.decisions.crashed_runs import CrashedRun
from kingcupwheel.decisions.crashed_runs import ServerIncarnation
from kingcupwheel.decisions.crashed_runs import earliest_start


# Time after a lost answer within which the end of its server is attributed to the
# request. A platform lists a dead server until it has missed three heartbeats.
CRASH_DETECTION_S = 8.0
# A server whose end is confirmed so soon after it closed the connection had ended then.
# Later, another cause may have ended it in between.
CLOSE_CONFIRMATION_S = 1.0
# A server that leaves in order serves for at least 2 s after it has announced that. An
# end before is a crash.
MIN_LEAVING_S = 1.5
_MAX_LOST_RUNS = 512
_MAX_INCARNATIONS = 1_024


class LostRun(NamedTuple):
    """A run whose answer is lost; its request may have crashed the server.

    ``is_closed`` tells that the server's side closed the connection at ``lost_at``;
    otherwise the entry stopped waiting then. ``is_suspect`` tells that the request was
    a suspect when it was sent; other runs with ``trial_keys`` were held. Times are
    monotonic.
    """

    keys: tuple[str, ...]
    incarnation: str
    sent_at: float
    lost_at: float
    is_closed: bool
    is_suspect: bool
    trial_keys: frozenset[str] = frozenset()


class Attribution(NamedTuple):
    """A crashed run and a key of its request."""

    key: str
    run: CrashedRun


class CrashAttribution:
    """Matches lost runs with servers that ended, in any order; not thread-safe."""

    def __init__(self) -> None:
        self._lost_runs: deque[LostRun] = deque(maxlen=_MAX_LOST_RUNS)
        self._ended_at: OrderedDict[str, float] = OrderedDict()
        self._leaving_since: OrderedDict[str, float] = OrderedDict()

    def has_ended(self, incarnation: str) -> bool:
        """Return whether a server is known to have ended."""
        return incarnation in self._ended_at

    def withdraw_lost_run(self, run: LostRun) -> None:
        """Forget a run whose server has turned out to be alive."""
        if run in self._lost_runs:
            self._lost_runs.remove(run)

    def record_lost_run(self, run: LostRun) -> list[Attribution]:
        """Record a lost run; return its attribution if its server has ended already.

        A server may have been removed while the entry still waited for its answer. If
        it closed the connection after its removal, it was alive then and has left.
        """
        ended_at = self._ended_at.get(run.incarnation)
        if ended_at is None:
            self._lost_runs.append(run)
            return []
        if run.is_closed and run.lost_at - ended_at > CLOSE_CONFIRMATION_S:
            return []
        return self._attribute(run, ended_at)

    def record_leaving(self, incarnation: str, now: float) -> None:
        """Record that a server has announced that it leaves."""
        if incarnation not in self._leaving_since:
            _remember(self._leaving_since, incarnation, now)

    def record_server_end(self, incarnation: str, now: float) -> list[Attribution]:
        """Record that a server has ended; return the runs that ended with it."""
        if incarnation in self._ended_at:
            return []
        _remember(self._ended_at, incarnation, now)
        matching = [run for run in self._lost_runs if run.incarnation == incarnation]
        for run in matching:
            self._lost_runs.remove(run)
        return [
            found
            for run in matching
            if now - run.lost_at < CRASH_DETECTION_S
            for found in self._attribute(run, now)
        ]

    def _attribute(self, run: LostRun, ended_at: float) -> list[Attribution]:
        leaving_since = self._leaving_since.get(run.incarnation)
        if leaving_since is not None and run.lost_at - leaving_since > MIN_LEAVING_S:
            return []
        crash_id = ServerIncarnation(run.incarnation, run.incarnation).crash_id
        started_at = earliest_start(run.sent_at, is_suspect=run.is_suspect)
        if run.is_closed and ended_at - run.lost_at <= CLOSE_CONFIRMATION_S:
            ended_at = run.lost_at
        elif not run.is_closed:
            # The server may have ended before the request was sent to it.
            started_at = min(started_at, ended_at - CRASH_DETECTION_S)
        ended_at = max(ended_at, started_at)
        return [
            Attribution(
                key, CrashedRun(crash_id, started_at, ended_at, key in run.trial_keys)
            )
            for key in run.keys
        ]


def _remember(
    time_by_incarnation: OrderedDict[str, float], incarnation: str, now: float
) -> None:
    time_by_incarnation[incarnation] = now
    while len(time_by_incarnation) > _MAX_INCARNATIONS:
        time_by_incarnation.popitem(last=False)
