"""One HTTP call to a backend server on its own connection.

Connections are never reused. If the server closed an idle one just as a request is
sent, it would be unknown whether the request ran. Only a request of which no byte was
sent, or whose body was held back, surely did not.
"""

from __future__ import annotations

import contextlib
import socket
from http.client import HTTPException
from time import monotonic
from typing import TYPE_CHECKING
from typing import NamedTuple

from expression import Error
from expression import Ok
from expression import Result
from urllib3 import HTTPHeaderDict
from urllib3.exceptions import HTTPError
from urllib3.exceptions import ReadTimeoutError
from urllib3.util import parse_url

from kingcupwheel.agent.adapters.base import AnswerLost
from kingcupwheel.agent.adapters.base import ServerUnreachable
from kingcupwheel.agent.adapters.expectations import EXPECT_HEADERS
from kingcupwheel.agent.adapters.expectations import EXPECTATION_FAILED_STATUS
from kingcupwheel.agent.adapters.expectations import ContinueSupport
from kingcupwheel.agent.adapters.expectations import HeldBody
from kingcupwheel.agent.adapters.handover import AnswerMissing
from kingcupwheel.agent.adapters.handover import RequestIncomplete
from kingcupwheel.agent.adapters.server_requests import filter_visible_headers
from kingcupwheel.utils.response_limits import BodyLimitError
from kingcupwheel.utils.response_limits import describe_error
from kingcupwheel.utils.response_limits import find_exceeded_limit
from kingcupwheel.utils.server_connection import ServerConnection


if TYPE_CHECKING:
    from urllib3.response import HTTPResponse

    from kingcupwheel.agent.adapters.cancellation import Cancellation
    from kingcupwheel.agent.adapters.expectations import ContinueTracker
    from kingcupwheel.agent.adapters.expectations import HoldTimeouts
    from kingcupwheel.agent.adapters.server_requests import ServerRequest
    from kingcupwheel.settings.schema import ServerSettings

_READ_BYTES = 65_536
_DEFAULT_HTTP_PORT = 80
_KEEPALIVE_PROBES = 3
_CALL_ERRORS = (HTTPError, HTTPException, OSError, ValueError)
_NO_BODY_STATUSES = frozenset({204, 304})


class SilenceTimeout(NamedTuple):
    """No bytes arrived within the time limit; the call may still run."""


