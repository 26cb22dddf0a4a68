"""Measures sizes, memory and processor time of library parts in one process."""

from __future__ import annotations

import gc
import time
import tracemalloc
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from kingcupwheel.burn.burn_counter import BurnCounter
from kingcupwheel.burn.goals import BurnGoals
from kingcupwheel.manifest.schema import Goals
from kingcupwheel.manifest.schema import Organisation
from kingcupwheel.messages.codec import MsgpackCodec
from kingcupwheel.messages.expertmaps import MapReply
from kingcupwheel.messages.membership import AgentHeartbeat
from kingcupwheel.messages.membership import BackendLoad
from kingcupwheel.messages.membership import Hello
from kingcupwheel.messages.membership import PeerHeartbeat
from kingcupwheel.messages.membership import ShareHeartbeat
from kingcupwheel.messages.membership import ShareReport
from kingcupwheel.platform.client import Instance
from kingcupwheel.trace.batches import compress_events
from kingcupwheel.trace.recorder import TraceRecorder
from tools.capacity_samples import PROCESS_NAME
from tools.capacity_samples import TOKENS_PER_RESPONSE
from tools.capacity_samples import build_burn_counter
from tools.capacity_samples import build_observed_request
from tools.capacity_samples import build_organisation
from tools.capacity_samples import build_suspicions
from tools.capacity_samples import encode_instance_list
from tools.capacity_samples import measure_sharded_manifest
from tools.capacity_samples import record_requests
from tools.capacity_slopes import Point


if TYPE_CHECKING:
    from collections.abc import Callable

    from kingcupwheel.burn.finished_request import FinishedRequest
    from kingcupwheel.messages.base import Message

_DIGEST = "0" * 64
_US_PER_S = 1e6
_ORGANISATION_COUNTS = (1000, 10_000, 43_000)


def heartbeat_bytes() -> list[Point]:
    """Return the size of an agent's heartbeat by the number of suspects in it."""
    load = BackendLoad(12, 3, 16, 5400.5, 2300.25, 0.75)
    return [
        Point(
            count,
            _encoded_size(
                AgentHeartbeat(
                    PROCESS_NAME,
                    "parts-model",
                    "curitiba-north",
                    "a1b2c3d4e5f60718",
                    123456,
                    load,
                    False,
                    True,
                    720,
                    crashed=(),
                    suspicions=build_suspicions(count),
                )
            ),
        )
        for count in (0, 1, 8)
    ]


def hello_bytes() -> list[Point]:
    """Return the size of a Hello, which has no variable part."""
    hello = Hello(PROCESS_NAME, "curitiba-north", 720, _DIGEST, False)
    return [Point(size, _encoded_size(hello)) for size in (0, 1)]


def peer_heartbeat_bytes() -> list[Point]:
    """Return the size of a peer's heartbeat by the number of suspects in it."""
    return [
        Point(
            count,
            _encoded_size(
                PeerHeartbeat(
                    PROCESS_NAME,
                    "curitiba-north",
                    720,
                    _DIGEST,
                    False,
                    crashed=(),
                    suspicions=build_suspicions(count),
                )
            ),
        )
        for count in (0, 1, 8)
    ]


def share_heartbeat_bytes() -> list[Point]:
    """Return the size of a share heartbeat by the number of organisations in it."""
    return [
        Point(
            count,
            _encoded_size(
                ShareHeartbeat(
                    PROCESS_NAME,
                    12345.678901,
                    12344.567891,
                    tuple(
                        ShareReport(f"organisation-{number}", 0.123456789, 0.5, False)
                        for number in range(count)
                    ),
                )
            ),
        )
        for count in (1, 10, 100)
    ]


def instance_list_bytes() -> list[Point]:
    """Return the size of the platform's instance list by its length."""
    return [Point(n, len(encode_instance_list(n))) for n in (100, 400, 1370)]


def instance_list_cpu() -> list[Point]:
    """Return the milliseconds to decode the platform's instance list by its length."""
    points = []
    for count in (100, 400, 1370):
        encoded = encode_instance_list(count)
        points.append(
            Point(
                count,
                1e3 * _least_cpu_s(lambda e=encoded: _decode_instances(e), 20),  # type: ignore[misc]
            )
        )
    return points


