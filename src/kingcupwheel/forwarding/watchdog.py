"""Ends waits that are over: callers that left, time that is up, servers gone silent.

Request threads block on their server's socket. One thread looks at all of them a few
times a second and shuts down the socket of a wait that is over, which wakes its thread.
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


if TYPE_CHECKING:
    from collections.abc import Callable


# Between two looks. A caller that left must be noticed, and its server told, within
# half a second; a plain service's time limit is under a second.
CHECK_INTERVAL_S = 0.05

# On and with no time to linger: closing the socket resets the connection.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class AbortReason(Enum):
    """Why a wait was ended."""

    CALLER_LEFT = "the caller left"
    TIMEOUT = "the time is up"
    SERVER_SILENT = "the server is silent"
    SERVER_SLOW = "the server is slow"
    SHUTDOWN = "the entry stops"


class WatchedRequest:
    """One request's waits; its thread attaches the server's socket while it reads.

    ``time_up_at`` is monotonic. ``may_run`` tells whether a request that no server has
    may still be sent to one. ``instance`` is the server read from, and ``may_move``
    tells that its stream can go on at another one.
    """

    def __init__(
        self,
        caller_socket: socket.socket | None,
        deadline: float,
        may_dispatch: Callable[[], bool] = lambda: True,
    ) -> None:
        self.caller_socket = caller_socket
        self.may_dispatch = may_dispatch
        self.instance = ""
        self.is_resumable_elsewhere = False
        self.deadline = deadline
        self._server: socket.socket | None = None
        self._silence_deadline = float("inf")
        self._silence_timeout_s = float("inf")
        self._may_abort_silent: Callable[[], bool] = lambda: True
        self._abort_reason: AbortReason | None = None
        self._lock = Lock()

    @property
    def abort_reason(self) -> AbortReason | None:
        """Why the wait was ended, if it was; a silent server's end is forgotten."""
        return self._abort_reason

    @property
    def is_waiting_for_server(self) -> bool:
        """Whether a server has been asked and its answer is awaited."""
        return self._server is not None

    @property
    def is_over(self) -> bool:
        """Whether nothing more can come of the request."""
        return self._abort_reason in (
            AbortReason.CALLER_LEFT,
            AbortReason.TIMEOUT,
            AbortReason.SHUTDOWN,
        )

    def attach(
        self,
        server: socket.socket,
        silence_s: float,
        instance: str = "",
        may_abort_silent: Callable[[], bool] = lambda: True,
    ) -> bool:
        """Watch a server's socket from now on; end it when over, or silent so long.

        Returns False if the wait is over already: nothing may be sent then. A silent
        server is given up only when ``may_give_up`` says so; it is asked once the
        silence is too long, and again at each look until it does.
        """
        with self._lock:
            if not self.is_over:
                self._abort_reason = None
            self._server = server
            self.instance = instance
            self._may_abort_silent = may_abort_silent
            self._silence_timeout_s = silence_s
            self._silence_deadline = monotonic() + silence_s
            return not self.is_over

    def record_progress(self, silence_s: float | None = None) -> None:
        """Note that the server sent something; from now on expect it so often."""
        if silence_s is not None:
            self._silence_timeout_s = silence_s
        self._silence_deadline = monotonic() + self._silence_timeout_s

    def detach(self) -> None:
        """Stop watching the socket, before it is closed or kept for another request."""
        with self._lock:
            self._server = None
            self.instance = ""

    def reset_server(self) -> None:
        """Stop watching the socket, whose answer nobody will read to its end."""
        with self._lock:
            if self._server is not None:
                _reset_connection(self._server)
        self.detach()

    def check(self, now: float, *, is_caller_gone: bool, shutdown_at: float) -> None:
        """End the wait if it is over; at ``stop_at`` (monotonic) every wait is."""
        if self.is_over:
            return
        if is_caller_gone:
            self.abort(AbortReason.CALLER_LEFT)
        elif now >= self.deadline:
            self.abort(AbortReason.TIMEOUT)
        elif now >= shutdown_at:
            self.abort(AbortReason.SHUTDOWN)
        elif self._is_silent(now):
            self.abort(AbortReason.SERVER_SILENT)

    def _is_silent(self, now: float) -> bool:
        late = self._server is not None and now >= self._silence_deadline
        return late and self._may_abort_silent()

    def abort(self, reason: AbortReason) -> None:
        """End the wait for this reason; one that is over keeps its own."""
        with self._lock:
            if self.is_over:
                return
            self._abort_reason = reason
            if self._server is not None:
                _reset_connection(self._server)


