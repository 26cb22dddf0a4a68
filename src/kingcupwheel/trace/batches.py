"""Batches of trace events: their keys and their format.

A batch is the object ``traces/<process>/<hour>/<since>-<until>-<incarnation>-<part>``
with Unix seconds; ``hour`` counts hours since the epoch, ``incarnation`` distinguishes
runs of a process. A request id contains its entry and arrival time, so that listing the
keys of an hour finds the batches that can contain its events.
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
# A reader starts this long before the request.
MAX_BATCH_PERIOD_S = 600
# The platform stores values up to 1 MB; the rest is for the batch's other fields.
MAX_COMPRESSED_PART_BYTES = 900_000
# Size of events joined before compression, which reduces them several times; a part
# that is still too large is halved.
MAX_RAW_PART_BYTES = 3_000_000
# Prevents a damaged object from exhausting the reader's memory.
_MAX_DECOMPRESSED_BYTES = 2 * MAX_RAW_PART_BYTES
_ZLIB_LEVEL = 6


class EventLoss(msgspec.Struct, frozen=True):
    """Events recorded between two Unix times that are in no batch, and why."""

    since: float
    until: float
    event_count: int = msgspec.field(name="events")
    reason: str = msgspec.field(name="why")


class TraceBatch(msgspec.Struct, frozen=True):
    """The value of a batch object; ``compressed_events`` is a zlib msgpack array."""

    process: str
    since: float
    until: float
    event_count: int = msgspec.field(name="events")
    compressed_events: bytes = msgspec.field(name="packed")
    losses: tuple[EventLoss, ...] = ()


class BatchName(NamedTuple):
    """The components of a batch's key; times are whole Unix seconds."""

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
    """Compressed events of one object, and their number."""

    compressed_events: bytes
    event_count: int


def build_hour_prefix(process: str, time_s: float) -> str:
    """Return the key prefix of the process's batches of the hour of ``time_s``."""
    return f"{BATCH_KEY_PREFIX}{process}/{int(time_s) // HOUR_S}/"


def parse_key(key: str) -> BatchName | None:
    """Return the components of ``key``, or None if it is not a batch key."""
    try:
        _, process, _, span = key.split("/")
        since, until, incarnation, part_number = span.split("-")
        return BatchName(process, int(since), int(until), incarnation, int(part_number))
    except ValueError:
        return None


def compress_events(encoded_events: tuple[bytes, ...]) -> tuple[CompressedPart, ...]:
    """Return the events in compressed parts that each fit into one object."""
    compressed = _compress(encoded_events)
    if len(compressed) <= MAX_COMPRESSED_PART_BYTES or len(encoded_events) == 1:
        return (CompressedPart(compressed, len(encoded_events)),)
    middle = len(encoded_events) // 2
    return compress_events(encoded_events[:middle]) + compress_events(
        encoded_events[middle:]
    )


def encode_batch(batch: TraceBatch) -> bytes:
    """Return the encoded value of the object."""
    return msgspec.msgpack.encode(batch)


def decode_batch(value: bytes) -> Result[TraceBatch, InvalidBatch]:
    """Return the decoded batch, or why ``value`` can't be decoded."""
    try:
        return Ok(_BATCH_DECODER.decode(value))
    except msgspec.MsgspecError as error:
        return Error(InvalidBatch(str(error)))


def decode_request_events(
    batch: TraceBatch, request_id: str
) -> Result[tuple[TraceEvent, ...], InvalidBatch]:
    """Return the events of one request from the batch, in order of recording."""
    try:
        events = _decompress(batch.compressed_events)
    except (zlib.error, msgspec.MsgspecError) as error:
        return Error(InvalidBatch(str(error)))
    return Ok(tuple(event for event in events if event.request_id == request_id))


_BATCH_DECODER: msgspec.msgpack.Decoder[TraceBatch] = msgspec.msgpack.Decoder(
    TraceBatch
)


def _compress(encoded_events: tuple[bytes, ...]) -> bytes:
    # The header of a msgpack array of 32-bit length, which the joined events follow.
    array_header = b"\xdd" + len(encoded_events).to_bytes(4, "big")
    return zlib.compress(array_header + b"".join(encoded_events), _ZLIB_LEVEL)


def _decompress(compressed_events: bytes) -> tuple[TraceEvent, ...]:
    decompressor = zlib.decompressobj()
    raw = decompressor.decompress(compressed_events, _MAX_DECOMPRESSED_BYTES)
    if not decompressor.eof:
        raise zlib.error("compressed events are truncated or too large")
    events: tuple[TraceEvent, ...] = EVENTS_DECODER.decode(raw)
    return events
