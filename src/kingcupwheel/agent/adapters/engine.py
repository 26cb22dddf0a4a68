"""Adapter for model engines.

After ``silence_s`` without a byte the engine is queried on a new connection. If it
still runs the request, the stream is resumed there at the offset reached; otherwise the
answer is lost. The request itself is sent only once.
"""

from __future__ import annotations

import logging
from time import monotonic
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
from kingcupwheel.agent.adapters.server_call import ServerCall
from kingcupwheel.agent.adapters.server_call import SilenceTimeout
from kingcupwheel.agent.adapters.server_call import connect
from kingcupwheel.agent.adapters.server_requests import REQUEST_ID_HEADER
from kingcupwheel.agent.adapters.server_requests import build_run_id
from kingcupwheel.agent.adapters.server_requests import build_server_request
from kingcupwheel.plugins.registries import server_adapters


if TYPE_CHECKING:
    from collections.abc import Iterator

    from kingcupwheel.messages.attempts import Dispatch
    from kingcupwheel.settings.schema import ServerSettings

logger = logging.getLogger("kingcupwheel.agent")

INCARNATION_HEADER = "X-Engine-Life"
# Beyond this, every connection is being cut, and further retries would only load the
# engine.
_MAX_RESUMES_WITHOUT_PROGRESS = 5


class EngineAnswer:
    """Answer of an engine, read over one or more successive connections."""

    def __init__(
        self,
        client: EngineClient,
        call: ServerCall,
        run_id: str,
        cancellation: Cancellation,
    ) -> None:
        self._client = client
        self._call = call
        self._run_id = run_id
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
        """Release the connection, and cancel the request if it still runs."""
        self._call.close()
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
            return Error(resumed.error)
        self._call = resumed.ok
        return Ok(None)


@server_adapters.register("engine")
class EngineAdapter:
    """Adapter that sends a request once and resumes its stream if it breaks."""

    def __init__(self, server: ServerSettings) -> None:
        self._server = server
        self._client = EngineClient(server)
        self._incarnation = ""

    def start(
        self, dispatch: Dispatch, cancellation: Cancellation
    ) -> Result[ServerAnswer, AdapterError]:
        """Send the request once; return when the answer's head has arrived."""
        incarnation = self._incarnation or self.state().incarnation
        connected = connect(self._server, cancellation)
        if connected.is_error():
            return Error(connected.error)
        call = connected.ok
        run_id = build_run_id(dispatch)
        connected_at = monotonic()
        sent = call.send(
            build_server_request(dispatch), silence_s=self._server.silence_s
        )
        if sent.is_error():
            call.close()
            logger.warning(
                "No answer began %.3f s after the connection to engine %s: %s. %s",
                monotonic() - connected_at,
                incarnation or "unknown",
                _describe_failure(sent.error),
                dispatch.request_id,
            )
            resumed = self._client.resume(run_id, 0, incarnation, cancellation)
            if resumed.is_error():
                logger.warning(
                    "No answer to resume %.3f s after the connection: %s. %s",
                    monotonic() - connected_at,
                    resumed.error.detail,
                    dispatch.request_id,
                )
                self._client.cancel(run_id)
                return Error(resumed.error)
            call = resumed.ok
        if call.header(REQUEST_ID_HEADER) != run_id:
            call.close()
            self._client.cancel(run_id)
            return Error(
                AnswerLost("answer of another request", has_server_crashed=False)
            )
        return Ok(EngineAnswer(self._client, call, run_id, cancellation))

    def state(self) -> ServerState:
        """Query the engine's state on a new connection."""
        state = self._client.state(Cancellation())
        if state is None:
            return ServerState(
                is_up=False, incarnation="", running_count=0, tokens_per_s=0.0
            )
        self._incarnation = state.incarnation
        return ServerState(True, state.incarnation, len(state.running), state.rate)


def _describe_failure(failure: AnswerLost | SilenceTimeout) -> str:
    return failure.detail if isinstance(failure, AnswerLost) else "server silent"
