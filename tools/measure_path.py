"""Measures the whole path: added latency, tokens per second, memory, idle cost.

All figures are of real processes on the loopback address. Added latency is the ratio of
calls through entry and agent to direct calls of the engine stand-in in the same run.
Time and load are bounded.
"""

from __future__ import annotations

import os
import statistics
import time
from concurrent.futures import ProcessPoolExecutor
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any
from typing import NamedTuple

import click

from tools.caller import Caller
from tools.caller import Reply
from tools.fleet import Fleet
from tools.fleet import compute_key_digest


_API_KEY = "measure-key"
_PATH = "/v1/completions"
_SERVER_COUNT = 2
_CALL_COUNT = 400
_CALLER_COUNT = 8
_CALLER_PROCESS_COUNT = 4
# As many streams as each of the servers gets when 75 go through the entry.
_DIRECT_STREAM_COUNT = 38
_STEP_MS = 32
_TOKENS_PER_STREAM = 200
_IDLE_MEASURED_S = 10.0
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class ProcessUsage(NamedTuple):
    """Processor time and resident memory of a process."""

    cpu_s: float
    rss_mb: float


class Latencies(NamedTuple):
    """Requests per second, and the latency of a request."""

    requests_per_s: float
    median_ms: float
    p99_ms: float


class StreamsRun(NamedTuple):
    """Results of one run of concurrent streams."""

    streams: int
    tokens_per_s: float
    gap_p95_ms: float
    entry_cpu_share: float
    agent_cpu_share: float
    entry_cpu_us_per_token: float
    agent_cpu_us_per_token: float
    entry_rss_mb: float


def read_usage(pid: int) -> ProcessUsage:
    """Return the usage that the kernel reports of a process started by this tool."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    cpu_s = (int(fields[11]) + int(fields[12])) / _TICKS_PER_S
    status = Path(f"/proc/{pid}/status").read_text()
    rss_kb = int(status.partition("VmRSS:")[2].split()[0])
    return ProcessUsage(cpu_s, rss_kb / 1024)


def build_manifest() -> dict[str, Any]:
    """Return a manifest whose limits are never reached."""
    allowance = {"work_per_s": 1e9, "burst": 1e9, "concurrency": 10_000}
    return {
        "organisations": [
            {
                "name": "load",
                "key_digests": [compute_key_digest(_API_KEY)],
                "allowance": allowance,
            }
        ],
        "groups": [{"name": "model", "concurrency": 256, "queue": 1024}],
        "routes": [{"path": _PATH, "group": "model"}],
    }


def start_fleet(fleet: Fleet, step_ms: float) -> None:
    """Start the servers with their agents, and one entry in front of them."""
    for number in range(_SERVER_COUNT):
        fleet.add_agent(
            f"server-{number}",
            "model",
            options=("--step-ms", str(step_ms)),
            limits={"concurrency": 256},
        )
    fleet.add_entry("entry", limits={"threads": 400})
    submitted = fleet.submit_manifest(build_manifest())
    assert submitted.returncode == 0, submitted.stderr
    fleet.wait_until_serving(_API_KEY, _PATH, {"prompt": "ready", "max_tokens": 1})


def measure_calls(address: str) -> Latencies:
    """Measure calls for one token each, from several concurrent callers."""
    caller = Caller(_API_KEY)
    body = {"prompt": "short", "max_tokens": 1}

    def call(_: int) -> float:
        reply = caller.call(address, _PATH, body)
        assert isinstance(reply, Reply) and reply.status == 200, reply
        return reply.duration_s * 1000

    started = time.monotonic()
    with ThreadPoolExecutor(_CALLER_COUNT) as pool:
        times_ms = sorted(pool.map(call, range(_CALL_COUNT)))
    duration_s = time.monotonic() - started
    p99 = times_ms[int(len(times_ms) * 0.99) - 1]
    return Latencies(_CALL_COUNT / duration_s, statistics.median(times_ms), p99)


def measure_streams(fleet: Fleet, streams: int) -> StreamsRun:
    """Measure concurrent streams at the engine's pace."""
    entry = fleet.entries["entry"]
    pids = [agent.process.pid for agent in fleet.agents.values()]
    usage_before = read_usage(entry.process.pid), [read_usage(pid) for pid in pids]
    started = time.monotonic()
    gaps = measure_gaps(entry.caller_address, streams)
    duration_s = time.monotonic() - started
    usage_after = read_usage(entry.process.pid), [read_usage(pid) for pid in pids]
    entry_cpu_s = usage_after[0].cpu_s - usage_before[0].cpu_s
    agent_cpu_s = sum(
        new.cpu_s - old.cpu_s
        for new, old in zip(usage_after[1], usage_before[1], strict=True)
    )
    tokens = streams * _TOKENS_PER_STREAM
    return StreamsRun(
        streams,
        tokens / duration_s,
        _p95(gaps) * 1000,
        entry_cpu_s / duration_s,
        agent_cpu_s / duration_s / len(pids),
        entry_cpu_s / tokens * 1e6,
        agent_cpu_s / tokens * 1e6,
        usage_after[0].rss_mb,
    )


