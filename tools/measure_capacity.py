"""Measures the slopes that ``tools.capacity`` computes the capacity page from.

``python -m tools.measure_capacity`` measures all of them and writes
``tools/capacity_slopes.json``; with ``--only KIND`` the other slopes are kept. A full
run takes about six minutes and starts up to a few dozen processes.
"""

from __future__ import annotations

import platform
import subprocess
from datetime import UTC
from datetime import datetime
from typing import TYPE_CHECKING
from typing import NamedTuple

import click

from tools import capacity_probes as probes
from tools.capacity_processes import IdleUsage
from tools.capacity_processes import collect_points
from tools.capacity_processes import measure_idle_agent
from tools.capacity_processes import measure_idle_entry
from tools.capacity_slopes import Point
from tools.capacity_slopes import Slope
from tools.capacity_slopes import Slopes
from tools.capacity_slopes import load_slopes
from tools.capacity_slopes import save_slopes
from tools.fleet import Fleet
from tools.measure_path import measure_streams
from tools.measure_path import start_fleet


if TYPE_CHECKING:
    from collections.abc import Callable

LINK_COUNTS = (12, 24, 48, 96)
_COMMAND = "python -m tools.measure_capacity"
_PARTS_COMMAND = f"{_COMMAND} --only parts"
_PROCESSES_COMMAND = f"{_COMMAND} --only processes"
_DATA_PATH_COMMAND = f"{_COMMAND} --only data-path"
STREAM_COUNTS = (25, 75, 150)
STEP_MS = 32
_MIB = 1024 * 1024


class Probe(NamedTuple):
    """Measurement of one part of the library, and the units of its points."""

    name: str
    unit: str
    size_unit: str
    run: Callable[[], list[Point]]


PROBES = (
    Probe("beat_bytes", "bytes", "suspects named", probes.heartbeat_bytes),
    Probe("hello_bytes", "bytes", "none", probes.hello_bytes),
    Probe("peer_beat_bytes", "bytes", "suspects named", probes.peer_heartbeat_bytes),
    Probe("instance_list_bytes", "bytes", "instances", probes.instance_list_bytes),
    Probe("instance_list_cpu", "ms", "instances", probes.instance_list_cpu),
    Probe(
        "entry_recorder_bytes",
        "bytes",
        "requests held",
        lambda: probes.recorder_bytes("entry"),
    ),
    Probe(
        "agent_recorder_bytes",
        "bytes",
        "requests held",
        lambda: probes.recorder_bytes("agent"),
    ),
    Probe("entry_trace_cpu", "ms", "requests", lambda: probes.trace_cpu("entry")),
    Probe("agent_trace_cpu", "ms", "requests", lambda: probes.trace_cpu("agent")),
    Probe(
        "entry_batch_bytes",
        "bytes",
        "requests in a batch",
        lambda: probes.batch_bytes("entry"),
    ),
    Probe(
        "agent_batch_bytes",
        "bytes",
        "requests in a batch",
        lambda: probes.batch_bytes("agent"),
    ),
    Probe("burn_cpu", "us", "gaps between tokens in a request", probes.burn_cpu),
    Probe("burn_part_bytes", "bytes", "organisations", probes.burn_part_bytes),
    Probe("burn_bytes", "bytes", "organisations", probes.burn_memory),
    Probe("organisations_bytes", "bytes", "organisations", probes.organisation_memory),
    Probe("shard_bytes", "bytes", "organisations", probes.shard_bytes),
    Probe("manifest_bytes", "bytes", "organisations", probes.manifest_bytes),
    Probe("share_bytes", "bytes", "organisations", probes.share_heartbeat_bytes),
    Probe("map_reply_bytes", "bytes", "experts", probes.map_reply_bytes),
)


class IdleFigure(NamedTuple):
    """One figure of the usage of a whole idle process."""

    name: str
    unit: str
    value: Callable[[IdleUsage], float]


