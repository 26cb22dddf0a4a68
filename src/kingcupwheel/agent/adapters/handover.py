"""Decides what follows when a request could not be handed over to its server.

It uses no sockets and reads no clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True, slots=True)
class RequestIncomplete:
    """The connection failed before the server had the whole request.

    ``proves_not_run`` is True if no byte of it was sent, or if its body was held back
    from a server that is known to wait for bodies. ``is_begun`` is True if its headers
    may have arrived, ``is_silent`` if the connection stayed open without a byte.
    """

    reason: str
    proves_not_run: bool
    is_begun: bool = True
    is_silent: bool = False


@dataclass(frozen=True, slots=True)
class AnswerMissing:
    """The request was sent and its answer did not begin.

    ``is_silent`` is True if the connection stayed open without a byte.
    """

    reason: str
    is_silent: bool


@dataclass(frozen=True, slots=True)
class RunNotFound:
    """The server, still in the same incarnation, has no run of the request.

    It may receive a delayed copy later, and run it then.
    """

    reason: str


HandoverFailure = RequestIncomplete | AnswerMissing | RunNotFound


class NextStep(Enum):
    """What to do after a failure."""

    SEND_AGAIN = "send again"
    QUERY_SERVER = "query the server"
    REFUSE = "refuse as not run"
    GIVE_UP = "give up as unknown"


# A request that was lost this often is more likely the cause than a victim of failing
# connections, and each of its copies may still run.
MAX_SENDS_THAT_MAY_RUN = 3


class Handover:
    """The failures of one attempt's hand-over so far; not thread-safe."""

    def __init__(self, *, is_repeatable: bool) -> None:
        self._is_repeatable = is_repeatable
        self._lost_count = 0
        self._may_have_run = False
        self._has_begun = False

    @property
    def has_begun(self) -> bool:
        """Whether a part of the request may have reached the server, and crashed it."""
        return self._has_begun

    @property
    def may_have_run(self) -> bool:
        """Whether the server may have run the request, or may run it later."""
        return self._may_have_run

    def handle_failure(self, failure: HandoverFailure, *, is_over: bool) -> NextStep:
        """Return what follows; ``is_over`` if there is no time for another send.

        A request that may run only once is sent again only while nothing that was sent
        can run. A repeatable one is also sent again if the server does not have it: its
        connection was lost, while the server is up and answers.
        """
        self._has_begun |= not isinstance(failure, RequestIncomplete)
        match failure:
            case RequestIncomplete(proves_not_run=proves_not_run, is_begun=is_begun):
                self._has_begun |= is_begun
                self._may_have_run |= not proves_not_run
                return self._handle_incomplete(is_over)
            case AnswerMissing():
                self._may_have_run = True
                return NextStep.QUERY_SERVER
            case RunNotFound():
                self._may_have_run = True
                self._lost_count += 1
                may_send = self._is_repeatable and not is_over
                if may_send and self._lost_count < MAX_SENDS_THAT_MAY_RUN:
                    return NextStep.SEND_AGAIN
                return NextStep.GIVE_UP

    def _handle_incomplete(self, is_over: bool) -> NextStep:
        if is_over:
            return NextStep.QUERY_SERVER if self._may_have_run else NextStep.REFUSE
        if self._is_repeatable or not self._may_have_run:
            return NextStep.SEND_AGAIN
        return NextStep.QUERY_SERVER


def describe_failure(failure: RequestIncomplete | AnswerMissing) -> str:
    """Return the failure in words, for logs and traces."""
    match failure:
        case RequestIncomplete(reason, proves_not_run=True):
            return f"{reason}, before the request was sent"
        case RequestIncomplete(reason):
            return f"{reason}, while the body was held back"
        case AnswerMissing(reason):
            return f"{reason}, after the whole request was sent"
