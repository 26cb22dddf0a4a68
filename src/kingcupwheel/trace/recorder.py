"""Recorder of the trace events of recent requests, in bounded memory.

Events are stored encoded: a ``bytes`` object is smaller than the records it encodes,
the garbage collector does not traverse it, and batches are built by joining them.
"""

from __future__ import annotations

import time
from collections import OrderedDict
from collections import deque
from threading import Lock
from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec

from kingcupwheel.messages.traces import TraceReply
from kingcupwheel.trace.events import EVENT_DECODER
from kingcupwheel.trace.events import RequestFinished
from kingcupwheel.trace.events import TraceEvent
from kingcupwheel.utils.request_ids import parse_request_id


if TYPE_CHECKING:
    from collections.abc import Callable

    from kingcupwheel.trace.events import AnyEvent

# A request on a flapping link may be resumed any number of times. Past the bound only
# its final outcome is stored, and the reply is marked as incomplete.
MAX_EVENTS_PER_REQUEST = 200
# Encoded events that wait for a batch. At 10 requests a second of about 1.5 KB each
# this is four minutes, far longer than a batch's period, so that events are only
# dropped if the shipper's thread is stuck.
MAX_UNSHIPPED_BYTES = 4_000_000


class DrainedEvents(NamedTuple):
    """Encoded events that are not in a batch yet, oldest first.

    ``since`` and ``until`` are Unix seconds between which they were recorded;
    ``lost_count`` is the number of events dropped since the last drain.
    """

    encoded_events: tuple[bytes, ...]
    since: float
    until: float
    lost_count: int


class _RequestEvents:
    __slots__ = ("is_truncated", "encoded_events")

    def __init__(self) -> None:
        self.encoded_events: list[bytes] = []
        self.is_truncated = False


class TraceRecorder:
    """Records the events of the latest ``max_requests`` requests; thread-safe.

    ``listener`` is called with each event, on the recording thread.
    """

    def __init__(
        self,
        process: str,
        *,
        max_requests: int,
        listener: Callable[[AnyEvent], None] | None = None,
    ) -> None:
        self._process = process
        self._max_requests = max_requests
        self._listener = listener
        self._started_at = time.time()
        self._evicted_until_ms = 0
        self._events_by_request_id: OrderedDict[str, _RequestEvents] = OrderedDict()
        self._unshipped: deque[bytes] = deque()
        self._unshipped_bytes = 0
        self._unshipped_since = self._started_at
        self._lost_count = 0
        self._encoder = msgspec.msgpack.Encoder()
        self._lock = Lock()

    @property
    def process(self) -> str:
        """The name of the recording process."""
        return self._process

    def record(self, request_id: str, event: AnyEvent) -> None:
        """Record an event; the oldest request is evicted past ``max_requests``."""
        at = time.time()
        trace_event = TraceEvent(request_id, at, self._process, event)
        with self._lock:
            encoded = self._encoder.encode(trace_event)
            self._store_event(
                request_id, encoded, is_final=isinstance(event, RequestFinished)
            )
            self._enqueue(encoded, at)
        if self._listener is not None:
            self._listener(event)

    def get_events(self, request_id: str) -> tuple[TraceEvent, ...]:
        """Return the stored events of the request, in order of recording."""
        with self._lock:
            request_events = self._events_by_request_id.get(request_id)
            encoded = tuple(request_events.encoded_events) if request_events else ()
        return tuple(EVENT_DECODER.decode(item) for item in encoded)

    def build_reply(self, request_id: str) -> TraceReply:
        """Return the reply to ``TraceRequest``: the events, and if they are complete.

        They are incomplete if events may have been recorded by an earlier incarnation
        of this process, evicted by newer requests, or dropped past the bound.
        """
        events = self.get_events(request_id)
        with self._lock:
            request_events = self._events_by_request_id.get(request_id)
            complete = self._is_covered(request_id) and not (
                request_events and request_events.is_truncated
            )
        payload = msgspec.msgpack.encode(events)
        return TraceReply(request_id, self._process, payload, complete)

    def drain(self) -> DrainedEvents:
        """Remove and return the events that are not in a batch yet."""
        with self._lock:
            now = time.time()
            drained = DrainedEvents(
                tuple(self._unshipped), self._unshipped_since, now, self._lost_count
            )
            self._unshipped.clear()
            self._unshipped_bytes = 0
            self._unshipped_since = now
            self._lost_count = 0
        return drained

    def _store_event(
        self, request_id: str, encoded_event: bytes, *, is_final: bool
    ) -> None:
        request_events = self._events_by_request_id.get(request_id)
        if request_events is None:
            request_events = _RequestEvents()
            self._events_by_request_id[request_id] = request_events
            self._evict_oldest()
        if len(request_events.encoded_events) < MAX_EVENTS_PER_REQUEST or is_final:
            request_events.encoded_events.append(encoded_event)
        else:
            request_events.is_truncated = True

    def _evict_oldest(self) -> None:
        while len(self._events_by_request_id) > self._max_requests:
            oldest_id, _ = self._events_by_request_id.popitem(last=False)
            self._evicted_until_ms = max(
                self._evicted_until_ms, _get_arrival_ms(oldest_id)
            )

    def _enqueue(self, encoded_event: bytes, recorded_at: float) -> None:
        if not self._unshipped:
            self._unshipped_since = recorded_at
        self._unshipped.append(encoded_event)
        self._unshipped_bytes += len(encoded_event)
        while self._unshipped_bytes > MAX_UNSHIPPED_BYTES:
            self._unshipped_bytes -= len(self._unshipped.popleft())
            self._lost_count += 1

    def _is_covered(self, request_id: str) -> bool:
        # A late event of an evicted request starts a new record without the earlier
        # ones; the arrival time in the id detects this.
        started_ms = _get_arrival_ms(request_id)
        return started_ms > max(int(self._started_at * 1000), self._evicted_until_ms)


def _get_arrival_ms(request_id: str) -> int:
    parsed = parse_request_id(request_id)
    return parsed.arrived_at_ms if parsed else 0
