"""HTTP client that sends a request to one server and reads the answer."""

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
from kingcupwheel.forwarding.watchdog import AbortReason
from kingcupwheel.platform.headers import read_response_headers


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from urllib3 import BaseHTTPResponse

    from kingcupwheel.forwarding.connection_pool import ConnectionPool
    from kingcupwheel.forwarding.http_metadata import AnswerHead
    from kingcupwheel.forwarding.http_metadata import ServerNotice
    from kingcupwheel.forwarding.liveness import LivenessTracker
    from kingcupwheel.forwarding.watchdog import WatchedRequest
    from kingcupwheel.utils.server_connection import ServerConnection

# An event of a stream has a few hundred bytes, so one read takes many.
_READ_BYTES = 65_536
# Fallback only: the watchdog ends all waits at the request's deadline.
_SOCKET_TIMEOUT_MARGIN_S = 5.0

_CONNECTION_ERRORS = (
    urllib3.exceptions.HTTPError,
    http.client.HTTPException,
    OSError,
    ValueError,
)


class OutgoingRequest(NamedTuple):
    """A request as sent to a server, which echoes ``attempt_id`` in its answer."""

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
    completely and is therefore not used.
    """

    reason: str
    notice: ServerNotice = NO_NOTICE


@dataclass(frozen=True, slots=True)
class Answered:
    """The server has begun its answer; the body is read from ``answer``."""

    answer: ServerAnswer


CallResult = NotSent | Withheld | Rejected | AnswerLost | Answered


class ServerAnswer:
    """An answer whose head has been read; not thread-safe."""

    def __init__(
        self,
        head: AnswerHead,
        response: BaseHTTPResponse,
        connection: ServerConnection,
        watched: WatchedRequest,
    ) -> None:
        self.head = head
        self._response = response
        self._connection = connection
        self._watched = watched
        self.is_whole = False
        self.on_data: Callable[[], None] | None = None
        # Called with each part of the answer; tells whether it is the one that is used.
        self.may_use: Callable[[], bool] = lambda: True
        self._prefetched: bytes | None = None

    def read(self) -> bytes:
        """Return the next bytes, empty at the end of the complete answer.

        Raises AnswerLostError if the rest can't be read, also if the request was
        aborted: reading from a connection that this process has shut down ends without
        an error, and an answer without a length would seem complete.
        """
        prefetched, self._prefetched = self._prefetched, None
        if prefetched is not None:
            return prefetched
        self._watched.begin_read()
        try:
            data = self._response.read1(_READ_BYTES)
        except _CONNECTION_ERRORS as error:
            raise AnswerLostError(self._loss_reason(error)) from error
        finally:
            self._watched.end_read()
        if data and self.on_data is not None:
            self.on_data()
        if not data and self._watched.abort_reason is not None:
            raise AnswerLostError(self._watched.abort_reason.value)
        if not self.may_use():
            raise AnswerLostError(AbortReason.SUPERSEDED.value)
        self.is_whole = not data
        return data

    def prefetch(self) -> None:
        """Read the first bytes, which the next ``read`` returns."""
        self._prefetched = self.read()

    def watch_with(
        self,
        watched: WatchedRequest,
        silence_timeout_s: float,
        instance: str,
        may_abort_silent: Callable[[], bool],
    ) -> None:
        """Let another watched request abort the reads; the earlier one is detached.

        An answer that ends with its connection no longer has the connection's socket,
        so the socket is taken over from the earlier one.
        """
        earlier, self._watched = self._watched, watched
        is_aborted = earlier.abort_reason is not None
        sock = earlier.detach()
        if (
            sock is None
            or not watched.attach(sock, silence_timeout_s, instance, may_abort_silent)
            or is_aborted
        ):
            watched.reset_server()
        watched.end_read()

    def read_whole(self, limit: int) -> bytes:
        """Return the whole body; raises AnswerLostError, also above ``limit`` bytes."""
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
        """Return the connection to the pool if the answer was complete, else reset it.

        The reset tells a server that is still generating that the answer is not needed;
        see ``watchdog``.
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
        # The server may have answered before it read the whole request. The rest of the
        # request is then still in transit, so the connection can't be reused.
        self._response.close()
        self._connection.close()


def _record_activity(liveness: LivenessTracker, instance: str) -> None:
    liveness.record_activity(instance, monotonic())


class ServerClient:
    """HTTP client for backend servers; thread-safe."""

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
            connection.sock, silence_timeout_s, instance, may_abort_silent
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
            result.answer.on_data = partial(_record_activity, liveness, instance)
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
        except _CONNECTION_ERRORS as error:
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
            watched.detach()
            connection.close()
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
        except _CONNECTION_ERRORS as error:
            abort_reason = watched.abort_reason
            return AnswerLost(
                abort_reason.value
                if abort_reason
                else f"no answer: {type(error).__name__}"
            )
        watched.end_read()
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
