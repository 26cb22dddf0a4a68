"""Client for an engine's state, resume and cancel endpoints.

A connection to an engine may hang forever while new ones work, so each call uses a new
connection.
"""

from __future__ import annotations

from time import monotonic
from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec
from expression import Error
from expression import Ok
from expression import Result

from kingcupwheel.agent.adapters.base import AnswerLost
from kingcupwheel.agent.adapters.base import ServerUnreachable
from kingcupwheel.agent.adapters.cancellation import Cancellation
from kingcupwheel.agent.adapters.handover import RunNotFound
from kingcupwheel.agent.adapters.server_call import ServerCall
from kingcupwheel.agent.adapters.server_call import connect
from kingcupwheel.agent.adapters.server_requests import REQUEST_ID_HEADER
from kingcupwheel.agent.adapters.server_requests import ServerRequest
from kingcupwheel.agent.adapters.server_requests import build_get_request


if TYPE_CHECKING:
    from kingcupwheel.settings.schema import ServerSettings

_STATE_PATH = "/engine/state"
_HTTP_OK = 200
_RETRY_INTERVAL_S = 0.2
# An engine that replies on no new connection either is stalled as a whole, not slow
# with one request. It is queried for this many times ``silence_s`` before the answer is
# declared lost, because a single query may hit the same fault as the answer did. Each
# query's timeout is a share of ``silence_s``.
_GIVE_UP_SILENCES = 2.0
_QUERY_TIMEOUT_SHARE = 0.5
_NOT_FOUND_STATUS = 404
# Ids of ten thousand running requests.
_MAX_STATE_BYTES = 1_000_000


class EngineState(msgspec.Struct, frozen=True):
    """Body of ``GET /engine/state``.

    ``incarnation`` is the engine's, ``running`` the ids of the running requests
    and ``rate`` the tokens per second.
    """

    incarnation: str = msgspec.field(name="life")
    running: tuple[str, ...]
    rate: float


class _NoReply(NamedTuple):
    """A query was sent and no reply was received."""


class _StillRunning(NamedTuple):
    """The engine still runs the request and has nothing to send yet."""


_STATE_DECODER = msgspec.json.Decoder(EngineState)


class EngineClient:
    """Client of one engine; safe from any thread."""

    def __init__(self, server: ServerSettings) -> None:
        self._server = server

    def state(self, cancellation: Cancellation) -> EngineState | None:
        """Return the engine's state, or None if it did not reply."""
        queried = self._query_state(cancellation)
        return queried.ok if queried.is_ok() else None

    def cancel(self, run_id: str) -> None:
        """Cancel the run on the engine; best effort."""
        request = ServerRequest(
            "POST", f"/engine/cancel/{run_id}", {"Connection": "close"}, b""
        )
        connected = connect(self._server, Cancellation())
        if connected.is_ok():
            connected.ok.send(request, silence_s=self._server.connect_s)
            connected.ok.close()

    def resume(
        self,
        run_id: str,
        offset: int,
        incarnation: str,
        cancellation: Cancellation,
        *,
        not_found_grace_s: float = 0.0,
    ) -> Result[ServerCall, AnswerLost | RunNotFound]:
        """Reopen the stream of a run at ``offset``, if the engine has it.

        ``incarnation`` is the engine incarnation that started the run, empty if
        unknown. The run is not found if the engine has not had it for
        ``not_found_grace_s``.
        """
        give_up_s = self._server.silence_s * _GIVE_UP_SILENCES
        deadline = monotonic() + give_up_s
        not_found_since: float | None = None
        while monotonic() < deadline:
            if cancellation.wait(_RETRY_INTERVAL_S):
                return Error(AnswerLost("cancelled", has_server_crashed=False))
            resumed = self._try_resume(run_id, offset, incarnation, cancellation)
            if resumed.is_ok():
                return Ok(resumed.ok)
            match resumed.error:
                case AnswerLost() as lost:
                    return Error(lost)
                case RunNotFound() as not_found:
                    not_found_since = not_found_since or monotonic()
                    if monotonic() - not_found_since >= not_found_grace_s:
                        return Error(not_found)
                    deadline = monotonic() + give_up_s
                case _StillRunning():
                    deadline = monotonic() + give_up_s
                case _NoReply():
                    pass
        return Error(AnswerLost("server silent", has_server_crashed=False))

    def _try_resume(
        self, run_id: str, offset: int, incarnation: str, cancellation: Cancellation
    ) -> Result[ServerCall, AnswerLost | RunNotFound | _NoReply | _StillRunning]:
        queried = self._query_state(cancellation)
        if queried.is_error():
            return Error(queried.error)
        if incarnation and queried.ok.incarnation != incarnation:
            return Error(AnswerLost("server restarted", has_server_crashed=True))
        opened = self._open_stream(run_id, offset, cancellation)
        if opened.is_ok():
            return Ok(opened.ok)
        if isinstance(opened.error, _NoReply) and run_id in queried.ok.running:
            return Error(_StillRunning())
        return Error(opened.error)

    def _query_state(
        self, cancellation: Cancellation
    ) -> Result[EngineState, AnswerLost | _NoReply]:
        connected = connect(self._server, cancellation)
        if connected.is_error():
            return Error(_classify_connect_failure(connected.error))
        call = connected.ok
        try:
            silence_s = self._server.silence_s * _QUERY_TIMEOUT_SHARE
            sent = call.send(build_get_request(_STATE_PATH), silence_s=silence_s)
            return Error(_NoReply()) if sent.is_error() else _read_state(call)
        finally:
            call.close()

    def _open_stream(
        self, run_id: str, offset: int, cancellation: Cancellation
    ) -> Result[ServerCall, AnswerLost | RunNotFound | _NoReply]:
        connected = connect(self._server, cancellation)
        if connected.is_error():
            return Error(_classify_connect_failure(connected.error))
        call = connected.ok
        request = build_get_request(f"/engine/resume/{run_id}?offset={offset}")
        sent = call.send(request, silence_s=self._server.silence_s)
        if sent.is_error():
            call.close()
            return Error(_NoReply())
        if call.header(REQUEST_ID_HEADER) == run_id:
            return Ok(call)
        call.close()
        if call.response.status == _NOT_FOUND_STATUS:
            return Error(RunNotFound("server does not have the request"))
        return Error(AnswerLost("answer of another request", has_server_crashed=False))


def _read_state(call: ServerCall) -> Result[EngineState, AnswerLost | _NoReply]:
    body = call.read_all(_MAX_STATE_BYTES)
    if body.is_error() or call.response.status != _HTTP_OK:
        return Error(_NoReply())
    try:
        return Ok(_STATE_DECODER.decode(body.ok))
    except msgspec.DecodeError:
        return Error(_NoReply())


def _classify_connect_failure(failure: ServerUnreachable) -> AnswerLost | _NoReply:
    return (
        AnswerLost(failure.detail, has_server_crashed=True)
        if failure.is_connection_refused
        else _NoReply()
    )
