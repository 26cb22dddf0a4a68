"""Errors that calls to the platform return."""

from __future__ import annotations

from typing import NamedTuple


class Unavailable(NamedTuple):
    """The platform did not respond, or failed.

    ``sent`` is True if a write may have taken effect nevertheless, ``silent`` if the
    call timed out.
    """

    detail: str
    sent: bool
    silent: bool = False


class Conflict(NamedTuple):
    """The object is not at the version that the write requires.

    ``version`` is the current one, 0 if the object does not exist.
    """

    key: str
    version: int


class RateLimited(NamedTuple):
    """A rate limit was exceeded; nothing was written."""

    retry_after_s: float


class Rejected(NamedTuple):
    """The platform rejected the call, e.g. a value over 1 MB; retrying is useless."""

    status: int
    detail: str


class HistoryGone(NamedTuple):
    """The changes after ``revision`` are no longer available; list again."""

    revision: int


PlatformError = Unavailable | Conflict | RateLimited | Rejected
WatchError = PlatformError | HistoryGone
