"""The HTTP expectation ``100-continue`` and the request bodies that wait for it.

See RFC 9110, section 10.1.1. The headers go first; the body is sent once the server has
replied ``100 Continue``. A request whose connection fails before that is incomplete at
the server.
"""

from __future__ import annotations

import select
import socket
from enum import Enum
from threading import Lock
from time import monotonic
from time import sleep
from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Iterator

EXPECT_HEADERS = {"Expect": "100-continue"}
EXPECTATION_FAILED_STATUS = 417
_CONTINUE_STATUS_LINES = (b"HTTP/1.1 100", b"HTTP/1.0 100")
_STATUS_LINE_BYTES = len(_CONTINUE_STATUS_LINES[0])
_INTERIM_STATUS_PREFIX = b"1"
_PARTIAL_LINE_POLL_S = 0.001
# A server that was slow once, or that was replaced, is tried again after this time; the
# request that tries it may wait for the timeout of an unknown server.
_IGNORED_TTL_S = 60.0


class ContinueSupport(Enum):
    """What is known about a server's support of the expectation."""

    UNKNOWN = "unknown"
    HONOURED = "honoured"
    IGNORED = "ignored"


class ContinueTracker:
    """Tracks whether one server honours the expectation; thread-safe."""

    def __init__(self) -> None:
        self._lock = Lock()
        self._support = ContinueSupport.UNKNOWN
        self._ignored_at = 0.0

    @property
    def support(self) -> ContinueSupport:
        """What is known now."""
        with self._lock:
            is_ignored = self._support is ContinueSupport.IGNORED
            if is_ignored and monotonic() - self._ignored_at > _IGNORED_TTL_S:
                self._support = ContinueSupport.UNKNOWN
            return self._support

    def record_continue(self) -> None:
        """Record that the server replied ``100 Continue``."""
        with self._lock:
            self._support = ContinueSupport.HONOURED

    def record_early_answer(self) -> None:
        """Record an answer without ``100 Continue``.

        It outweighs no earlier ``100 Continue``: a server may answer a single request
        early, for example to reject it.
        """
        if self.support is ContinueSupport.UNKNOWN:
            self.record_refused()

    def record_refused(self) -> None:
        """Record that the server refuses the expectation."""
        with self._lock:
            self._support = ContinueSupport.IGNORED
            self._ignored_at = monotonic()

    def record_timeout(self) -> None:
        """Record that ``100 Continue`` did not arrive in time.

        The server may have been replaced by one that ignores the expectation, so the
        next body is sent without it.
        """
        with self._lock:
            if self._support is ContinueSupport.HONOURED:
                self._support = ContinueSupport.UNKNOWN


class HoldTimeouts(NamedTuple):
    """How long a body is held back, in seconds.

    ``unasked_s`` is for a server that may ignore the expectation: it is sent the body
    then. A server that is known to honour it has ``silence_s``, after which the
    connection is given up.
    """

    unasked_s: float
    silence_s: float


class HeldBody:
    """Request body that is yielded once the server has replied ``100 Continue``.

    Iterate it after the headers were sent on ``connection``. Raises TimeoutError or
    ConnectionError if the body must not be sent. Replies are left on the connection for
    the HTTP client to read.

    ``has_reply`` is True once the server's final answer has begun.
    """

    def __init__(
        self,
        body: bytes,
        connection: socket.socket,
        tracker: ContinueTracker,
        timeouts: HoldTimeouts,
    ) -> None:
        self.is_sent = False
        self.has_reply = False
        self._body = body
        self._connection = connection
        self._tracker = tracker
        self._was_honoured = tracker.support is ContinueSupport.HONOURED
        self._timeouts = timeouts

    @property
    def length(self) -> int:
        """The length in bytes."""
        return len(self._body)

    @property
    def is_known_incomplete(self) -> bool:
        """Whether the server is known to wait for the body and has not got it."""
        return self._was_honoured and not self.is_sent and not self.has_reply

    def __iter__(self) -> Iterator[bytes]:
        is_requested = self._wait_for_continue()
        if self.has_reply:
            return
        self._connection.settimeout(self._timeouts.silence_s)
        self.is_sent = True
        yield self._body
        if not is_requested:
            self._record_first_reply(self._timeouts.silence_s)

    def _wait_for_continue(self) -> bool:
        """Return whether the server asked for the body."""
        unasked_s, silence_s = self._timeouts
        timeout_s = silence_s if self._was_honoured else unasked_s
        try:
            return self._record_first_reply(timeout_s)
        except TimeoutError:
            self._tracker.record_timeout()
            if self._was_honoured:
                raise
            return False

    def _record_first_reply(self, timeout_s: float) -> bool:
        """Return whether the server's first reply is an interim one."""
        status_line = self._peek_status_line(timeout_s)
        is_interim = status_line.rpartition(b" ")[2].startswith(_INTERIM_STATUS_PREFIX)
        self.has_reply = not is_interim
        if status_line in _CONTINUE_STATUS_LINES:
            self._tracker.record_continue()
        elif not is_interim:
            self._tracker.record_early_answer()
        return is_interim

    def _peek_status_line(self, timeout_s: float) -> bytes:
        deadline = monotonic() + timeout_s
        while True:
            remaining_s = deadline - monotonic()
            if remaining_s <= 0:
                raise TimeoutError
            self._connection.settimeout(remaining_s)
            start = self._connection.recv(_STATUS_LINE_BYTES, socket.MSG_PEEK)
            if len(start) == _STATUS_LINE_BYTES:
                return start
            # A first line that is incomplete may be that of an answer.
            self.has_reply = bool(start)
            if not start or _is_closed_by_peer(self._connection):
                raise ConnectionError("connection closed before the answer")
            sleep(_PARTIAL_LINE_POLL_S)


def _is_closed_by_peer(connection: socket.socket) -> bool:
    poller = select.poll()
    poller.register(connection, select.POLLRDHUP)
    return bool(poller.poll(0))