IDLE_FIGURES = (
    IdleFigure("cpu", "share of a core", lambda usage: usage.cpu_share),
    IdleFigure("rss", "bytes", lambda usage: usage.rss_bytes),
    IdleFigure("messages_in", "a second", lambda usage: usage.messages_in_per_s),
    IdleFigure("messages_out", "a second", lambda usage: usage.messages_out_per_s),
    IdleFigure("bytes_in", "bytes a second", lambda usage: usage.bytes_in_per_s),
    IdleFigure("bytes_out", "bytes a second", lambda usage: usage.bytes_out_per_s),
)


def measure_parts() -> list[Slope]:
    """Measure parts of the library in this process."""
    slopes = []
    for probe in PROBES:
        click.echo(f"  {probe.name}")
        found = tuple(probe.run())
        slopes.append(
            Slope(probe.name, probe.unit, probe.size_unit, _PARTS_COMMAND, found)
        )
    return slopes


def measure_processes() -> list[Slope]:
    """Measure whole idle processes, one at a time."""
    slopes = []
    for role, measure in (("entry", measure_idle_entry), ("agent", measure_idle_agent)):
        usages = []
        for links in LINK_COUNTS:
            usages.append(measure(links))
            click.echo(f"  {role}: {usages[-1]}")
        slopes += [
            Slope(
                f"{role}_idle_{figure.name}",
                figure.unit,
                "links",
                _PROCESSES_COMMAND,
                collect_points(usages, figure.value),
            )
            for figure in IDLE_FIGURES
        ]
    return slopes


def measure_data_path() -> list[Slope]:
    """Measure an entry and its agents while they relay streams."""
    with Fleet() as fleet:
        start_fleet(fleet, step_ms=STEP_MS)
        runs = [measure_streams(fleet, streams) for streams in STREAM_COUNTS]
    for run in runs:
        click.echo(f"  {run}")
    agent_count = len(fleet.agents)
    entry_points = [Point(run.tokens_per_s, run.entry_cpu_share) for run in runs]
    agent_points = [
        Point(run.tokens_per_s / agent_count, run.agent_cpu_share) for run in runs
    ]
    memory_points = [Point(run.streams, run.entry_rss_mb * _MIB) for run in runs]
    cpu_unit, rate_unit = "share of a core", "tokens a second"
    return [
        Slope(
            "entry_stream_cpu",
            cpu_unit,
            rate_unit,
            _DATA_PATH_COMMAND,
            tuple(entry_points),
        ),
        Slope(
            "agent_stream_cpu",
            cpu_unit,
            rate_unit,
            _DATA_PATH_COMMAND,
            tuple(agent_points),
        ),
        Slope(
            "entry_stream_rss",
            "bytes",
            "streams",
            _DATA_PATH_COMMAND,
            tuple(memory_points),
        ),
    ]


KINDS: dict[str, Callable[[], list[Slope]]] = {
    "parts": measure_parts,
    "processes": measure_processes,
    "data-path": measure_data_path,
}


@click.command()
@click.option("--only", type=click.Choice(list(KINDS)))
def main(only: str | None) -> None:
    """Measure the slopes and write them."""
    slope_by_name = load_slopes().by_name if only else {}
    for kind, measure in KINDS.items():
        if only in (None, kind):
            slope_by_name |= {slope.name: slope for slope in measure()}
    save_slopes(
        Slopes(
            machine=f"{platform.machine()}, Python {platform.python_version()}",
            commit=_describe_commit(),
            measured_at=datetime.now(tz=UTC).strftime("%Y-%m-%d %H:%M UTC"),
            by_name=slope_by_name,
        )
    )


def _describe_commit() -> str:
    completed = subprocess.run(
        ["git", "describe", "--always", "--dirty"],
        capture_output=True,
        text=True,
        check=False,
    )
    return completed.stdout.strip()


if __name__ == "__main__":
    main()
