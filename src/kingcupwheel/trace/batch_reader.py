"""Reader of a request's events from the batches of a process on the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.platform.errors import Conflict
from kingcupwheel.platform.errors import RateLimited
from kingcupwheel.platform.errors import Rejected
from kingcupwheel.platform.errors import Unavailable
from kingcupwheel.trace.batch_sweeper import WRITER_MARKER_PREFIX
from kingcupwheel.trace.batches import HOUR_S
from kingcupwheel.trace.batches import MAX_BATCH_PERIOD_S
from kingcupwheel.trace.batches import build_hour_prefix
from kingcupwheel.trace.batches import decode_batch
from kingcupwheel.trace.batches import decode_request_events
from kingcupwheel.trace.batches import parse_key
from kingcupwheel.trace.events import RequestFinished


if TYPE_CHECKING:
    from kingcupwheel.platform.client import PlatformClient
    from kingcupwheel.platform.errors import PlatformError
    from kingcupwheel.trace.batches import BatchName
    from kingcupwheel.trace.batches import EventLoss
    from kingcupwheel.trace.batches import TraceBatch
    from kingcupwheel.trace.events import TraceEvent

# Per process. At 30 s each this is 20 minutes, longer than any answer; without a bound
# one command could read days of batches.
MAX_BATCHES_PER_REQUEST = 40
_MAX_CLOCK_SKEW_S = 2


class BatchEvents(NamedTuple):
    """Events of one request from the batches of one process.

    ``covered_until`` is the Unix second at which the batches end, 0 without batches.
    ``losses`` are events that the process could not write. ``problem`` says what could
    not be read; it is empty if everything could.
    """

    events: tuple[TraceEvent, ...]
    covered_until: int
    losses: tuple[EventLoss, ...]
    problem: str


class BatchReader:
    """Reads batches, at most ``MAX_BATCHES_PER_REQUEST`` per call after three lists."""

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    def read_events(
        self, process: str, request_id: str, *, since: float
    ) -> BatchEvents:
        """Return the request's events that ``process`` wrote since ``since``.

        Reading stops at the batch that contains the end of the request.
        """
        names, problem = self._list_batches(process, since)
        events: list[TraceEvent] = []
        losses: list[EventLoss] = []
        covered_until = 0
        for name in names[:MAX_BATCHES_PER_REQUEST]:
            batch, error = self._read_batch(name)
            if batch is None:
                problem = error
                continue
            found = decode_request_events(batch, request_id)
            if found.is_error():
                problem = f"batch {name.key} is damaged: {found.error.detail}"
                continue
            covered_until = max(covered_until, name.until)
            losses.extend(batch.losses)
            events.extend(found.ok)
            if any(isinstance(event.event, RequestFinished) for event in found.ok):
                break
        else:
            if len(names) > MAX_BATCHES_PER_REQUEST:
                problem = f"only the first {MAX_BATCHES_PER_REQUEST} batches were read"
        relevant = tuple(loss for loss in losses if loss.until >= since)
        return BatchEvents(tuple(events), covered_until, relevant, problem)

    def list_writers(self) -> tuple[str, ...]:
        """Return all processes with batches, including those that no longer run."""
        listed = self._client.keys(WRITER_MARKER_PREFIX)
        keys = listed.ok if listed.is_ok() else ()
        return tuple(key.removeprefix(WRITER_MARKER_PREFIX) for key in keys)

    def _list_batches(self, process: str, since: float) -> tuple[list[BatchName], str]:
        first = int(since - MAX_BATCH_PERIOD_S) // HOUR_S
        last = int(since) // HOUR_S + 1
        names: list[BatchName] = []
        for hour in range(first, last + 1):
            listed = self._client.keys(build_hour_prefix(process, hour * HOUR_S))
            if listed.is_error():
                return (
                    names,
                    f"batches can't be listed: {describe_platform_error(listed.error)}",
                )
            names.extend(name for key in listed.ok if (name := parse_key(key)))
        names = [name for name in names if name.until >= since - _MAX_CLOCK_SKEW_S]
        return sorted(names, key=lambda name: (name.since, name.part_number)), ""

    def _read_batch(self, name: BatchName) -> tuple[TraceBatch | None, str]:
        read = self._client.read(name.key)
        if read.is_error():
            return (
                None,
                f"batch {name.key} can't be read: "
                f"{describe_platform_error(read.error)}",
            )
        if read.ok is None:
            return None, f"batch {name.key} has been deleted"
        batch = decode_batch(read.ok.value)
        if batch.is_error():
            return None, f"batch {name.key} is damaged: {batch.error.detail}"
        return batch.ok, ""


def describe_platform_error(error: PlatformError) -> str:
    """Return a short description of a platform error."""
    match error:
        case Unavailable(detail):
            return f"the platform does not answer ({detail})"
        case RateLimited(retry_after_s):
            return f"the platform asks to wait {retry_after_s:g} s"
        case Rejected(status, detail):
            return f"the platform refuses with {status} ({detail})"
        case Conflict(key, version):
            return f"{key} is at version {version}"
