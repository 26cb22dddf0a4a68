"""Aborts requests: callers that left, passed deadlines, shutdowns.

Request threads block on their server's socket. One thread checks all of them several
times a second and shuts down the socket of an aborted request, which wakes its thread.
It also notices servers that are silent or make no progress; the request decides what
follows.
"""

from __future__ import annotations

import contextlib
import select
import socket
import struct
from enum import Enum
from threading import Condition
from threading import Lock
from threading import Thread
from time import monotonic
from typing import TYPE_CHECKING

from kingcupwheel.forwarding.liveness import STALL_THRESHOLD_S
from kingcupwheel.utils.peer_state import is_closed_by_peer
from kingcupwheel.utils.response_limits import ReadControl


if TYPE_CHECKING:
    from collections.abc import Callable


# A caller that left must be detected and its server's connection reset within half a
# second; the timeout of a plain service is under a second.
CHECK_INTERVAL_S = 0.05

# SO_LINGER on with a timeout of 0: closing the socket resets the connection.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class AbortReason(Enum):
    """Why a request was aborted."""

    CALLER_LEFT = "the caller left"
    TIMEOUT = "the time is up"
    SERVER_SILENT = "the server is silent"
    SERVER_SLOW = "the server is slow"
    SHUTDOWN = "the entry stops"
    SUPERSEDED = "another server answers"
    MEMORY_LIMIT = "over the limit answer-memory"


class WatchedRequest:
    """A request that the watchdog can abort.

    Its thread attaches the server's socket while it reads. ``deadline_at`` is
    monotonic.
    ``may_dispatch`` returns whether a request that was never sent may still be sent.
    ``instance`` is the server that is read from, ``is_resumable_elsewhere`` whether its
    stream can be resumed at another one. ``leave_slow_server`` looks for another server
    while this one is read from, and returns whether it has begun to.
    """

    def __init__(
        self,
        caller_socket: socket.socket | None,
        deadline_at: float,
        may_dispatch: Callable[[], bool] = lambda: True,
    ) -> None:
        self.caller_socket = caller_socket
        self.may_dispatch = may_dispatch
        self.instance = ""
        self.is_resumable_elsewhere = False
        self.leave_slow_server: Callable[[], bool] = lambda: False
        self.deadline_at = deadline_at
        self._server: socket.socket | None = None
        self._control = ReadControl()
        self._silence_timeout_s = float("inf")
        # How long the thread has waited for data since the last progress, before the
        # current read.
        self._waited_s = 0.0
        self._waits_since = 0.0
        self._bytes_at_progress = 0
        self._awaits_data = False
        self._may_abort_silent: Callable[[], bool] = lambda: True
        self._abort_reason: AbortReason | None = None
        self._lock = Lock()

    @property
    def abort_reason(self) -> AbortReason | None:
        """Why the request was aborted, None if it was not.

        A reason that concerns one server is cleared when the next one is attached.
        """
        return self._abort_reason

    @property
    def is_waiting_for_server(self) -> bool:
        """Whether a server is attached and its answer is awaited."""
        return self._server is not None

    @property
    def is_over(self) -> bool:
        """Whether the request was aborted for good: no other server may get it."""
        return self._abort_reason in (
            AbortReason.CALLER_LEFT,
            AbortReason.TIMEOUT,
            AbortReason.SHUTDOWN,
            AbortReason.SUPERSEDED,
        )

    @property
    def awaits_data(self) -> bool:
        """Whether the request's thread waits for data from its server."""
        return self._awaits_data

    def is_server_silent(self, now: float) -> bool:
        """Return whether the awaited progress is overdue."""
        waited_s = self._waited_s + now - self._waits_since
        return self._awaits_data and waited_s >= self._silence_timeout_s

    def is_sending_partial_data(self, now: float) -> bool:
        """Return whether the server still sends bytes that complete nothing."""
        has_partial_data = self._control.received_bytes > self._bytes_at_progress
        return has_partial_data and now - self._control.received_at <= STALL_THRESHOLD_S

    def attach(
        self,
        server: socket.socket,
        silence_s: float,
        instance: str = "",
        may_abort_silent: Callable[[], bool] = lambda: True,
        control: ReadControl | None = None,
    ) -> bool:
        """Watch a server's socket; it is reset on an abort or after ``silence_s``.

        Returns False if the request is over already: nothing may be sent then. A read
        from a silent server is aborted only if ``may_abort_silent`` returns True. It is
        called once the silence is too long, and again at each check until it does.
        ``control`` counts the bytes that are received.
        """
        with self._lock:
            if not self.is_over:
                self._abort_reason = None
            self._server = server
            self.instance = instance
            self._may_abort_silent = may_abort_silent
            self._silence_timeout_s = silence_s
            self._control = control or ReadControl()
            self.record_progress()
            self.begin_read()
            return not self.is_over

    def begin_read(self) -> None:
        """Record that the request's thread starts to wait for data.

        The server is silent only while it does: a caller that reads slowly holds up the
        thread although the server's data has arrived.
        """
        self._waits_since = monotonic()
        self._awaits_data = True

    def end_read(self) -> None:
        """Record that the wait for data has ended."""
        if self._awaits_data:
            self._awaits_data = False
            self._waited_s += monotonic() - self._waits_since

    def end_head(self) -> None:
        """Record that the head has been read, which ends a silence."""
        self.end_read()
        self.record_progress()

    def record_progress(self) -> None:
        """Record that a part of the answer is complete, which ends a silence."""
        self._waited_s = 0.0
        self.disregard_received()

    def disregard_received(self) -> None:
        """Take the bytes received so far neither for progress nor for partial data."""
        self._bytes_at_progress = self._control.received_bytes

    def detach(self) -> socket.socket | None:
        """Stop watching the socket, before it is closed or returned to the pool.

        Returns the socket, None if there is none.
        """
        with self._lock:
            server, self._server = self._server, None
            self.instance = ""
            self._awaits_data = False
        return server

    def reset_server(self) -> None:
        """Reset the socket, whose answer will not be read to its end, and detach it."""
        with self._lock:
            if self._server is not None:
                _reset_connection(self._server)
        self.detach()

    def check(self, now: float, *, is_caller_gone: bool, shutdown_at: float) -> None:
        """Abort the request if a limit has passed; ``shutdown_at`` is monotonic."""
        if self.is_over:
            return
        if is_caller_gone:
            self.abort(AbortReason.CALLER_LEFT)
        elif now >= self.deadline_at:
            self.abort(AbortReason.TIMEOUT)
        elif now >= shutdown_at:
            self.abort(AbortReason.SHUTDOWN)
        elif self._is_silent(now):
            self.abort(AbortReason.SERVER_SILENT)

    def _is_silent(self, now: float) -> bool:
        late = self._server is not None and self.is_server_silent(now)
        return late and self._may_abort_silent()

    def abort(self, reason: AbortReason) -> None:
        """Abort the wait for the server, and the request if the reason is final.

        A request that is over already keeps its reason.
        """
        with self._lock:
            if self.is_over:
                return
            self._abort_reason = reason
            if self._server is not None:
                _reset_connection(self._server)


