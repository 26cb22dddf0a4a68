"""Finds out early whether a server that closed a connection has ended."""

from __future__ import annotations

import contextlib
import socket
from queue import Empty
from queue import Full
from queue import Queue
from threading import Event
from threading import Thread
from time import monotonic
from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Callable

# Connection attempts to a server that closed a connection, in seconds after the first.
# Two refused ones in a row confirm that no process listens there any more.
_PROBE_DELAYS_S = (0.0, 0.1, 0.3, 0.8)
_REFUSALS_TO_CONFIRM = 2
# A machine without power doesn't reply; its server's end is known from the list.
_CONNECT_TIMEOUT_S = 0.1
# Servers probed at once; the end of others is known from the list.
_MAX_PROBES = 64
_POLL_INTERVAL_S = 0.05
# Longest wait for the result of a probe: two refused connections.
_MAX_RESULT_WAIT_S = 0.3


class _Probe(NamedTuple):
    incarnation: str
    address: str
    began_at: float
    attempts: int = 0
    refusals: int = 0

    @property
    def due_at(self) -> float:
        return self.began_at + _PROBE_DELAYS_S[self.attempts]


class CrashProber:
    """Thread that probes servers; ``on_refused`` gets the incarnation that ended.

    ``on_accepted`` gets one that has accepted a connection.

    A platform lists a server that crashed for seconds, and meanwhile the request that
    crashed it would crash others.
    """

    def __init__(
        self,
        on_refused: Callable[[str], None],
        on_accepted: Callable[[str], None] = lambda _: None,
    ) -> None:
        self._on_refused = on_refused
        self._on_accepted = on_accepted
        # None wakes the thread, so that it stops.
        self._queue: Queue[_Probe | None] = Queue(maxsize=_MAX_PROBES)
        self._stopping = Event()
        self._result_by_incarnation: dict[str, Event] = {}
        self._thread = Thread(target=self._run, name="crash-prober", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread; does not wait for a probe in progress."""
        self._stopping.set()
        with contextlib.suppress(Full):
            self._queue.put_nowait(None)

    def probe(self, incarnation: str, address: str) -> None:
        """Probe a server that has closed a connection; does not block."""
        with contextlib.suppress(Full):
            self._queue.put_nowait(_Probe(incarnation, address, monotonic()))
            self._result_by_incarnation.setdefault(incarnation, Event())

    def wait_for_result(self, incarnation: str) -> None:
        """Wait until a probed server has accepted a connection or refused two."""
        result = self._result_by_incarnation.get(incarnation)
        if result is not None:
            result.wait(_MAX_RESULT_WAIT_S)

    def _run(self) -> None:
        pending: dict[str, _Probe] = {}
        while not self._stopping.is_set():
            self._take_new(pending)
            now = monotonic()
            for probe in tuple(pending.values()):
                if probe.due_at <= now:
                    self._advance(pending, probe)

    def _take_new(self, pending: dict[str, _Probe]) -> None:
        """Add queued probes; wait for one only as long as none is due."""
        timeout_s = _POLL_INTERVAL_S if pending else None
        with contextlib.suppress(Empty):
            probe = self._queue.get(timeout=timeout_s)
            while probe is not None:
                if len(pending) < _MAX_PROBES:
                    pending.setdefault(probe.incarnation, probe)
                probe = self._queue.get_nowait()

    def _advance(self, pending: dict[str, _Probe], probe: _Probe) -> None:
        del pending[probe.incarnation]
        is_accepted = _try_connect(probe.address)
        is_refused = is_accepted is False
        if is_accepted:
            self._on_accepted(probe.incarnation)
        refusals = probe.refusals + 1 if is_refused else 0
        is_over = probe.attempts + 1 >= len(_PROBE_DELAYS_S)
        if refusals >= _REFUSALS_TO_CONFIRM:
            self._on_refused(probe.incarnation)
            is_over = True
        elif not is_over:
            pending[probe.incarnation] = probe._replace(
                attempts=probe.attempts + 1, refusals=refusals
            )
        self._report_result(probe.incarnation, is_known=not is_refused, is_over=is_over)

    def _report_result(
        self, incarnation: str, *, is_known: bool, is_over: bool
    ) -> None:
        result = self._result_by_incarnation.get(incarnation)
        if result is not None and (is_known or is_over):
            result.set()
        if is_over:
            self._result_by_incarnation.pop(incarnation, None)


def _try_connect(address: str) -> bool | None:
    """Return whether the server accepts or refuses a connection, None if unknown."""
    host, _, port = address.rpartition(":")
    try:
        socket.create_connection((host, int(port)), timeout=_CONNECT_TIMEOUT_S).close()
    except ConnectionRefusedError:
        return False
    except (OSError, ValueError):
        return None
    return True
