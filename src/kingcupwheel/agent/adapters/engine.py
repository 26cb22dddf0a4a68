"""Adapter for model engines.

After ``silence_s`` without a byte the engine is queried on a new connection. If it
still runs the request, the stream is resumed there at the offset reached. If it does
not have a repeatable request whose answer has not begun, the request is sent again;
otherwise the answer is lost.
"""

from __future__ import annotations

import logging
from functools import partial
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result

from kingcupwheel.agent.adapters.base import AdapterError
from kingcupwheel.agent.adapters.base import AnswerLost
from kingcupwheel.agent.adapters.base import ServerAnswer
from kingcupwheel.agent.adapters.base import ServerState
from kingcupwheel.agent.adapters.cancellation import Cancellation
from kingcupwheel.agent.adapters.engine_client import EngineClient
from kingcupwheel.agent.adapters.handover import AnswerMissing
from kingcupwheel.agent.adapters.handover import Handover
from kingcupwheel.agent.adapters.handover import NextStep
from kingcupwheel.agent.adapters.handover import RunNotFound
from kingcupwheel.agent.adapters.request_sender import RequestSender
from kingcupwheel.agent.adapters.request_sender import ServerCheck
from kingcupwheel.agent.adapters.server_call import SilenceTimeout
from kingcupwheel.agent.adapters.server_requests import REQUEST_ID_HEADER
from kingcupwheel.agent.adapters.server_requests import build_run_id
from kingcupwheel.plugins.registries import server_adapters


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from kingcupwheel.agent.adapters.server_call import ServerCall
    from kingcupwheel.messages.attempts import Dispatch
    from kingcupwheel.settings.schema import ServerSettings

logger = logging.getLogger("kingcupwheel.agent")

INCARNATION_HEADER = "X-Engine-Life"
# Beyond this, every connection is being cut, and further retries would only load the
# engine.
_MAX_RESUMES_WITHOUT_PROGRESS = 5
# A request whose connection has failed may still lie unread at the engine. A second
# send before it is read would make the engine run it twice.
_NOT_FOUND_GRACE_S = 1.0
# One query may hit the same fault as the request did.
_CHECK_QUERY_COUNT = 3
_CHECK_RETRY_INTERVAL_S = 0.2


class EngineAnswer:
    """Answer of an engine, read over one or more successive connections."""

    def __init__(
        self,
        client: EngineClient,
        call: ServerCall,
        run_id: str,
        lost_run_ids: tuple[str, ...],
        cancellation: Cancellation,
    ) -> None:
        self._client = client
        self._call = call
        self._run_id = run_id
        self._lost_run_ids = lost_run_ids
        self._cancellation = cancellation
        self._incarnation = call.header(INCARNATION_HEADER)
        self._status = call.response.status
        self._headers = call.headers
        self._is_complete = False

    @property
    def status(self) -> int:
        """The HTTP status."""
        return self._status

    @property
    def headers(self) -> tuple[tuple[str, str], ...]:
        """The headers that are passed on to the caller."""
        return self._headers

    def chunks(self) -> Iterator[Result[bytes, AdapterError]]:
        """Yield the body; an ``Error`` is the last item of a truncated answer."""
        offset = 0
        failures = 0
        while True:
            result = self._call.read()
            if result.is_ok():
                if not result.ok:
                    self._is_complete = True
                    return
                offset += len(result.ok)
                failures = 0
                yield Ok(result.ok)
                continue
            failures += not isinstance(result.error, SilenceTimeout)
            resumed = self._resume(offset, failures)
            if resumed.is_error():
                yield Error(resumed.error)
                return

    def close(self) -> None:
        """Release the connection, and cancel the request if it still runs.

        A delayed copy of an earlier send may run by now, and nobody reads its answer.
        """
        self._call.close()
        for run_id in self._lost_run_ids:
            self._client.cancel(run_id)
        if not self._is_complete:
            self._client.cancel(self._run_id)

    def _resume(self, offset: int, failures: int) -> Result[None, AnswerLost]:
        self._call.close()
        if failures > _MAX_RESUMES_WITHOUT_PROGRESS:
            return Error(
                AnswerLost("connections keep failing", has_server_crashed=False)
            )
        resumed = self._client.resume(
            self._run_id, offset, self._incarnation, self._cancellation
        )
        if resumed.is_error():
            return Error(_build_answer_lost(resumed.error))
        self._call = resumed.ok
        return Ok(None)


