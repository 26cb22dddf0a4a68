"""Sends requests to one backend server until it has the body or the answer is lost."""

from __future__ import annotations

import logging
from enum import Enum
from time import monotonic
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result

from kingcupwheel.agent.adapters.base import AnswerLost
from kingcupwheel.agent.adapters.base import ServerUnreachable
from kingcupwheel.agent.adapters.expectations import ContinueTracker
from kingcupwheel.agent.adapters.expectations import HoldTimeouts
from kingcupwheel.agent.adapters.handover import AnswerMissing
from kingcupwheel.agent.adapters.handover import NextStep
from kingcupwheel.agent.adapters.handover import describe_failure
from kingcupwheel.agent.adapters.server_call import connect
from kingcupwheel.agent.adapters.server_requests import build_server_request


if TYPE_CHECKING:
    from collections.abc import Callable

    from kingcupwheel.agent.adapters.cancellation import Cancellation
    from kingcupwheel.agent.adapters.handover import Handover
    from kingcupwheel.agent.adapters.handover import RequestIncomplete
    from kingcupwheel.agent.adapters.server_call import ServerCall
    from kingcupwheel.agent.adapters.server_requests import ServerRequest
    from kingcupwheel.messages.attempts import Dispatch
    from kingcupwheel.settings.schema import ServerSettings

logger = logging.getLogger("kingcupwheel.agent")

_RETRY_INTERVAL_S = 0.2
# A server that fails this many connections in a row, for this many times ``connect_s``,
# is not hit by a fault of single connections. The entry can then place the request on
# another server.
_MIN_SENDS = 5
_GIVE_UP_CONNECT_TIMEOUTS = 3.0


class ServerCheck(Enum):
    """Result of a query on a new connection."""

    SAME = "same incarnation"
    RESTARTED = "restarted"
    SILENT = "silent"


class RequestSender:
    """Sends requests to one server; safe from any thread.

    ``holds_bodies`` is for servers that never run a request whose body is incomplete.
    """

    def __init__(self, server: ServerSettings, *, holds_bodies: bool) -> None:
        self._server = server
        self._continue_tracker = ContinueTracker() if holds_bodies else None

    def send(
        self,
        dispatch: Dispatch,
        run_id: str,
        handover: Handover,
        cancellation: Cancellation,
        *,
        silence_s: float,
        on_resend: Callable[[str], None],
        check_server: Callable[[], ServerCheck] = lambda: ServerCheck.SAME,
    ) -> Result[ServerCall, ServerUnreachable | AnswerLost | AnswerMissing]:
        """Send the request until the server may have it; wait for the answer's head.

        ServerUnreachable means that the server has not run the request and never will.
        AnswerLost means that it may have and can't be reached, or that it crashed.
        ``check_server`` is called before another send if the server may have got a part
        of the request, which may have crashed it; then ``on_resend`` with the reason.
        """
        request = build_server_request(dispatch, run_id)
        deadline = monotonic() + self._server.connect_s * _GIVE_UP_CONNECT_TIMEOUTS
        send_count = 0
        while True:
            connected = connect(self._server, cancellation)
            if connected.is_error():
                return Error(_classify_connect_failure(connected.error, handover))
            call = connected.ok
            sent = self._hand_over(call, request, silence_s)
            if sent.is_ok():
                return Ok(call)
            call.close()
            failure = sent.error
            reason = describe_failure(failure)
            logger.warning("No answer began: %s. %s", reason, dispatch.request_id)
            send_count += 1
            is_late = send_count >= _MIN_SENDS and monotonic() >= deadline
            is_over = is_late or cancellation.is_set()
            match handover.handle_failure(failure, is_over=is_over):
                case NextStep.SEND_AGAIN:
                    cancellation.wait(_RETRY_INTERVAL_S)
                    if handover.has_begun:
                        lost = _find_server_failure(check_server(), failure, handover)
                        if lost is not None:
                            return Error(lost)
                    on_resend(reason)
                case NextStep.REFUSE:
                    return Error(ServerUnreachable(reason, is_connection_refused=False))
                case _:
                    return Error(_build_answer_missing(failure))

    def _hand_over(
        self, call: ServerCall, request: ServerRequest, silence_s: float
    ) -> Result[None, RequestIncomplete | AnswerMissing]:
        if self._continue_tracker is None:
            return call.hand_over(request, silence_s=silence_s)
        timeouts = HoldTimeouts(self._server.connect_s, silence_s)
        return call.hand_over_held(request, self._continue_tracker, timeouts)


def _find_server_failure(
    check: ServerCheck,
    failure: RequestIncomplete | AnswerMissing,
    handover: Handover,
) -> ServerUnreachable | AnswerLost | None:
    match check:
        case ServerCheck.RESTARTED:
            return AnswerLost("server restarted", has_server_crashed=True)
        case ServerCheck.SILENT if failure.is_silent and not handover.may_have_run:
            return ServerUnreachable("server silent", is_connection_refused=False)
        case _:
            return None


def _build_answer_missing(failure: RequestIncomplete | AnswerMissing) -> AnswerMissing:
    if isinstance(failure, AnswerMissing):
        return failure
    return AnswerMissing(failure.reason, is_silent=False)


def _classify_connect_failure(
    failure: ServerUnreachable, handover: Handover
) -> ServerUnreachable | AnswerLost:
    has_crashed = handover.has_begun and failure.is_connection_refused
    if handover.may_have_run or has_crashed:
        return AnswerLost(failure.detail, has_server_crashed=has_crashed)
    return failure