def measure_gaps(address: str, streams: int) -> list[float]:
    """Return the seconds between chunks of streams, read by several processes."""
    number_ranges = [
        range(n, streams, _CALLER_PROCESS_COUNT) for n in range(_CALLER_PROCESS_COUNT)
    ]
    with ProcessPoolExecutor(_CALLER_PROCESS_COUNT) as pool:
        gaps = pool.map(
            _measure_process_gaps, [address] * len(number_ranges), number_ranges
        )
        return [gap for process_gaps in gaps for gap in process_gaps]


def _p95(gaps: list[float]) -> float:
    return sorted(gaps)[int(len(gaps) * 0.95)]


def _measure_process_gaps(address: str, numbers: range) -> list[float]:
    """Read streams in a process of its own, so that callers don't slow each other."""
    with ThreadPoolExecutor(len(numbers)) as pool:
        gaps = pool.map(lambda number: _measure_stream_gaps(address, number), numbers)
        return [gap for stream_gaps in gaps for gap in stream_gaps]


def _measure_stream_gaps(address: str, number: int) -> list[float]:
    """Return the seconds between the chunks of one streamed answer."""
    body = {
        "prompt": f"stream {number}",
        "max_tokens": _TOKENS_PER_STREAM,
        "stream": True,
    }
    return Caller(_API_KEY).measure_chunk_gaps(address, _PATH, body)


def measure_idle(fleet: Fleet) -> dict[str, float]:
    """Return the processor share of an idle entry and an idle agent, by name."""
    process_by_name = {"entry": fleet.entries["entry"].process}
    process_by_name["agent"] = fleet.agents["server-0"].process
    usage_before = {
        name: read_usage(process.pid) for name, process in process_by_name.items()
    }
    time.sleep(_IDLE_MEASURED_S)
    return {
        name: (read_usage(process.pid).cpu_s - usage_before[name].cpu_s)
        / _IDLE_MEASURED_S
        for name, process in process_by_name.items()
    }


def main() -> None:
    """Print all figures of the path as Markdown tables."""
    with Fleet() as fleet:
        start_fleet(fleet, step_ms=1)
        direct_latencies = measure_calls(fleet.agents["server-0"].server_address)
        forwarded_latencies = measure_calls(fleet.entries["entry"].caller_address)
    _print_latencies(direct_latencies, forwarded_latencies)
    with Fleet() as fleet:
        start_fleet(fleet, step_ms=_STEP_MS)
        idle_shares = measure_idle(fleet)
        engine = fleet.agents["server-0"].server_address
        direct_gaps = measure_gaps(engine, _DIRECT_STREAM_COUNT)
        runs = [measure_streams(fleet, streams) for streams in (25, 75, 150, 300)]
    click.echo(
        f"\nGap p95 of {_DIRECT_STREAM_COUNT} streams from one engine directly: "
        f"{_p95(direct_gaps) * 1000:.1f} ms."
    )
    _print_streams(runs)
    for name, share in idle_shares.items():
        click.echo(f"\nIdle {name}: {share * 100:.2f}% of a core.")


def _print_latencies(direct: Latencies, forwarded: Latencies) -> None:
    click.echo(
        f"| one token, {_CALLER_COUNT} callers | requests/s | median ms | p99 ms |"
    )
    click.echo("| --- | --- | --- | --- |")
    for name, latencies in (
        ("engine directly", direct),
        ("entry and agent", forwarded),
    ):
        row = (
            f"{latencies.requests_per_s:.0f} | {latencies.median_ms:.1f} "
            f"| {latencies.p99_ms:.1f}"
        )
        click.echo(f"| {name} | {row} |")
    pairs = zip(forwarded, direct, strict=True)
    ratios = " | ".join(
        f"{forwarded_value / direct_value:.2f}"
        for forwarded_value, direct_value in pairs
    )
    click.echo(f"| ratio | {ratios} |")


def _print_streams(runs: list[StreamsRun]) -> None:
    click.echo(
        f"\n| streams at {_STEP_MS} ms | tokens/s | gap p95 ms | entry core share "
        "| agent core share | entry us/token | agent us/token | entry MB |"
    )
    click.echo("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for run in runs:
        click.echo(
            f"| {run.streams} | {run.tokens_per_s:.0f} | {run.gap_p95_ms:.1f} "
            f"| {run.entry_cpu_share:.2f} | {run.agent_cpu_share:.2f} "
            f"| {run.entry_cpu_us_per_token:.0f} | {run.agent_cpu_us_per_token:.0f} "
            f"| {run.entry_rss_mb:.0f} |"
        )


if __name__ == "__main__":
    main()
