"""The adapter for model engines: cancel, state, and resuming a stream.

A connection to an engine may go silent for good while new ones work. After
``silence_s`` without a byte the engine is asked on a new connection whether it still
runs the request; if so its stream is resumed there from the byte reached, else the
answer is lost. The request itself is sent once and never again.
"""

from __future__ import annotations

from time import monotonic
from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec
from expression import Error
from expression import Ok
from expression import Result

from kingcupwheel.agent.adapters.base import AdapterError
from kingcupwheel.agent.adapters.base import ServerAnswer
from kingcupwheel.agent.adapters.base import ServerDown
from kingcupwheel.agent.adapters.base import ServerLost
from kingcupwheel.agent.adapters.base import ServerState
from kingcupwheel.agent.adapters.calls import REQUEST_ID_HEADER
from kingcupwheel.agent.adapters.calls import Call
from kingcupwheel.agent.adapters.calls import Request
from kingcupwheel.agent.adapters.calls import Silent
from kingcupwheel.agent.adapters.calls import connect
from kingcupwheel.agent.adapters.calls import get
from kingcupwheel.agent.adapters.calls import request_of
from kingcupwheel.agent.adapters.calls import run_id
from kingcupwheel.agent.adapters.cancellation import Cancellation
from kingcupwheel.plugins.kernel import server_adapters


if TYPE_CHECKING:
    from collections.abc import Iterator

    from kingcupwheel.messages.runs import Dispatch
    from kingcupwheel.settings.schema import ServerSettings

LIFE_HEADER = "X-Engine-Life"
_STATE_PATH = "/engine/state"
_HTTP_OK = 200
# Lost connections in a row without one byte between them; then something cuts every
# connection and trying on would only load the engine.
_RESUMES_WITHOUT_PROGRESS = 5
_PAUSE_S = 0.2
# An engine that answers on no new connection either is stalled as a whole, not slow
# with one request. It is asked for this many times ``silence_s`` before the answer is
# called lost: one question alone may meet the same fault as the answer did. A question
# gets a share of ``silence_s``.
_PATIENCE = 2.0
_QUESTION_SHARE = 0.5


class EngineState(msgspec.Struct, frozen=True):
    """What ``GET /engine/state`` tells: ids that run, and tokens per second."""

    life: str
    running: tuple[str, ...]
    rate: float


class _NoAnswer(NamedTuple):
    """A question about a run went out and no answer came back."""


class _StillRuns(NamedTuple):
    """The engine runs the request and has nothing to send yet."""


_STATE_DECODER = msgspec.json.Decoder(EngineState)


class EngineAnswer:
    """An answer of an engine, over one connection after the other."""

    def __init__(
        self, adapter: EngineAdapter, call: Call, name: str, cancellation: Cancellation
    ) -> None:
        self._adapter = adapter
        self._call = call
        self._name = name
        self._cancellation = cancellation
        self._life = call.header(LIFE_HEADER)
        self._status = call.response.status
        self._headers = call.headers
        self._whole = False

    @property
    def status(self) -> int:
        """The HTTP status."""
        return self._status

    @property
    def headers(self) -> tuple[tuple[str, str], ...]:
        """The headers that a caller may see."""
        return self._headers

    def chunks(self) -> Iterator[Result[bytes, AdapterError]]:
        """Yield the body; an ``Error`` is the last item of an answer cut short."""
        offset = 0
        failures = 0
        while True:
            result = self._call.read()
            if result.is_ok():
                if not result.ok:
                    self._whole = True
                    return
                offset += len(result.ok)
                failures = 0
                yield Ok(result.ok)
                continue
            failures += not isinstance(result.error, Silent)
            resumed = self._resume(offset, failures)
            if resumed.is_error():
                yield Error(resumed.error)
                return

    def close(self) -> None:
        """Release the connection, cancelling what still runs."""
        self._call.close()
        if not self._whole:
            self._adapter.cancel(self._name)

    def _resume(self, offset: int, failures: int) -> Result[None, ServerLost]:
        self._call.close()
        if failures > _RESUMES_WITHOUT_PROGRESS:
            return Error(ServerLost("connections keep failing", died=False))
        resumed = self._adapter.resume(
            self._name, offset, self._life, self._cancellation
        )
        if resumed.is_error():
            return Error(resumed.error)
        self._call = resumed.ok
        return Ok(None)