class Watchdog:
    """Looks at every watched request; safe from any thread."""

    def __init__(self) -> None:
        self._watched: set[WatchedRequest] = set()
        self._changed = Condition()
        self._stopping = False
        self._abort_all_at = float("inf")
        self._thread = Thread(target=self._run, name="watchdog", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread."""
        with self._changed:
            self._stopping = True
            self._changed.notify_all()

    def abort_all_at(self, at: float) -> None:
        """End every wait at this time (monotonic), also those that begin later."""
        self._abort_all_at = at

    def watch(self, watched: WatchedRequest) -> None:
        """Look at this request until ``forget``."""
        with self._changed:
            self._watched.add(watched)
            self._changed.notify_all()

    def unwatch(self, watched: WatchedRequest) -> None:
        """Look at it no longer."""
        with self._changed:
            self._watched.discard(watched)

    def abort_slow_streams(self, instances: frozenset[str]) -> int:
        """End the waits on slow servers that can go on elsewhere; return how many."""
        with self._changed:
            found = [
                one
                for one in self._watched
                if one.is_resumable_elsewhere
                and one.instance in instances
                and one.abort_reason is None
            ]
        for one in found:
            one.abort(AbortReason.SERVER_SLOW)
        return len(found)

    def _run(self) -> None:
        while True:
            with self._changed:
                self._changed.wait_for(lambda: self._watched or self._stopping)
                if self._stopping:
                    return
                watched = tuple(self._watched)
            self._check(watched)
            with self._changed:
                self._changed.wait_for(lambda: self._stopping, CHECK_INTERVAL_S)

    def _check(self, watched: tuple[WatchedRequest, ...]) -> None:
        gone = _find_gone_callers(watched)
        now = monotonic()
        # Those without a server go first: a place that another one's end sets free must
        # not be given to a request that is over as well.
        for one in sorted(watched, key=lambda one: one.is_waiting_for_server):
            one.check(now, is_caller_gone=one in gone, shutdown_at=self._abort_all_at)


def _find_gone_callers(watched: tuple[WatchedRequest, ...]) -> set[WatchedRequest]:
    """Return those whose caller has closed or reset its connection.

    Bytes that wait to be read are a further request, not an end.
    """
    poller = select.poll()
    by_number: dict[int, WatchedRequest] = {}
    for one in watched:
        number = -1 if one.caller_socket is None else one.caller_socket.fileno()
        if number >= 0:
            by_number[number] = one
            poller.register(number, select.POLLIN)
    if not by_number:
        return set()
    ready = [by_number[number] for number, _ in poller.poll(0)]
    return {one for one in ready if _is_closed(one.caller_socket)}


def _is_closed(caller: socket.socket | None) -> bool:
    if caller is None:
        return False
    try:
        return not caller.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True


def _reset_connection(server: socket.socket) -> None:
    """Wake the thread that reads from the socket, whose close then is a reset.

    Failure: the server's machine is frozen and has not acknowledged the request.
    Symptom: after an orderly close the kernel goes on retransmitting, and the server
    begins the request when its machine wakes, seconds after its caller has left. A
    reset drops what is not yet delivered.
    """
    # It may have been closed by the other side already.
    with contextlib.suppress(OSError):
        server.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        server.shutdown(socket.SHUT_RDWR)
