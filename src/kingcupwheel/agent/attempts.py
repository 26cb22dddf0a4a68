"""Names of attempts and what the table of runs decides about them."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from kingcupwheel.messages.attempts import Dispatch
    from kingcupwheel.messages.attempts import DispatchRefusal


_HTTP_TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_REQUEST_TARGET = re.compile(r"/[!-~]*")
_HEADER_VALUE = re.compile(r"[\t\x20-\x7e\x80-\xff]*")


class AttemptKey(NamedTuple):
    """Names one attempt to run a request."""

    request_id: str
    attempt: int


class StartDecision(NamedTuple):
    """Run it now."""

    dispatch: Dispatch

    @property
    def key(self) -> AttemptKey:
        """The attempt to run."""
        return get_attempt_key(self.dispatch)


class QueueDecision(NamedTuple):
    """Accepted; it waits for a place, ``ahead`` others are before it."""

    ahead_count: int


class JoinDecision(NamedTuple):
    """Nothing runs: the attempt ``key`` was accepted before and has its answer."""

    key: AttemptKey


class RefusalDecision(NamedTuple):
    """It never started and never will."""

    key: AttemptKey
    reason: DispatchRefusal


class ForgottenDecision(NamedTuple):
    """So old that it may have run and been forgotten; only ``unknown`` is honest."""

    key: AttemptKey


DispatchDecision = (
    StartDecision | QueueDecision | JoinDecision | RefusalDecision | ForgottenDecision
)


class StopDecision(NamedTuple):
    """The attempt runs; its work is to be stopped."""

    key: AttemptKey


class IgnoreDecision(NamedTuple):
    """There is nothing left to stop."""


CancelDecision = StopDecision | RefusalDecision | IgnoreDecision


def get_attempt_key(dispatch: Dispatch) -> AttemptKey:
    """Return the name of the attempt that ``dispatch`` asks for."""
    return AttemptKey(dispatch.request_id, dispatch.attempt)


def is_valid_http_request(dispatch: Dispatch) -> bool:
    """Return whether the request's method, path and headers are valid HTTP.

    Found out before anything is sent, so that the refusal can say ``not-run``.
    """
    return bool(
        _HTTP_TOKEN.fullmatch(dispatch.method)
        and _REQUEST_TARGET.fullmatch(dispatch.path)
        and all(
            _HTTP_TOKEN.fullmatch(name) and _HEADER_VALUE.fullmatch(value)
            for name, value in dispatch.headers
        )
    )
