"""Whether a request may run, by what is known of crashes of its servers. Pure."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Iterable


class NotSuspected(NamedTuple):
    """The request is not a suspect."""


class Suspect(NamedTuple):
    """The request may run apart from other suspects, and only on one server.

    If it runs for ``probation_s`` it is unlikely to crash this server.
    """

    crash_count: int
    probation_s: float


class Held(NamedTuple):
    """Another run of the suspect is in progress, for ``remaining_s`` at the longest."""

    crash_count: int
    remaining_s: float


class Quarantined(NamedTuple):
    """The request is refused for ``remaining_s``, since it crashed servers."""

    crash_count: int
    remaining_s: float


SuspicionStatus = NotSuspected | Suspect | Held | Quarantined


def choose_strictest(statuses: Iterable[SuspicionStatus]) -> SuspicionStatus:
    """Return the status of a request from those of its keys."""
    return max(statuses, key=_strictness)


def _strictness(status: SuspicionStatus) -> tuple[int, float]:
    match status:
        case NotSuspected():
            return (0, 0.0)
        case Suspect(_, probation_s):
            return (1, probation_s)
        case Held(_, remaining_s):
            return (2, remaining_s)
        case Quarantined(_, remaining_s):
            return (3, remaining_s)