class Watchdog:
    """Thread that checks every watched request; its methods are thread-safe."""

    def __init__(self) -> None:
        self._requests: set[WatchedRequest] = set()
        self._changed = Condition()
        self._stopping = False
        self._abort_all_at = float("inf")
        self._thread = Thread(target=self._run, name="watchdog", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread."""
        with self._changed:
            self._stopping = True
            self._changed.notify_all()

    def abort_all_at(self, at: float) -> None:
        """Abort all requests, also later ones, at this time (monotonic)."""
        self._abort_all_at = at

    def watch(self, request: WatchedRequest) -> None:
        """Check this request until ``unwatch``."""
        with self._changed:
            self._requests.add(request)
            self._changed.notify_all()

    def unwatch(self, request: WatchedRequest) -> None:
        """Stop checking this request."""
        with self._changed:
            self._requests.discard(request)

    def move_slow_streams(self, instances: frozenset[str]) -> int:
        """Let resumable streams on slow servers look for others; return their number.

        A stream keeps its slow server until another one has begun to answer.
        """
        with self._changed:
            found = [
                one
                for one in self._requests
                if one.is_resumable_elsewhere
                and one.instance in instances
                and one.abort_reason is None
            ]
        return sum(one.leave_slow_server() for one in found)

    def _run(self) -> None:
        while True:
            with self._changed:
                self._changed.wait_for(lambda: self._requests or self._stopping)
                if self._stopping:
                    return
                watched = tuple(self._requests)
            self._check(watched)
            with self._changed:
                self._changed.wait_for(lambda: self._stopping, CHECK_INTERVAL_S)

    def _check(self, watched: tuple[WatchedRequest, ...]) -> None:
        gone = _find_gone_callers(watched)
        now = monotonic()
        # Requests without a server go first: capacity that another abort frees must not
        # be given to a request that is over as well.
        for one in sorted(watched, key=lambda one: one.is_waiting_for_server):
            one.check(now, is_caller_gone=one in gone, shutdown_at=self._abort_all_at)


def _find_gone_callers(watched: tuple[WatchedRequest, ...]) -> set[WatchedRequest]:
    """Return the requests whose caller has closed or reset its connection.

    Bytes that wait to be read are a further request, not a close.
    """
    poller = select.poll()
    by_number: dict[int, list[WatchedRequest]] = {}
    for one in watched:
        number = -1 if one.caller_socket is None else one.caller_socket.fileno()
        if number >= 0:
            # A request and its hedge have the same caller.
            by_number.setdefault(number, []).append(one)
            poller.register(number, select.POLLIN)
    if not by_number:
        return set()
    ready = [one for number, _ in poller.poll(0) for one in by_number[number]]
    return {
        one
        for one in ready
        if one.caller_socket is not None and is_closed_by_peer(one.caller_socket)
    }


def _reset_connection(server: socket.socket) -> None:
    """Wake the thread that reads from the socket and make its close a reset.

    Failure: the server's machine is frozen and has not acknowledged the request.
    Symptom: after an orderly close the kernel keeps retransmitting, and the server
    begins the request when its machine resumes, seconds after the caller has left. A
    reset discards what is not yet delivered.
    """
    # The peer may have closed it already.
    with contextlib.suppress(OSError):
        server.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        server.shutdown(socket.SHUT_RDWR)
