"""What a call to the platform's service can come to, short of success."""

from __future__ import annotations

from typing import NamedTuple


class Unavailable(NamedTuple):
    """The platform did not answer.

    ``sent`` is True if a write may have taken effect all the same, ``silent`` if
    nothing came within the call's time.
    """

    detail: str
    sent: bool
    silent: bool = False


class Conflict(NamedTuple):
    """The object is not at the version that the write asked for.

    ``version`` is the one found, 0 if the object does not exist.
    """

    key: str
    version: int


class RateLimited(NamedTuple):
    """The platform asks for fewer calls; nothing was written."""

    retry_after_s: float


class Rejected(NamedTuple):
    """The platform refuses the call for good, such as a value over 1 MB."""

    status: int
    detail: str


class HistoryGone(NamedTuple):
    """What happened after ``revision`` is no longer known; list again."""

    revision: int


PlatformError = Unavailable | Conflict | RateLimited | Rejected
WatchError = PlatformError | HistoryGone
