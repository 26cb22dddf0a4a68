"""Measures the usage of whole idle processes by the number of their links."""

from __future__ import annotations

import os
import time
from pathlib import Path
from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.link.links import TrafficCounts
from tools.capacity_slopes import Point
from tools.fleet import Fleet
from tools.processes import Process
from tools.processes import wait_until


if TYPE_CHECKING:
    from collections.abc import Callable

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# Fields of /proc/PID/stat after the command's closing bracket, see proc(5).
_UTIME, _STIME, _RSS = 11, 12, 21
_MEASURED_S = 15.0
_SETTLE_S = 5.0
_START_TIMEOUT_S = 30.0
# A line that took longer than this to arrive was not buffered in the pipe.
_BUFFERED_LINE_MAX_S = 0.05


class ProcessUsage(NamedTuple):
    """Processor time since the process started, and its resident memory."""

    cpu_s: float
    rss_bytes: int


class IdleUsage(NamedTuple):
    """Usage of a process that has ``links`` links and receives no requests.

    ``cpu_share`` is a fraction of one core; message and byte rates are per second over
    all links, and bytes count only the payload of the messages.
    """

    links: int
    cpu_share: float
    rss_bytes: int
    messages_in_per_s: float
    messages_out_per_s: float
    bytes_in_per_s: float
    bytes_out_per_s: float


def read_usage(pid: int) -> ProcessUsage:
    """Return the usage of the process ``pid``, which this process started."""
    text = Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[_UTIME]) + int(fields[_STIME])
    return ProcessUsage(ticks / _TICKS_PER_S, int(fields[_RSS]) * _PAGE_BYTES)


def measure_idle_entry(links: int) -> IdleUsage:
    """Measure an idle entry that keeps links to ``links`` agent stand-ins."""
    with Fleet() as fleet:
        crowd = _start_crowd(fleet, "agents", str(links))
        addresses = crowd.read_line().split()
        entry = fleet.add_entry("entry-1", limits={"subset": links})
        for number, address in enumerate(addresses):
            fleet.register_instance(
                f"agents-{number}", "agent", "group", "dc-1", address
            )
        return _measure_idle(entry.process, crowd, links)


def measure_idle_agent(links: int) -> IdleUsage:
    """Measure an idle agent that ``links`` entry stand-ins keep links to."""
    with Fleet() as fleet:
        agent = fleet.add_agent("agent-1", "group")
        crowd = _start_crowd(fleet, "entries", str(links), agent.address)
        crowd.read_line()
        return _measure_idle(agent.process, crowd, links)


def collect_points(
    usages: list[IdleUsage], value: Callable[[IdleUsage], float]
) -> tuple[Point, ...]:
    """Return one figure of each measurement by its number of links."""
    return tuple(Point(usage.links, value(usage)) for usage in usages)


def _start_crowd(fleet: Fleet, *arguments: str) -> Process:
    log = fleet.folder / "crowd.log"
    crowd = Process("crowd", ("tools.capacity_crowd", *arguments), log)
    fleet.stand_ins["crowd"] = crowd
    return crowd


def _measure_idle(process: Process, crowd: Process, links: int) -> IdleUsage:
    wait_until(
        lambda: _read_traffic(crowd).messages_in >= 2 * links,
        "heartbeats",
        _START_TIMEOUT_S,
    )
    time.sleep(_SETTLE_S)
    usage_before, traffic_before, started = (
        read_usage(process.pid),
        _read_latest_traffic(crowd),
        time.monotonic(),
    )
    time.sleep(_MEASURED_S)
    usage_after, traffic_after, duration_s = (
        read_usage(process.pid),
        _read_latest_traffic(crowd),
        time.monotonic() - started,
    )
    return IdleUsage(
        links,
        (usage_after.cpu_s - usage_before.cpu_s) / duration_s,
        usage_after.rss_bytes,
        (traffic_after.messages_out - traffic_before.messages_out) / duration_s,
        (traffic_after.messages_in - traffic_before.messages_in) / duration_s,
        (traffic_after.bytes_out - traffic_before.bytes_out) / duration_s,
        (traffic_after.bytes_in - traffic_before.bytes_in) / duration_s,
    )


def _read_traffic(crowd: Process) -> TrafficCounts:
    return TrafficCounts(*map(int, crowd.read_line().split()))


def _read_latest_traffic(crowd: Process) -> TrafficCounts:
    """Return the next line that was not buffered; the crowd prints one a second."""
    while True:
        started = time.monotonic()
        traffic = _read_traffic(crowd)
        if time.monotonic() - started > _BUFFERED_LINE_MAX_S:
            return traffic
