"""The HTTP expectation ``100-continue`` and the request bodies that wait for it.

See RFC 9110, section 10.1.1. The headers go first; the body is sent once the server has
replied ``100 Continue``. A request whose connection fails before that is incomplete at
the server, so that it can't have run.
"""

from __future__ import annotations

import socket
from enum import Enum
from threading import Lock
from time import monotonic
from time import sleep
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterator

EXPECT_HEADERS = {"Expect": "100-continue"}
EXPECTATION_FAILED_STATUS = 417
_CONTINUE_STATUS_LINES = (b"HTTP/1.1 100", b"HTTP/1.0 100")
_STATUS_LINE_BYTES = len(_CONTINUE_STATUS_LINES[0])
_PARTIAL_LINE_POLL_S = 0.001


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

    @property
    def support(self) -> ContinueSupport:
        """What is known so far."""
        return self._support

    def record_continue(self) -> None:
        """Record that the server replied ``100 Continue``."""
        with self._lock:
            self._support = ContinueSupport.HONOURED

    def record_ignored(self) -> None:
        """Record an answer without ``100 Continue``; an earlier one outweighs it.

        A server may answer a single request early, for example to reject it.
        """
        with self._lock:
            if self._support is ContinueSupport.UNKNOWN:
                self._support = ContinueSupport.IGNORED

    def record_timeout(self) -> None:
        """Record that ``100 Continue`` did not arrive in time.

        The server may have been replaced by one that ignores the expectation, so the
        next body is sent without it.
        """
        with self._lock:
            if self._support is ContinueSupport.HONOURED:
                self._support = ContinueSupport.UNKNOWN


class HeldBody:
    """Request body that is yielded once the server has replied ``100 Continue``.

    Iterate it after the headers were sent on ``connection``. A server that is not known
    to honour the expectation gets the body after ``continue_timeout_s`` at the latest.
    Raises TimeoutError or ConnectionError if the body must not be sent. Replies are
    left on the connection for the HTTP client to read.
    """

    def __init__(
        self,
        body: bytes,
        connection: socket.socket,
        tracker: ContinueTracker,
        *,
        continue_timeout_s: float,
        answer_timeout_s: float | None,
    ) -> None:
        self.is_sent = False
        self._body = body
        self._connection = connection
        self._tracker = tracker
        self._support = tracker.support
        self._continue_timeout_s = continue_timeout_s
        self._answer_timeout_s = answer_timeout_s

    @property
    def length(self) -> int:
        """The length in bytes."""
        return len(self._body)

    @property
    def was_expectation_honoured(self) -> bool:
        """Whether the server was known to honour the expectation at the start."""
        return self._support is ContinueSupport.HONOURED

    def __iter__(self) -> Iterator[bytes]:
        is_continued = self._wait_for_continue()
        if is_continued is False:
            return
        self._connection.settimeout(self._answer_timeout_s)
        self.is_sent = True
        yield self._body
        if is_continued is None:
            self._record_first_reply(self._answer_timeout_s)

    def _wait_for_continue(self) -> bool | None:
        """Return whether the server asks for the body, None if it does not reply."""
        try:
            return self._record_first_reply(self._continue_timeout_s)
        except TimeoutError:
            self._tracker.record_timeout()
            if self.was_expectation_honoured:
                raise
            return None

    def _record_first_reply(self, timeout_s: float | None) -> bool:
        """Return whether the server's first reply is ``100 Continue``."""
        is_continue = self._peek_status_line(timeout_s) in _CONTINUE_STATUS_LINES
        if is_continue:
            self._tracker.record_continue()
        else:
            self._tracker.record_ignored()
        return is_continue

    def _peek_status_line(self, timeout_s: float | None) -> bytes:
        deadline = None if timeout_s is None else monotonic() + timeout_s
        while True:
            if deadline is not None:
                self._connection.settimeout(max(deadline - monotonic(), 0.001))
            start = self._connection.recv(_STATUS_LINE_BYTES, socket.MSG_PEEK)
            if not start:
                raise ConnectionError("connection closed before the answer")
            if len(start) == _STATUS_LINE_BYTES:
                return start
            if deadline is not None and monotonic() >= deadline:
                raise TimeoutError
            sleep(_PARTIAL_LINE_POLL_S)
