"""Runs of requests that ended with their servers. Pure."""

from __future__ import annotations

from typing import NamedTuple

from kingcupwheel.decisions.hashing import stable_hash


# Servers that lose power together are not seen to end at exactly the same time. A run
# that began so soon after another server's end may have been hit by the same event.
CORRELATED_CRASH_S = 0.5


class ServerIncarnation(NamedTuple):
    """One incarnation of a backend server: its name and its agent's incarnation id.

    Every process has to identify the same crash alike.
    """

    server: str
    incarnation: str

    @property
    def crash_id(self) -> int:
        """Id of the crash that ended this incarnation, as sent between processes."""
        return stable_hash(self.server, self.incarnation)


class CrashedRun(NamedTuple):
    """A run of a request that ended with its server; times are monotonic.

    The run began at ``started_at`` or later, and the server had ended by ``ended_at``.
    ``is_trial`` tells that all other runs of the suspect were held meanwhile.
    """

    crash_id: int
    started_at: float
    ended_at: float
    is_trial: bool = False


def earliest_start(sent_at: float, *, is_suspect: bool) -> float:
    """Return the start of a run for the comparison with the ends of other servers.

    A suspect's run began in knowledge of an earlier crash. Any other one may have been
    sent before a common cause had ended all the servers that it hit.
    """
    return sent_at if is_suspect else sent_at - CORRELATED_CRASH_S


def merge_runs(one: CrashedRun, other: CrashedRun) -> CrashedRun:
    """Return what two runs of a request that ended with the same server prove."""
    started_at = max(one.started_at, other.started_at)
    ended_at = max(started_at, min(one.ended_at, other.ended_at))
    is_trial = one.is_trial or other.is_trial
    return CrashedRun(one.crash_id, started_at, ended_at, is_trial)


def separate_runs(runs: list[CrashedRun]) -> list[CrashedRun]:
    """Return runs whose crashes can't have had a cause in common, as many as possible.

    ``runs`` are sorted by ``ended_at``. Each of those returned began after the server
    of the one before had ended. Servers that lose power together count once, however
    many runs of a popular request they end.
    """
    found: list[CrashedRun] = []
    for run in runs:
        if not found or run.started_at > found[-1].ended_at:
            found.append(run)
    return found
