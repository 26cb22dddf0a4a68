"""One HTTP call to a backend server on its own connection.

Connections are never reused. If the server closed an idle one just as a request is
sent, it would be unknown whether the request ran; only a failure to connect proves that
it did not.
"""

from __future__ import annotations

import contextlib
import socket
from http.client import HTTPException
from typing import TYPE_CHECKING
from typing import NamedTuple

from expression import Error
from expression import Ok
from expression import Result
from urllib3 import HTTPHeaderDict
from urllib3.connection import HTTPConnection
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
from kingcupwheel.agent.adapters.handover import BodyNotSent
from kingcupwheel.agent.adapters.server_requests import filter_visible_headers


if TYPE_CHECKING:
    from urllib3.response import HTTPResponse

    from kingcupwheel.agent.adapters.cancellation import Cancellation
    from kingcupwheel.agent.adapters.expectations import ContinueTracker
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

    def __init__(self, connection: HTTPConnection, cancellation: Cancellation) -> None:
        self._connection = connection
        self._cancellation = cancellation
        self._response: HTTPResponse | None = None

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
        """Send the request and wait for the response head.

        ``held_body`` replaces the request's body.
        """
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
        self,
        request: ServerRequest,
        tracker: ContinueTracker,
        *,
        silence_s: float,
        continue_timeout_s: float,
    ) -> Result[None, BodyNotSent | AnswerMissing]:
        """Send a request that the server runs; wait for the response head.

        Its body is held back until the server asks for it, unless the server is known
        not to.
        """
        is_held = tracker.support is not ContinueSupport.IGNORED
        if not request.body or not is_held:
            sent = self.send(request, silence_s=silence_s)
            return sent.map_error(_build_answer_missing)
        held = HeldBody(
            request.body,
            self._connection.sock,
            tracker,
            continue_timeout_s=continue_timeout_s,
            answer_timeout_s=silence_s,
        )
        sent = self.send(
            _expect_continue(request, held), silence_s=silence_s, held_body=held
        )
        if sent.is_ok() and self.response.status == EXPECTATION_FAILED_STATUS:
            return Error(BodyNotSent("expectation failed", is_proof=True))
        if sent.is_error() and not held.is_sent:
            reason = _describe_failure(sent.error)
            return Error(BodyNotSent(reason, is_proof=held.was_expectation_honoured))
        return sent.map_error(_build_answer_missing)

    def read(self) -> Result[bytes, AnswerLost | SilenceTimeout]:
        """Return the next bytes of the body; empty when the body is complete."""
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
    connection = HTTPConnection(
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


def _build_answer_missing(failure: AnswerLost | SilenceTimeout) -> AnswerMissing:
    is_silent = isinstance(failure, SilenceTimeout)
    return AnswerMissing(_describe_failure(failure), is_silent)


def _describe_failure(failure: AnswerLost | SilenceTimeout) -> str:
    return failure.detail if isinstance(failure, AnswerLost) else "server silent"


def _build_answer_lost(error: Exception) -> AnswerLost:
    return AnswerLost(_describe_error(error), has_server_crashed=False)


def _describe_error(error: Exception) -> str:
    return str(error) or type(error).__name__
