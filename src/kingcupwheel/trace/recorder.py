"""Events of recent requests in bounded memory.

Events are kept encoded: one ``bytes`` object is smaller than the records it stands for,
the garbage collector does not walk it, and a batch is made by joining them.
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

# Events kept for one request. A request on a flapping link may be resumed without end;
# past the bound only its final outcome is added, and the story says so.
MAX_EVENTS_PER_REQUEST = 200
# Encoded events that wait to be put in a batch. At 10 requests a second with about
# 1.5 KB each this is some four minutes: far more than a batch's period, so that it
# only bites when the shipper's thread is stuck.
MAX_UNSHIPPED_BYTES = 4_000_000


class DrainedEvents(NamedTuple):
    """Events not yet in a batch, encoded, oldest first.

    ``since`` and ``until`` are Unix seconds of the first and last record call;
    ``lost`` counts events that found no room since the last call.
    """

    encoded: tuple[bytes, ...]
    since: float
    until: float
    lost_count: int


class _RequestEvents:
    __slots__ = ("is_truncated", "encoded_events")

    def __init__(self) -> None:
        self.encoded_events: list[bytes] = []
        self.is_truncated = False


class TraceRecorder:
    """Keeps the events of the latest ``limit`` requests; safe from any thread.

    ``listener`` is called with each event, on the thread that records it.
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
        """The name that the events are recorded under."""
        return self._process

    def record(self, request_id: str, event: AnyEvent) -> None:
        """Add ``event`` to the request's story; the oldest story makes room."""
        at = time.time()
        entry = TraceEvent(request_id, at, self._process, event)
        with self._lock:
            encoded = self._encoder.encode(entry)
            self._store_event(
                request_id, encoded, final=isinstance(event, RequestFinished)
            )
            self._enqueue(encoded, at)
        if self._listener is not None:
            self._listener(event)

    def get_events(self, request_id: str) -> tuple[TraceEvent, ...]:
        """Return what is held of the request, in order of recording."""
        with self._lock:
            story = self._events_by_request_id.get(request_id)
            encoded = tuple(story.encoded_events) if story else ()
        return tuple(EVENT_DECODER.decode(item) for item in encoded)

    def build_reply(self, request_id: str) -> TraceReply:
        """Answer ``TraceRequest``: the events held, and whether none was let go.

        ``complete`` is False if events of the request may have been recorded by an
        earlier life of this process, pushed out by newer requests or left out.
        """
        events = self.get_events(request_id)
        with self._lock:
            story = self._events_by_request_id.get(request_id)
            complete = self._is_covered(request_id) and not (
                story and story.is_truncated
            )
        payload = msgspec.msgpack.encode(events)
        return TraceReply(request_id, self._process, payload, complete)

    def drain(self) -> DrainedEvents:
        """Hand over the events that are not yet in a batch."""
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

    def _store_event(self, request_id: str, encoded: bytes, *, final: bool) -> None:
        story = self._events_by_request_id.get(request_id)
        if story is None:
            story = _RequestEvents()
            self._events_by_request_id[request_id] = story
            self._evict_oldest()
        if len(story.encoded_events) < MAX_EVENTS_PER_REQUEST or final:
            story.encoded_events.append(encoded)
        else:
            story.is_truncated = True

    def _evict_oldest(self) -> None:
        while len(self._events_by_request_id) > self._max_requests:
            oldest, _ = self._events_by_request_id.popitem(last=False)
            self._evicted_until_ms = max(
                self._evicted_until_ms, _get_arrival_ms(oldest)
            )

    def _enqueue(self, encoded: bytes, at: float) -> None:
        if not self._unshipped:
            self._unshipped_since = at
        self._unshipped.append(encoded)
        self._unshipped_bytes += len(encoded)
        while self._unshipped_bytes > MAX_UNSHIPPED_BYTES:
            self._unshipped_bytes -= len(self._unshipped.popleft())
            self._lost_count += 1

    def _is_covered(self, request_id: str) -> bool:
        # A story that was pushed out may start anew with a late event; judging by the
        # time in the id catches that too.
        started_ms = _get_arrival_ms(request_id)
        return started_ms > max(int(self._started_at * 1000), self._evicted_until_ms)


def _get_arrival_ms(request_id: str) -> int:
    parsed = parse_request_id(request_id)
    return parsed.arrived_at_ms if parsed else 0
