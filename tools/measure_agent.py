"""Measures an agent's cost by the number of streams.

``python -m tools.measure_agent [STREAMS ...]`` prints a table, by default for 0, 4, 8,
16, 32 and 64 streams of one token per 32 ms. The engine stand-in and the agent are
processes on this machine, and so is the entry that reads the streams; processor time
is the agent's alone.
"""

from __future__ import annotations

import os
import sys
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec
from tests.agent.builders import agent_settings
from tests.agent.builders import build_dispatch_for
from tests.agent.builders import completion_body
from tests.agent.fake_entry import FakeEntry
from tests.agent.processes import AgentProcess
from tests.agent.processes import StandInProcess

from kingcupwheel.messages.attempts import ResponseData
from kingcupwheel.settings.schema import AgentLimits
from kingcupwheel.settings.schema import ServerSettings
from kingcupwheel.settings.schema import Timings


if TYPE_CHECKING:
    from kingcupwheel.settings.schema import Settings

DEFAULT_STREAM_COUNTS = (0, 4, 8, 16, 32, 64)
_STEP_MS = 32
_MEASURED_S = 10.0
_SETTLE_S = 2.0
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class ProcessUsage(NamedTuple):
    """Processor time and resident memory of a process."""

    cpu_s: float
    memory_bytes: int


class StreamsCost(NamedTuple):
    """Frames received and the agent's usage during the measured time."""

    streams: int
    frames: int
    cpu_s: float
    memory_bytes: int


def read_usage(pid: int) -> ProcessUsage:
    """Return the usage of a process since its start."""
    folder = Path("/proc") / str(pid)
    fields = (folder / "stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int((folder / "statm").read_text().split()[1])
    return ProcessUsage(ticks / _TICKS_PER_S, pages * _PAGE_BYTES)


def take_frame_count(entry: FakeEntry) -> int:
    """Return how many response frames the entry received, and discard them."""
    received, entry.received = entry.received, []
    return sum(isinstance(message, ResponseData) for message in received)


def build_settings(url: str, streams: int) -> Settings:
    """Return settings with production timings and capacity for all streams."""
    limits = AgentLimits(concurrency=max(1, streams))
    return msgspec.structs.replace(
        agent_settings(url, limits=limits),
        server=ServerSettings(url=url),
        timings=Timings(),
    )


def measure_streams(streams: int, folder: Path) -> StreamsCost:
    """Run ``streams`` concurrent streams and return the agent's cost."""
    engine = StandInProcess("engine", "--step-ms", str(_STEP_MS))
    agent = AgentProcess(build_settings(engine.url, streams), folder)
    entry = FakeEntry(agent.address)
    # An entry acknowledges every 128 KiB, which no stream in this measurement reaches.
    entry.auto_ack_enabled.clear()
    try:
        heartbeat = entry.wait_for_heartbeat()
        tokens = int((2 * _SETTLE_S + _MEASURED_S) * 1000 / _STEP_MS) * 2
        for number in range(streams):
            body = completion_body(f"prompt {number}", tokens=tokens)
            entry.send(build_dispatch_for(heartbeat, f"r{number}", body=body))
        time.sleep(_SETTLE_S)
        take_frame_count(entry)
        before = read_usage(agent.pid)
        time.sleep(_MEASURED_S)
        after = read_usage(agent.pid)
        frames = take_frame_count(entry)
        return StreamsCost(
            streams, frames, after.cpu_s - before.cpu_s, after.memory_bytes
        )
    finally:
        entry.stop()
        agent.kill()
        engine.kill()


def main() -> None:
    """Print the table, and the slope between the smallest and the largest size."""
    stream_counts = tuple(int(text) for text in sys.argv[1:]) or DEFAULT_STREAM_COUNTS
    print("| streams | frames/s | core % | ms per 1,000 frames | memory MB |")
    print("|---|---|---|---|---|")
    costs = []
    with tempfile.TemporaryDirectory() as folder:
        for streams in stream_counts:
            cost = measure_streams(streams, Path(folder))
            costs.append(cost)
            ms_per_1000_frames = 1e6 * cost.cpu_s / cost.frames if cost.frames else 0.0
            print(
                f"| {cost.streams} | {cost.frames / _MEASURED_S:.0f} "
                f"| {100 * cost.cpu_s / _MEASURED_S:.1f} | {ms_per_1000_frames:.0f} "
                f"| {cost.memory_bytes / 1e6:.0f} |",
                flush=True,
            )
    first, last = costs[0], costs[-1]
    if last.frames > first.frames:
        slope = 1e6 * (last.cpu_s - first.cpu_s) / (last.frames - first.frames)
        print(f"Slope: {slope:.0f} ms of processor time per 1,000 frames.")


if __name__ == "__main__":
    main()