@server_adapters.register("engine")
class EngineAdapter:
    """Passes a request on once and streams the answer back as it comes."""

    def __init__(self, server: ServerSettings) -> None:
        self._server = server
        self._life = ""

    def start(
        self, dispatch: Dispatch, cancellation: Cancellation
    ) -> Result[ServerAnswer, AdapterError]:
        """Send the request once; return when the answer's head is there."""
        life = self._life or self.state().life
        connected = connect(self._server, cancellation)
        if connected.is_error():
            return Error(connected.error)
        call = connected.ok
        name = run_id(dispatch)
        sent = call.send(request_of(dispatch), silence_s=self._server.silence_s)
        if sent.is_error():
            call.close()
            resumed = self.resume(name, 0, life, cancellation)
            if resumed.is_error():
                self.cancel(name)
                return Error(resumed.error)
            call = resumed.ok
        if call.header(REQUEST_ID_HEADER) != name:
            call.close()
            self.cancel(name)
            return Error(ServerLost("answer of another request", died=False))
        return Ok(EngineAnswer(self, call, name, cancellation))

    def state(self) -> ServerState:
        """Ask the engine for its state on a new connection."""
        asked = self._ask(Cancellation())
        if asked.is_error():
            return ServerState(up=False, life="", running=0, rate=0.0)
        state = asked.ok
        self._life = state.life
        return ServerState(True, state.life, len(state.running), state.rate)

    def cancel(self, name: str) -> None:
        """Have the engine stop the run called ``name``; best effort."""
        request = Request(
            "POST", f"/engine/cancel/{name}", {"Connection": "close"}, b""
        )
        connected = connect(self._server, Cancellation())
        if connected.is_ok():
            connected.ok.send(request, silence_s=self._server.connect_s)
            connected.ok.close()

    def resume(
        self, name: str, offset: int, life: str, cancellation: Cancellation
    ) -> Result[Call, ServerLost]:
        """Open the stream of a run anew at ``offset``, if the engine has it still.

        ``life`` is the engine's life that the run began in, empty if not known.
        """
        patience_s = self._server.silence_s * _PATIENCE
        give_up_at = monotonic() + patience_s
        while monotonic() < give_up_at:
            if cancellation.wait(_PAUSE_S):
                return Error(ServerLost("cancelled", died=False))
            resumed = self._try_resume(name, offset, life, cancellation)
            if resumed.is_ok():
                return Ok(resumed.ok)
            match resumed.error:
                case ServerLost() as lost:
                    return Error(lost)
                case _StillRuns():
                    give_up_at = monotonic() + patience_s
                case _NoAnswer():
                    pass
        return Error(ServerLost("server silent", died=False))

    def _try_resume(
        self, name: str, offset: int, life: str, cancellation: Cancellation
    ) -> Result[Call, ServerLost | _NoAnswer | _StillRuns]:
        asked = self._ask(cancellation)
        if asked.is_error():
            return Error(asked.error)
        if life and asked.ok.life != life:
            return Error(ServerLost("server restarted", died=True))
        opened = self._reopen(name, offset, cancellation)
        if opened.is_ok():
            return Ok(opened.ok)
        if isinstance(opened.error, _NoAnswer) and name in asked.ok.running:
            return Error(_StillRuns())
        return Error(opened.error)

    def _ask(
        self, cancellation: Cancellation
    ) -> Result[EngineState, ServerLost | _NoAnswer]:
        connected = connect(self._server, cancellation)
        if connected.is_error():
            return Error(_died_or_no_answer(connected.error))
        call = connected.ok
        try:
            silence_s = self._server.silence_s * _QUESTION_SHARE
            sent = call.send(get(_STATE_PATH), silence_s=silence_s)
            return Error(_NoAnswer()) if sent.is_error() else _read_state(call)
        finally:
            call.close()

    def _reopen(
        self, name: str, offset: int, cancellation: Cancellation
    ) -> Result[Call, ServerLost | _NoAnswer]:
        connected = connect(self._server, cancellation)
        if connected.is_error():
            return Error(_died_or_no_answer(connected.error))
        call = connected.ok
        request = get(f"/engine/resume/{name}?offset={offset}")
        sent = call.send(request, silence_s=self._server.silence_s)
        if sent.is_error():
            call.close()
            return Error(_NoAnswer())
        if call.header(REQUEST_ID_HEADER) != name:
            call.close()
            return Error(ServerLost("server no longer knows the request", died=False))
        return Ok(call)


def _read_state(call: Call) -> Result[EngineState, ServerLost | _NoAnswer]:
    body = b""
    while True:
        result = call.read()
        if result.is_error():
            return Error(_NoAnswer())
        if not result.ok:
            break
        body += result.ok
    if call.response.status != _HTTP_OK:
        return Error(_NoAnswer())
    try:
        return Ok(_STATE_DECODER.decode(body))
    except msgspec.DecodeError:
        return Error(_NoAnswer())


def _died_or_no_answer(down: ServerDown) -> ServerLost | _NoAnswer:
    return ServerLost(down.detail, died=True) if down.refused else _NoAnswer()
