"""Attempt keys and the decisions of the attempt table."""

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
    """Key of one attempt to run a request."""

    request_id: str
    attempt: int


class StartDecision(NamedTuple):
    """The attempt starts now."""

    dispatch: Dispatch

    @property
    def key(self) -> AttemptKey:
        """The key of the attempt to start."""
        return get_attempt_key(self.dispatch)


class QueueDecision(NamedTuple):
    """The attempt is accepted and queued behind ``ahead_count`` others."""

    ahead_count: int


class JoinDecision(NamedTuple):
    """Nothing is started: the attempt joins ``key``, which was accepted before."""

    key: AttemptKey


class RefusalDecision(NamedTuple):
    """The attempt never started and never will."""

    key: AttemptKey
    reason: DispatchRefusal


class ForgottenDecision(NamedTuple):
    """The attempt is older than the history: whether it ran is unknown."""

    key: AttemptKey


DispatchDecision = (
    StartDecision | QueueDecision | JoinDecision | RefusalDecision | ForgottenDecision
)


class StopDecision(NamedTuple):
    """The attempt is running and its work must be stopped."""

    key: AttemptKey


class IgnoreDecision(NamedTuple):
    """There is nothing to stop."""


CancelDecision = StopDecision | RefusalDecision | IgnoreDecision


def get_attempt_key(dispatch: Dispatch) -> AttemptKey:
    """Return the key of the dispatched attempt."""
    return AttemptKey(dispatch.request_id, dispatch.attempt)


def is_valid_http_request(dispatch: Dispatch) -> bool:
    """Return whether the request's method, path and headers are valid HTTP.

    Checked before anything is sent, so that the refusal can report ``not-run``.
    """
    return bool(
        _HTTP_TOKEN.fullmatch(dispatch.method)
        and _REQUEST_TARGET.fullmatch(dispatch.path)
        and all(
            _HTTP_TOKEN.fullmatch(name) and _HEADER_VALUE.fullmatch(value)
            for name, value in dispatch.headers
        )
    )
