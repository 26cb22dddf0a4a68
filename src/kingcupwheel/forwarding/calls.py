"""One send of a request to one server, and the head of what comes back."""

from __future__ import annotations

import http.client
from dataclasses import dataclass
from functools import partial
from time import monotonic
from typing import TYPE_CHECKING
from typing import NamedTuple

import urllib3

from kingcupwheel.forwarding.exceptions import AnswerLostError
from kingcupwheel.forwarding.exceptions import NotConnectedError
from kingcupwheel.forwarding.http_metadata import NO_NOTICE
from kingcupwheel.platform.headers import read_response_headers


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from urllib3 import BaseHTTPResponse
    from urllib3.connection import HTTPConnection

    from kingcupwheel.forwarding.connection_pool import ConnectionPool
    from kingcupwheel.forwarding.http_metadata import AnswerHead
    from kingcupwheel.forwarding.http_metadata import ServerNotice
    from kingcupwheel.forwarding.liveness import LivenessTracker
    from kingcupwheel.forwarding.watchdog import WatchedRequest

# Read at a time; an event of a stream has some hundred bytes.
_READ_BYTES = 65_536

_CONNECTION_ERRORS = (
    urllib3.exceptions.HTTPError,
    http.client.HTTPException,
    OSError,
    ValueError,
)


class OutgoingRequest(NamedTuple):
    """A request as a server gets it; ``attempt`` is echoed in the server's answer."""

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes
    attempt_id: str


@dataclass(frozen=True, slots=True)
class NotSent:
    """No byte was sent."""

    reason: str


@dataclass(frozen=True, slots=True)
class Withheld:
    """No byte was sent: the server may not get the request any more."""


@dataclass(frozen=True, slots=True)
class Rejected:
    """The server says that it has not run the request and never will."""

    reason: str
    is_other_instance: bool
    faulty_server: str
    notice: ServerNotice


@dataclass(frozen=True, slots=True)
class AnswerLost:
    """It was sent and may have run; no answer can be had.

    ``notice`` is what the head of an answer said that came too early to be passed on.
    """

    reason: str
    notice: ServerNotice = NO_NOTICE


@dataclass(frozen=True, slots=True)
class Answered:
    """The server's own answer begins; its body is read through ``ServerAnswer``."""

    answer: ServerAnswer


CallResult = NotSent | Withheld | Rejected | AnswerLost | Answered


class ServerAnswer:
    """An answer whose head is in hand; belongs to one thread."""

    def __init__(
        self,
        head: AnswerHead,
        response: BaseHTTPResponse,
        connection: HTTPConnection,
        watched: WatchedRequest,
    ) -> None:
        self.head = head
        self._response = response
        self._connection = connection
        self._watched = watched
        self.is_whole = False
        self.on_data: Callable[[], None] | None = None

    def read(self) -> bytes:
        """Return the next bytes, empty at the whole answer's end.

        Raises AnswerLostError if the rest can't be had. A connection that this process
        shut down ends like an orderly one; an answer without a length would look whole.
        """
        try:
            data = self._response.read1(_READ_BYTES)
        except _CONNECTION_ERRORS as error:
            raise AnswerLostError(self._loss_reason(error)) from error
        if data:
            self._watched.record_progress()
            if self.on_data is not None:
                self.on_data()
            return data
        if self._watched.abort_reason is not None:
            raise AnswerLostError(self._watched.abort_reason.value)
        self.is_whole = True
        return b""

    def read_whole(self, limit: int) -> bytes:
        """Return the whole body; raises AnswerLostError, also over ``limit`` bytes."""
        parts: list[bytes] = []
        size = 0
        while data := self.read():
            parts.append(data)
            size += len(data)
            if size > limit:
                raise AnswerLostError(f"the body is over {limit} bytes")
        return b"".join(parts)

    def _loss_reason(self, error: Exception) -> str:
        if self._watched.abort_reason is not None:
            return self._watched.abort_reason.value
        return f"cut: {type(error).__name__}"

    def end(self, incarnation: str, connections: ConnectionPool) -> None:
        """Keep the connection if its answer was whole, else close it.

        A server that is still at work on an answer learns by a reset that it is not
        wanted; see ``watchdog``.
        """
        if self.is_whole:
            self._watched.detach()
        else:
            self._watched.reset_server()
        head = self.head
        is_reusable = self.is_whole and head.is_framed and not head.closes_connection
        if is_reusable and 200 <= head.status < 300:
            connections.release(incarnation, self._connection, head.idle_timeout_s)
            return
        # An answer that came before its request was read leaves bytes on the way; its
        # connection is not used again.
        self._response.close()
        self._connection.close()


def _record_activity(liveness: LivenessTracker, instance: str) -> None:
    liveness.record_activity(instance, monotonic())


class ServerClient:
    """Sends requests to servers; safe from any thread."""

    def __init__(self, connections: ConnectionPool) -> None:
        self._connections = connections

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

        ``fresh`` asks for a new connection: what may run only once must not cross the
        close of a kept one, after which nobody knows whether it has run. A silent
        server is given up only when ``may_give_up`` says so. ``may_begin`` is asked in
        the moment before bytes leave, since the place was given earlier.
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
            connection.sock, silence_timeout_s, instance, may_abort_silent
        ):
            watched.detach()
            connection.close()
            return NotSent("the request was over before it was sent")
        result = self._exchange(request, connection, watched)
        if isinstance(result, Answered) and liveness is not None:
            result.answer.on_data = partial(_record_activity, liveness, instance)
        if not isinstance(result, Answered):
            watched.detach()
            connection.close()
        return result

    def _exchange(
        self,
        request: OutgoingRequest,
        connection: HTTPConnection,
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
        except _CONNECTION_ERRORS as error:
            # A server may have answered before it read the whole body.
            return self._read_early_answer(
                request, connection, watched, type(error).__name__
            )
        return self._read_head(request, connection, watched)

    def _read_early_answer(
        self,
        request: OutgoingRequest,
        connection: HTTPConnection,
        watched: WatchedRequest,
        reason: str,
    ) -> CallResult:
        result = self._read_head(request, connection, watched)
        if isinstance(result, Rejected):
            return result
        notice = NO_NOTICE
        if isinstance(result, Answered):
            notice = result.answer.head.notice
            watched.detach()
            connection.close()
        return AnswerLost(f"cut while it was sent: {reason}", notice)

    def _read_head(
        self,
        request: OutgoingRequest,
        connection: HTTPConnection,
        watched: WatchedRequest,
    ) -> CallResult:
        try:
            response = connection.getresponse()
            head = read_response_headers(response.status, response.headers)
        except _CONNECTION_ERRORS as error:
            abort_reason = watched.abort_reason
            return AnswerLost(
                abort_reason.value
                if abort_reason
                else f"no answer: {type(error).__name__}"
            )
        watched.record_progress()
        if head.attempt_id and head.attempt_id != request.attempt_id:
            return AnswerLost("the answer was another request's")
        if head.is_rejection:
            reason = f"status {head.status}"
            return Rejected(
                reason, head.is_other_instance, head.faulty_server, head.notice
            )
        if not head.is_signed:
            return AnswerLost(f"an unsigned answer with status {head.status}")
        return Answered(ServerAnswer(head, response, connection, watched))
