"""Batches of trace events: their keys, their format and their retention.

A batch is the object ``traces/<process>/<hour>/<since>-<until>-<life>-<part>`` with
Unix seconds; ``hour`` counts hours since the epoch, ``life`` tells two lives of a
process apart. A request id names its entry and time, so one listing of an hour finds
the batches that can hold it.
"""

from __future__ import annotations

import zlib
from typing import NamedTuple

import msgspec
from expression import Error
from expression import Ok
from expression import Result

from kingcupwheel.trace.events import EVENTS_DECODER
from kingcupwheel.trace.events import TraceEvent
from kingcupwheel.trace.exceptions import InvalidBatch


BATCH_KEY_PREFIX = "traces/"
HOUR_S = 3600
# The longest period of one batch; a reader starts this much before the request.
MAX_BATCH_PERIOD_S = 600
# The platform holds values up to 1 MB; the difference is for the batch's other fields.
MAX_COMPRESSED_PART_BYTES = 900_000
# Events joined before they are compressed. They shrink several times; a part that does
# not shrink enough is halved.
MAX_RAW_PART_BYTES = 3_000_000
# Unpacked size that a reader accepts, so that a damaged object can't fill its memory.
_MAX_DECOMPRESSED_BYTES = 2 * MAX_RAW_PART_BYTES
_ZLIB_LEVEL = 6


class EventLoss(msgspec.Struct, frozen=True):
    """Events recorded between two Unix times that no batch holds, and why."""

    since: float
    until: float
    event_count: int = msgspec.field(name="events")
    reason: str = msgspec.field(name="why")


class TraceBatch(msgspec.Struct, frozen=True):
    """What one object holds; ``packed`` is compressed concatenated events."""

    process: str
    since: float
    until: float
    event_count: int = msgspec.field(name="events")
    compressed_events: bytes = msgspec.field(name="packed")
    losses: tuple[EventLoss, ...] = ()


class BatchName(NamedTuple):
    """The parts of a batch's key; times are whole Unix seconds."""

    process: str
    since: int
    until: int
    incarnation: str
    part_number: int

    @property
    def key(self) -> str:
        """The object's key."""
        span = f"{self.since}-{self.until}-{self.incarnation}-{self.part_number}"
        return f"{build_hour_prefix(self.process, self.since)}{span}"


class CompressedPart(NamedTuple):
    """Compressed events and how many they are."""

    compressed_events: bytes
    event_count: int


def build_hour_prefix(process: str, time_s: float) -> str:
    """Return what the keys of the process's batches of that hour start with."""
    return f"{BATCH_KEY_PREFIX}{process}/{int(time_s) // HOUR_S}/"


def parse_key(key: str) -> BatchName | None:
    """Return the parts of ``key``, or None if it names no batch."""
    try:
        _, process, _, span = key.split("/")
        since, until, life, part = span.split("-")
        return BatchName(process, int(since), int(until), life, int(part))
    except ValueError:
        return None


def compress_events(encoded_events: tuple[bytes, ...]) -> tuple[CompressedPart, ...]:
    """Return the events as compressed parts, each small enough for one object."""
    packed = _compress(encoded_events)
    if len(packed) <= MAX_COMPRESSED_PART_BYTES or len(encoded_events) == 1:
        return (CompressedPart(packed, len(encoded_events)),)
    middle = len(encoded_events) // 2
    return compress_events(encoded_events[:middle]) + compress_events(
        encoded_events[middle:]
    )


def encode_batch(batch: TraceBatch) -> bytes:
    """Return the object's value."""
    return msgspec.msgpack.encode(batch)


def decode_batch(value: bytes) -> Result[TraceBatch, InvalidBatch]:
    """Return the batch in ``value``, or why it is none."""
    try:
        return Ok(_BATCH_DECODER.decode(value))
    except msgspec.MsgspecError as error:
        return Error(InvalidBatch(str(error)))


def decode_request_events(
    batch: TraceBatch, request_id: str
) -> Result[tuple[TraceEvent, ...], InvalidBatch]:
    """Return the events of one request in the batch, in order of recording."""
    try:
        events = _decompress(batch.compressed_events)
    except (zlib.error, msgspec.MsgspecError) as error:
        return Error(InvalidBatch(str(error)))
    return Ok(tuple(event for event in events if event.request_id == request_id))


_BATCH_DECODER: msgspec.msgpack.Decoder[TraceBatch] = msgspec.msgpack.Decoder(
    TraceBatch
)


def _compress(encoded_events: tuple[bytes, ...]) -> bytes:
    # The head of a msgpack array of 32-bit length, so that the joined items are one.
    head = b"\xdd" + len(encoded_events).to_bytes(4, "big")
    return zlib.compress(head + b"".join(encoded_events), _ZLIB_LEVEL)


def _decompress(compressed_events: bytes) -> tuple[TraceEvent, ...]:
    inflater = zlib.decompressobj()
    raw = inflater.decompress(compressed_events, _MAX_DECOMPRESSED_BYTES)
    if not inflater.eof:
        raise zlib.error("the batch is cut short or too large")
    events: tuple[TraceEvent, ...] = EVENTS_DECODER.decode(raw)
    return events
