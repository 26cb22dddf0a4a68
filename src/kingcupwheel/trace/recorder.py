"""Events of recent requests in bounded memory."""

from __future__ import annotations

import time
from collections import OrderedDict
from threading import Lock
from typing import TYPE_CHECKING

from kingcupwheel.trace.events import TraceEvent


if TYPE_CHECKING:
    from kingcupwheel.trace.events import AnyEvent


class Recorder:
    """Keeps the events of the latest ``limit`` requests; safe from any thread."""

    def __init__(self, process: str, *, limit: int) -> None:
        self._process = process
        self._limit = limit
        self._by_request_id: OrderedDict[str, list[TraceEvent]] = OrderedDict()
        self._lock = Lock()

    def record(self, request_id: str, event: AnyEvent) -> None:
        """Add ``event`` to the request's story; the oldest story makes room."""
        entry = TraceEvent(request_id, time.time(), self._process, event)
        with self._lock:
            self._by_request_id.setdefault(request_id, []).append(entry)
            if len(self._by_request_id) > self._limit:
                self._by_request_id.popitem(last=False)

    def events(self, request_id: str) -> tuple[TraceEvent, ...]:
        """Return what is held of the request, in order of recording."""
        with self._lock:
            return tuple(self._by_request_id.get(request_id, ()))
