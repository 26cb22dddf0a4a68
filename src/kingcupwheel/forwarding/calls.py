"""HTTP client that sends a request to one server and reads the answer."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from time import monotonic
from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.forwarding.answer_memory import AnswerMemory
from kingcupwheel.forwarding.exceptions import NotConnectedError
from kingcupwheel.forwarding.http_metadata import NO_NOTICE
from kingcupwheel.forwarding.server_answer import CONNECTION_ERRORS
from kingcupwheel.forwarding.server_answer import ServerAnswer
from kingcupwheel.platform.headers import read_response_headers
from kingcupwheel.utils.response_limits import describe_error
from kingcupwheel.utils.response_limits import find_exceeded_limit


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from kingcupwheel.forwarding.connection_pool import ConnectionPool
    from kingcupwheel.forwarding.http_metadata import ServerNotice
    from kingcupwheel.forwarding.liveness import LivenessTracker
    from kingcupwheel.forwarding.watchdog import WatchedRequest
    from kingcupwheel.utils.response_limits import ResponseLimit
    from kingcupwheel.utils.server_connection import ServerConnection

# Fallback only: the watchdog ends all waits at the request's deadline.
_SOCKET_TIMEOUT_MARGIN_S = 5.0


class OutgoingRequest(NamedTuple):
    """A request as sent to a server, which echoes ``attempt_id`` in its answer."""

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes | bytearray
    attempt_id: str


@dataclass(frozen=True, slots=True)
class NotSent:
    """No byte was sent."""

    reason: str


@dataclass(frozen=True, slots=True)
class Withheld:
    """No byte was sent, since the server may get no requests any more."""


@dataclass(frozen=True, slots=True)
class Rejected:
    """The server states that it has not run the request and never will."""

    reason: str
    is_other_instance: bool
    faulty_server: str
    notice: ServerNotice


@dataclass(frozen=True, slots=True)
class AnswerLost:
    """The request was sent and may have run, but its answer is lost.

    ``notice`` is from the head of an answer that arrived before the request was sent
    completely and is therefore not used. ``limit`` is the limit that the head has
    exceeded, None if it has not.
    """

    reason: str
    notice: ServerNotice = NO_NOTICE
    limit: ResponseLimit | None = None


@dataclass(frozen=True, slots=True)
class Answered:
    """The server has begun its answer; the body is read from ``answer``."""

    answer: ServerAnswer


CallResult = NotSent | Withheld | Rejected | AnswerLost | Answered


def _record_activity(liveness: LivenessTracker, instance: str) -> None:
    liveness.record_activity(instance, monotonic())


class ServerClient:
    """HTTP client for backend servers; thread-safe.

    All answers share ``memory``, without a limit by default.
    """

    def __init__(
        self, connections: ConnectionPool, memory: AnswerMemory | None = None
    ) -> None:
        self._connections = connections
        self._memory = memory or AnswerMemory(float("inf"))

    def send(
        self,
        request: OutgoingRequest,
        *,
        instance: str,
        incarnation: str,
        address: str,
        watched: WatchedRequest,
        silence_timeout_s: float,
        liveness: LivenessTracker | None,
        needs_new_connection: bool,
        may_abort_silent: Callable[[], bool],
        may_send: Callable[[], bool],
    ) -> CallResult:
        """Send the request once and wait for the head of its answer.

        ``needs_new_connection`` is for requests that may run only once: if the server
        closes a pooled connection just as the request is sent, it is unknown whether it
        has run. The read from a silent server is aborted only if ``may_abort_silent``
        returns True. ``may_send`` is called right before the first byte is sent, since
        the server may have become unavailable after it was reserved.
        """
        connection = (
            None if needs_new_connection else self._connections.acquire(incarnation)
        )
        if connection is None:
            try:
                connection = self._connections.open(address)
            except NotConnectedError as error:
                return NotSent(f"no connection: {error}")
        assert connection.sock is not None, "an open connection has a socket"
        if not may_send():
            connection.close()
            return Withheld()
        if not watched.attach(
            connection.sock,
            silence_timeout_s,
            instance,
            may_abort_silent,
            connection.read_control,
        ):
            watched.detach()
            connection.close()
            return NotSent("the request was over before it was sent")
        # urllib3 sets this timeout on the socket with each request.
        connection.timeout = max(
            _SOCKET_TIMEOUT_MARGIN_S,
            watched.deadline_at - monotonic() + _SOCKET_TIMEOUT_MARGIN_S,
        )
        result = self._exchange(request, connection, watched)
        if isinstance(result, Answered) and liveness is not None:
            result.answer.on_progress = partial(_record_activity, liveness, instance)
        if not isinstance(result, Answered):
            watched.detach()
            connection.close()
        return result

    def _exchange(
        self,
        request: OutgoingRequest,
        connection: ServerConnection,
        watched: WatchedRequest,
    ) -> CallResult:
        try:
            connection.request(
                request.method,
                request.target,
                body=request.body or None,
                headers=request.headers,
                preload_content=False,
                decode_content=False,
                enforce_content_length=True,
            )
        except CONNECTION_ERRORS as error:
            # The server may have answered before it read the whole body.
            result = self._read_early_answer(
                request, connection, watched, type(error).__name__
            )
            if connection.is_unsent and not isinstance(result, Rejected):
                # A server resets connections over its limit as soon as they are open.
                return NotSent(f"closed before it was sent: {type(error).__name__}")
            return result
        return self._read_head(request, connection, watched)

    def _read_early_answer(
        self,
        request: OutgoingRequest,
        connection: ServerConnection,
        watched: WatchedRequest,
        reason: str,
    ) -> CallResult:
        result = self._read_head(request, connection, watched)
        if isinstance(result, Rejected):
            return result
        notice = NO_NOTICE
        if isinstance(result, Answered):
            notice = result.answer.head.notice
            result.answer.discard()
        return AnswerLost(f"cut while it was sent: {reason}", notice)

    def _read_head(
        self,
        request: OutgoingRequest,
        connection: ServerConnection,
        watched: WatchedRequest,
    ) -> CallResult:
        try:
            response = connection.getresponse()
            head = read_response_headers(response.status, response.headers)
        except CONNECTION_ERRORS as error:
            abort_reason = watched.abort_reason
            if abort_reason is not None:
                return AnswerLost(abort_reason.value)
            limit = find_exceeded_limit(error)
            return AnswerLost(f"no answer: {describe_error(error)}", limit=limit)
        watched.end_head()
        if head.attempt_id and head.attempt_id != request.attempt_id:
            return AnswerLost("the answer was another request's")
        if head.is_rejection:
            reason = f"status {head.status}"
            return Rejected(
                reason, head.is_other_instance, head.faulty_server, head.notice
            )
        if not head.is_signed:
            return AnswerLost(f"an unsigned answer with status {head.status}")
        memory = self._memory.open()
        return Answered(ServerAnswer(head, response, connection, watched, memory))