@server_adapters.register("engine")
class EngineAdapter:
    """Adapter that resumes a stream if it breaks, and sends a lost request again."""

    def __init__(self, server: ServerSettings) -> None:
        self._server = server
        self._client = EngineClient(server)
        self._sender = RequestSender(server, holds_bodies=True)
        self._incarnation = ""

    def start(
        self,
        dispatch: Dispatch,
        cancellation: Cancellation,
        on_resend: Callable[[str], None],
    ) -> Result[ServerAnswer, AdapterError]:
        """Send the request; return when the answer's head has arrived."""
        handover = Handover(is_repeatable=dispatch.repeatable)
        lost_run_ids: list[str] = []
        while True:
            run_id = build_run_id(dispatch, number=len(lost_run_ids) + 1)
            sent = self._send_or_resume(
                dispatch, run_id, handover, cancellation, on_resend
            )
            if sent.is_ok():
                return self._open_answer(sent.ok, run_id, lost_run_ids, cancellation)
            if not isinstance(sent.error, RunNotFound):
                return Error(sent.error)
            step = handover.handle_failure(sent.error, is_over=cancellation.is_set())
            if step is not NextStep.SEND_AGAIN:
                return Error(AnswerLost(sent.error.reason, has_server_crashed=False))
            lost_run_ids.append(run_id)
            on_resend(sent.error.reason)

    def _send_or_resume(
        self,
        dispatch: Dispatch,
        run_id: str,
        handover: Handover,
        cancellation: Cancellation,
        on_resend: Callable[[str], None],
    ) -> Result[ServerCall, AdapterError | RunNotFound]:
        """Send the request; if its answer does not begin, look for its run."""
        incarnation = self._incarnation or self.state().incarnation
        sent = self._sender.send(
            dispatch,
            run_id,
            handover,
            cancellation,
            silence_s=self._server.silence_s,
            on_resend=on_resend,
            check_server=partial(self._check, incarnation, cancellation),
        )
        if sent.is_ok():
            return Ok(sent.ok)
        if not isinstance(sent.error, AnswerMissing):
            return Error(sent.error)
        resumed = self._client.resume(
            run_id,
            0,
            incarnation,
            cancellation,
            not_found_grace_s=_NOT_FOUND_GRACE_S,
        )
        if resumed.is_ok():
            return Ok(resumed.ok)
        failure = resumed.error
        logger.warning(
            "Run %s not resumed by engine %s: %s. %s",
            run_id,
            incarnation or "unknown",
            failure.reason if isinstance(failure, RunNotFound) else failure.detail,
            dispatch.request_id,
        )
        self._client.cancel(run_id)
        if isinstance(failure, RunNotFound) and not incarnation:
            # An engine that this request has crashed looks like one that never had it.
            return Error(AnswerLost(failure.reason, has_server_crashed=False))
        return Error(failure)

    def _check(self, incarnation: str, cancellation: Cancellation) -> ServerCheck:
        for _ in range(_CHECK_QUERY_COUNT):
            state = self._client.state(cancellation)
            if state is not None:
                is_same = incarnation in ("", state.incarnation)
                return ServerCheck.SAME if is_same else ServerCheck.RESTARTED
            cancellation.wait(_CHECK_RETRY_INTERVAL_S)
        return ServerCheck.SILENT

    def _open_answer(
        self,
        call: ServerCall,
        run_id: str,
        lost_run_ids: list[str],
        cancellation: Cancellation,
    ) -> Result[ServerAnswer, AdapterError]:
        if call.header(REQUEST_ID_HEADER) != run_id:
            call.close()
            self._client.cancel(run_id)
            return Error(
                AnswerLost("answer of another request", has_server_crashed=False)
            )
        return Ok(
            EngineAnswer(self._client, call, run_id, tuple(lost_run_ids), cancellation)
        )

    def state(self) -> ServerState:
        """Query the engine's state on a new connection."""
        state = self._client.state(Cancellation())
        if state is None:
            return ServerState(
                is_up=False, incarnation="", running_count=0, tokens_per_s=0.0
            )
        self._incarnation = state.incarnation
        return ServerState(True, state.incarnation, len(state.running), state.rate)


def _build_answer_lost(failure: AnswerLost | RunNotFound) -> AnswerLost:
    if isinstance(failure, AnswerLost):
        return failure
    return AnswerLost("server no longer knows the request", has_server_crashed=False)
