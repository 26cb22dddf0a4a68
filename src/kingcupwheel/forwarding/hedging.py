"""Hedged requests: a second send while the first server may still answer.

A silent server may be dead, or go on after a moment. If its connection were closed
before another server has begun to answer, the answer would be lost wherever the other
servers turn the request away. Both servers are therefore awaited until one sends data.
"""

from __future__ import annotations

from enum import Enum
from threading import Event
from threading import Lock
from threading import Thread
from time import monotonic
from typing import TYPE_CHECKING

from kingcupwheel.forwarding.watchdog import AbortReason


if TYPE_CHECKING:
    from collections.abc import Callable

    from kingcupwheel.entry.answers import BufferedAnswer
    from kingcupwheel.forwarding.placed_answer import PlacedAnswer
    from kingcupwheel.forwarding.request_state import RequestState
    from kingcupwheel.forwarding.watchdog import WatchedRequest

# Pause after a hedge that found no server, so that a silence does not cause a send at
# each check.
_RETRY_INTERVAL_S = 0.25
# How long data of a slow server is held back until another server has begun to answer.
_MAX_HANDOVER_S = 1.0


class _Winner(Enum):
    FIRST = "withdrawn"
    HEDGE = "used"


class Hedge:
    """The second send of a request in a thread of its own; thread-safe.

    ``reason`` is why the first server is not relied on. ``send`` sends the hedge, whose
    state is ``state``, and ``on_claimed`` ends the wait for the first server. Exactly
    one of the two answers is used.
    """

    def __init__(
        self,
        reason: AbortReason,
        state: RequestState,
        send: Callable[[], PlacedAnswer | BufferedAnswer | None],
        on_claimed: Callable[[], None],
    ) -> None:
        self.reason = reason
        self.state = state
        self._send = send
        self.answer: PlacedAnswer | BufferedAnswer | None = None
        self._on_claimed = on_claimed
        self._began_at = monotonic()
        self._winner: _Winner | None = None
        self._ended = Event()
        self._lock = Lock()

    def start(self, on_end: Callable[[Hedge], None]) -> None:
        """Send it in a thread; ``on_end`` is called there before ``wait`` returns."""
        Thread(target=self._run, args=(on_end,), name="hedge", daemon=True).start()

    def _run(self, on_end: Callable[[Hedge], None]) -> None:
        try:
            self.answer = self._send()
        finally:
            on_end(self)
            self._ended.set()

    def log_end(self) -> None:
        """Log and count how it ended: ``used``, ``withdrawn`` or ``failed``."""
        result = "failed" if self._winner is None else self._winner.value
        self.state.log.hedge_ended(
            result, self.reason.value, monotonic() - self._began_at
        )

    def claim(self) -> bool:
        """Use the hedge's answer; return False if the first one is used."""
        with self._lock:
            is_first_claim = self._winner is None
            if is_first_claim:
                self._winner = _Winner.HEDGE
        if is_first_claim:
            self._on_claimed()
        return self._winner is _Winner.HEDGE

    def withdraw(self) -> bool:
        """Use the first answer and end the hedge; return False if the hedge is used."""
        with self._lock:
            if self._winner is None:
                self._winner = _Winner.FIRST
        if self._winner is _Winner.HEDGE:
            return False
        self.state.watched.abort(AbortReason.SUPERSEDED)
        return True

    def yield_to_first(self) -> bool:
        """Return whether data of the first server is used.

        A silent server that sends data has recovered. A slow one sends data all the
        time, so its data waits for a hedge that a server has got.
        """
        if self.reason is AbortReason.SERVER_SLOW and self.state.progress.is_sending:
            self.wait(_MAX_HANDOVER_S)
        return self.withdraw()

    def wait(
        self, timeout_s: float | None = None
    ) -> PlacedAnswer | BufferedAnswer | None:
        """Wait until it has ended and return its answer, None if there is none."""
        self._ended.wait(timeout_s)
        return self.answer


class Hedging:
    """The hedges of one request, one at a time; thread-safe.

    A hedge begins only while the request's thread waits for data. It is resolved before
    that thread uses any data of the first server, so that no event is sent twice.
    ``on_unused`` is called for each hedge that is not used.
    """

    def __init__(
        self, watched: WatchedRequest, on_unused: Callable[[Hedge], None]
    ) -> None:
        self._watched = watched
        self._on_unused = on_unused
        self._hedge: Hedge | None = None
        self._not_before = 0.0
        self._lock = Lock()

    def begin(self, may_begin: Callable[[], bool], create: Callable[[], Hedge]) -> bool:
        """Begin a hedge unless one is in progress; return whether one has begun."""
        with self._lock:
            if (
                self._hedge is not None
                or not self._watched.awaits_data
                or monotonic() < self._not_before
                or not may_begin()
            ):
                return False
            self._hedge = hedge = create()
            try:
                hedge.start(self._on_end)
            except RuntimeError:
                # The process has no thread left; the first server is kept.
                self._drop(hedge)
                hedge.state.stop_watching()
                return False
        return True

    def _on_end(self, hedge: Hedge) -> None:
        with self._lock:
            if hedge.answer is None:
                self._drop(hedge)
        hedge.log_end()

    def _drop(self, hedge: Hedge) -> None:
        if self._hedge is hedge:
            self._hedge = None
            self._not_before = monotonic() + _RETRY_INTERVAL_S
            self._on_unused(hedge)

    def use_first(self) -> bool:
        """Return whether data of the first server is used; ends the hedge if so."""
        with self._lock:
            hedge = self._hedge
        if hedge is None:
            return True
        is_used = hedge.yield_to_first()
        if is_used:
            with self._lock:
                self._drop(hedge)
        return is_used

    def take(self) -> Hedge | None:
        """Return the hedge in progress, which is the caller's from now on."""
        with self._lock:
            hedge, self._hedge = self._hedge, None
        return hedge