def recorder_bytes(process: str) -> list[Point]:
    """Return the memory of a trace recorder by the number of requests held."""
    points = []
    for count in (2000, 10_000):
        gc.collect()
        tracemalloc.start()
        recorder = TraceRecorder(PROCESS_NAME, max_requests=count)
        record_requests(recorder, process, count)
        recorder.drain()
        points.append(Point(count, tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        del recorder
    return points


def trace_cpu(process: str) -> list[Point]:
    """Return the milliseconds to record, drain and compress by number of requests."""
    points = []
    for count in (100, 300, 1000):

        def run(count: int = count) -> None:
            recorder = TraceRecorder(PROCESS_NAME, max_requests=count)
            record_requests(recorder, process, count)
            compress_events(recorder.drain().encoded_events)

        points.append(Point(count, 1e3 * _least_cpu_s(run, 5)))
    return points


def batch_bytes(process: str) -> list[Point]:
    """Return the compressed size of a trace batch by the number of requests in it."""
    points = []
    for count in (100, 300, 1000):
        recorder = TraceRecorder(PROCESS_NAME, max_requests=count)
        record_requests(recorder, process, count)
        parts = compress_events(recorder.drain().encoded_events)
        points.append(Point(count, sum(len(part.compressed_events) for part in parts)))
    return points


def burn_cpu() -> list[Point]:
    """Return the microseconds to count one request by its number of token gaps."""
    points = []
    for gaps in (0, TOKENS_PER_RESPONSE, 2 * TOKENS_PER_RESPONSE):
        counter = BurnCounter(PROCESS_NAME, BurnGoals(1, Goals(), {}, {}), now=0.0)
        observed = build_observed_request(
            tuple(0.025 + index % 20 / 1e3 for index in range(gaps))
        )

        def run(
            counter: BurnCounter = counter, observed: FinishedRequest = observed
        ) -> None:
            counter.count_request(observed, now=1.0)

        points.append(Point(gaps, _US_PER_S * _least_cpu_s(run, 300)))
    return points


def burn_part_bytes() -> list[Point]:
    """Return the size of one entry's reply by organisations with their own goals."""
    return [
        Point(n, len(build_burn_counter(n).build_reply(now=1.0).part))
        for n in (1, 20, 100)
    ]


def burn_memory() -> list[Point]:
    """Return the memory of the counts by organisations with their own goals."""
    points = []
    for count in (1, 20, 100):
        gc.collect()
        tracemalloc.start()
        counter = build_burn_counter(count)
        points.append(Point(count, tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        del counter
    return points


def organisation_memory() -> list[Point]:
    """Return the memory of decoded organisations by their number."""
    points = []
    for count in _ORGANISATION_COUNTS:
        encoded = msgspec.json.encode(
            tuple(build_organisation(n) for n in range(count))
        )
        gc.collect()
        tracemalloc.start()
        decoded = msgspec.json.decode(encoded, type=tuple[Organisation, ...])
        points.append(Point(count, tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        del decoded
    return points


def shard_bytes() -> list[Point]:
    """Return the size of the index and its largest shard, by organisations."""
    points = []
    for count in _ORGANISATION_COUNTS:
        index_bytes, shard_sizes = measure_sharded_manifest(count)
        points.append(Point(count, index_bytes + max(shard_sizes)))
    return points


def manifest_bytes() -> list[Point]:
    """Return the size of the index and all shards, by organisations."""
    points = []
    for count in _ORGANISATION_COUNTS:
        index_bytes, shard_sizes = measure_sharded_manifest(count)
        points.append(Point(count, index_bytes + sum(shard_sizes)))
    return points


def map_reply_bytes() -> list[Point]:
    """Return the size of a rank's map reply by the experts of its map."""
    return [
        Point(
            experts,
            _encoded_size(
                MapReply("parts-model", 41, 7, PROCESS_NAME, 3, bytes(2 * experts))
            ),
        )
        for experts in (32, 128)
    ]


def _decode_instances(encoded: bytes) -> Any:
    rows = msgspec.json.decode(encoded, type=list[dict[str, Any]])
    return tuple(Instance(**row) for row in rows)


def _encoded_size(message: Message) -> int:
    return len(MsgpackCodec().encode(message))


def _least_cpu_s(run: Callable[[], object], repeat: int) -> float:
    """Return the processor time of one run, the minimum of three rounds."""
    seconds = []
    for _ in range(3):
        started = time.process_time()
        for _ in range(repeat):
            run()
        seconds.append((time.process_time() - started) / repeat)
    return min(seconds)