class ServerCall:
    """Connected call; call ``send``, then ``read`` to the end, then ``close``."""

    def __init__(
        self, connection: ServerConnection, cancellation: Cancellation
    ) -> None:
        self._connection = connection
        self._cancellation = cancellation
        self._response: HTTPResponse | None = None
        self._silence_s: float | None = None

    @property
    def response(self) -> HTTPResponse:
        """The response; valid once ``send`` returned ``Ok``."""
        assert self._response is not None
        return self._response

    @property
    def headers(self) -> tuple[tuple[str, str], ...]:
        """The response headers that are passed on to the caller."""
        return filter_visible_headers(self.response.headers.items())

    def header(self, name: str) -> str:
        """Return one response header, or an empty string."""
        return str(self.response.headers.get(name, ""))

    def send(
        self,
        request: ServerRequest,
        *,
        silence_s: float | None,
        held_body: HeldBody | None = None,
    ) -> Result[None, AnswerLost | SilenceTimeout]:
        """Send the request and wait for the response head, ``silence_s`` for all of it.

        ``held_body`` replaces the request's body.
        """
        self._silence_s = silence_s
        self._connection.timeout = silence_s
        try:
            self._connection.request(
                request.method,
                request.path,
                body=held_body or request.body,
                headers=request.headers,
                preload_content=False,
                decode_content=False,
            )
            self._response = self._connection.getresponse()
        except TimeoutError:
            return Error(SilenceTimeout())
        except _CALL_ERRORS as error:
            return Error(_build_answer_lost(error))
        return Ok(None)

    def hand_over(
        self, request: ServerRequest, *, silence_s: float
    ) -> Result[None, RequestIncomplete | AnswerMissing]:
        """Send a request that the server runs; wait for the response head."""
        sent = self.send(request, silence_s=silence_s)
        return sent.map_error(self._classify_failure)

    def hand_over_held(
        self,
        request: ServerRequest,
        tracker: ContinueTracker,
        timeouts: HoldTimeouts,
    ) -> Result[None, RequestIncomplete | AnswerMissing]:
        """Like ``hand_over``, but hold the body back until the server asks for it.

        Only for servers that never run a request whose body is incomplete.
        """
        if not request.body or tracker.support is ContinueSupport.IGNORED:
            return self.hand_over(request, silence_s=timeouts.silence_s)
        held = HeldBody(request.body, self._connection.sock, tracker, timeouts)
        sent = self.send(
            _expect_continue(request, held),
            silence_s=timeouts.silence_s,
            held_body=held,
        )
        if sent.is_error():
            failure = self._classify_failure(sent.error)
            if isinstance(failure, AnswerMissing) and not held.is_sent:
                proves_not_run = held.is_known_incomplete
                failure = RequestIncomplete(
                    failure.reason,
                    proves_not_run=proves_not_run,
                    is_silent=failure.is_silent,
                )
            return Error(failure)
        if self.response.status == EXPECTATION_FAILED_STATUS and not held.is_sent:
            tracker.record_refused()
            return Error(RequestIncomplete("expectation refused", proves_not_run=True))
        return Ok(None)

    def _classify_failure(
        self, failure: AnswerLost | SilenceTimeout
    ) -> RequestIncomplete | AnswerMissing:
        match failure:
            case SilenceTimeout():
                missing = AnswerMissing("server silent", is_silent=True)
            case AnswerLost(detail):
                missing = AnswerMissing(detail, is_silent=False)
        if self._connection.is_unsent:
            return RequestIncomplete(
                missing.reason,
                proves_not_run=True,
                is_begun=False,
                is_silent=missing.is_silent,
            )
        return missing

    def read(self) -> Result[bytes, AnswerLost | SilenceTimeout]:
        """Return the next bytes of the body; empty when the body is complete.

        Sizes of chunks and trailers are no bytes of the body: a server that sends only
        these is silent.
        """
        self._connection.read_control.begin(self._silence_s)
        try:
            data = self.response.read1(_READ_BYTES, decode_content=False)
        except ReadTimeoutError:
            return Error(SilenceTimeout())
        except _CALL_ERRORS as error:
            return Error(_build_answer_lost(error))
        if not data and self._is_end_uncertain():
            # Such a body ends with the connection, so that one truncated by a server
            # crash looks complete. It is passed on but never reported as complete.
            return Error(
                AnswerLost("answer without a length", has_server_crashed=False)
            )
        return Ok(data or b"")

    def read_all(self, max_bytes: int) -> Result[bytes, AnswerLost | SilenceTimeout]:
        """Return the whole body, for all of which the silence timeout counts."""
        body = bytearray()
        deadline = monotonic() + (self._silence_s or float("inf"))
        while True:
            result = self.read()
            if result.is_error():
                return result
            if not result.ok:
                return Ok(bytes(body))
            body += result.ok
            if len(body) > max_bytes:
                limit = BodyLimitError(f"over {max_bytes} bytes of a body")
                return Error(_build_answer_lost(limit))
            if monotonic() > deadline:
                return Error(SilenceTimeout())

    def close(self) -> None:
        """Close the connection."""
        self._cancellation.set_connection(None)
        with contextlib.suppress(HTTPError, OSError):
            self._connection.close()
        if self._response is not None:
            with contextlib.suppress(HTTPError, OSError):
                self._response.close()

    def _is_end_uncertain(self) -> bool:
        response = self.response
        if response.status in _NO_BODY_STATUSES or response.chunked:
            return False
        return "content-length" not in response.headers


def connect(
    server: ServerSettings, cancellation: Cancellation
) -> Result[ServerCall, ServerUnreachable]:
    """Open a connection with TCP keepalive, which detects a host that is gone."""
    url = parse_url(server.url)
    connection = ServerConnection(
        url.host or "",
        url.port or _DEFAULT_HTTP_PORT,
        timeout=server.connect_s,
        socket_options=_socket_options(server.silence_s),
    )
    try:
        connection.connect()
    except (HTTPError, OSError) as error:
        refused = isinstance(error.__cause__, ConnectionRefusedError)
        return Error(ServerUnreachable(_describe_error(error), refused))
    cancellation.set_connection(connection.sock)
    return Ok(ServerCall(connection, cancellation))


def _expect_continue(request: ServerRequest, held: HeldBody) -> ServerRequest:
    headers = HTTPHeaderDict(request.headers)
    headers.update(EXPECT_HEADERS)
    headers["Content-Length"] = str(held.length)
    return request._replace(headers=headers)


def _socket_options(silence_s: float) -> list[tuple[int, int, int | bytes]]:
    idle_s = max(1, int(silence_s / 2))
    interval_s = max(1, int(silence_s / 2 / _KEEPALIVE_PROBES))
    return [
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, idle_s),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, interval_s),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
    ]


def _build_answer_lost(error: Exception) -> AnswerLost:
    return AnswerLost(_describe_error(error), has_server_crashed=False)


def _describe_error(error: Exception) -> str:
    if find_exceeded_limit(error) is not None:
        return describe_error(error)
    return str(error) or type(error).__name__
