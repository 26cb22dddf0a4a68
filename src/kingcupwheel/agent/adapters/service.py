"""Adapter for plain HTTP services, which can't resume an answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result

from kingcupwheel.agent.adapters.base import AdapterError
from kingcupwheel.agent.adapters.base import AnswerLost
from kingcupwheel.agent.adapters.base import ServerAnswer
from kingcupwheel.agent.adapters.base import ServerState
from kingcupwheel.agent.adapters.cancellation import Cancellation
from kingcupwheel.agent.adapters.handover import AnswerMissing
from kingcupwheel.agent.adapters.handover import Handover
from kingcupwheel.agent.adapters.request_sender import RequestSender
from kingcupwheel.agent.adapters.server_call import SilenceTimeout
from kingcupwheel.agent.adapters.server_call import connect
from kingcupwheel.agent.adapters.server_requests import REQUEST_ID_HEADER
from kingcupwheel.agent.adapters.server_requests import build_run_id
from kingcupwheel.plugins.registries import server_adapters


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from kingcupwheel.agent.adapters.server_call import ServerCall
    from kingcupwheel.messages.attempts import Dispatch
    from kingcupwheel.settings.schema import ServerSettings

# A plain service can't be queried for a running request, so a slow answer and a dead
# connection look alike. After this many times the server's ``silence_s`` without a byte
# the outcome is reported as unknown; without a bound the request would occupy the
# server's capacity forever.
_GIVE_UP_SILENCES = 6


class ServiceAnswer:
    """Answer of a plain service."""

    def __init__(self, call: ServerCall, adapter: ServiceAdapter) -> None:
        self._call = call
        self._adapter = adapter

    @property
    def status(self) -> int:
        """The HTTP status."""
        return self._call.response.status

    @property
    def headers(self) -> tuple[tuple[str, str], ...]:
        """The headers that are passed on to the caller."""
        return self._call.headers

    def chunks(self) -> Iterator[Result[bytes, AdapterError]]:
        """Yield the body; an ``Error`` is the last item of a truncated answer."""
        while True:
            result = self._call.read()
            if result.is_error():
                yield Error(self._adapter.build_answer_lost(result.error))
                return
            if not result.ok:
                return
            yield Ok(result.ok)

    def close(self) -> None:
        """Release the connection."""
        self._call.close()


@server_adapters.register("service")
class ServiceAdapter:
    """Adapter that sends a request until the service has its body."""

    def __init__(self, server: ServerSettings) -> None:
        self._server = server
        self._sender = RequestSender(server, holds_bodies=False)

    def start(
        self,
        dispatch: Dispatch,
        cancellation: Cancellation,
        on_resend: Callable[[str], None],
    ) -> Result[ServerAnswer, AdapterError]:
        """Send the request; return when the answer's head has arrived."""
        run_id = build_run_id(dispatch)
        sent = self._sender.send(
            dispatch,
            run_id,
            Handover(is_repeatable=dispatch.repeatable),
            cancellation,
            silence_s=self._server.silence_s * _GIVE_UP_SILENCES,
            on_resend=on_resend,
        )
        if sent.is_error():
            match sent.error:
                case AnswerMissing(is_silent=True):
                    return Error(self.build_answer_lost(SilenceTimeout()))
                case AnswerMissing(reason):
                    lost = AnswerLost(reason, has_server_crashed=False)
                    return Error(self.build_answer_lost(lost))
                case error:
                    return Error(error)
        call = sent.ok
        if call.header(REQUEST_ID_HEADER) not in ("", run_id):
            call.close()
            return Error(
                AnswerLost("answer of another request", has_server_crashed=False)
            )
        return Ok(ServiceAnswer(call, self))

    def state(self) -> ServerState:
        """Return whether the service accepts connections; it reports nothing else."""
        connected = connect(self._server, Cancellation())
        if connected.is_error():
            return ServerState(
                is_up=False, incarnation="", running_count=0, tokens_per_s=0.0
            )
        connected.ok.close()
        return ServerState(
            is_up=True, incarnation="", running_count=0, tokens_per_s=0.0
        )

    def build_answer_lost(self, error: AnswerLost | SilenceTimeout) -> AnswerLost:
        """Return why the answer was lost, and whether the service crashed."""
        if isinstance(error, SilenceTimeout):
            return AnswerLost("server silent", has_server_crashed=False)
        connected = connect(self._server, Cancellation())
        if connected.is_error():
            return error._replace(
                has_server_crashed=connected.error.is_connection_refused
            )
        connected.ok.close()
        return error
