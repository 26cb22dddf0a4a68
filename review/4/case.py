"""The last entry outgrows its memory by requests that its configuration allows.

Five entries carry orders whose bodies are just below the largest that the configuration
allows, four at a time each. Four of them lose power, and their callers go to the last
one. It exceeds the memory of its machine, and the platform kills it with all that it
has in progress.
"""

from __future__ import annotations

import signal
import threading
from itertools import pairwise
from pathlib import Path

from review.harness2 import LIMITS
from review.harness2 import MEMORY_MB
from review.harness2 import Caller
from review.harness2 import Entry
from review.harness2 import Platform
from review.harness2 import Record
from review.harness2 import Server
from review.harness2 import configuration
from review.harness2 import has_trouble
from review.harness2 import run_case
from review.harness2 import wait_until


SERVICE = "portal"
SERVERS = 3
ENTRIES = 5
CALLERS_PER_ENTRY = 4
BODY_BYTES = 4_000_000
WORK_S = 0.5
PAUSE_S = 0.2
DEADLINE_MS = 8000
USUAL_S = 4.0
AFTER_S = 10.0
# More than three connections closed without an answer break the rule.
MAX_CLOSED = 3


def play(record: Record, scratch: Path, entries: list[Entry]) -> bool:
    """Play the case; return whether the rule was broken."""
    assert LIMITS["MaxBodyBytes"] >= BODY_BYTES, "the body is within the limit"
    platform = Platform(record)
    servers = [Server(f"i-{one}", record, work_s=WORK_S) for one in range(SERVERS)]
    for server in servers:
        platform.write("servers", server.instance, server.entry(SERVICE))
    route = configuration(SERVICE, TimeoutMs=DEADLINE_MS, TargetLatencyMs=2000)
    platform.write("config", "main", route)
    for number in range(1, ENTRIES + 1):
        entries.append(Entry(number, platform.open_path(), scratch, record))
    wait_until(lambda: all(one.is_ready() for one in entries), 45.0, "entries start")
    stopping = threading.Event()
    killed = threading.Event()
    peaks = dict.fromkeys((one.name for one in entries), 0.0)
    watch = threading.Thread(
        target=_enforce_memory, args=(entries, record, peaks, killed, stopping)
    )
    watch.start()
    callers = [
        Caller(f"c{number}-{entry.name}", entry, record)
        for entry in entries
        for number in range(CALLERS_PER_ENTRY)
    ]
    threads = [
        threading.Thread(target=_send_on, args=(one, stopping, killed), daemon=True)
        for one in callers
    ]
    for thread in threads:
        thread.start()
    last = entries[-1]
    killed.wait(USUAL_S)
    if has_trouble():
        for entry in entries[:-1]:
            entry.signal(signal.SIGKILL)
        # What the addresses page says from now on.
        for caller in callers:
            caller.move_to(last)
    killed.wait(AFTER_S)
    stopping.set()
    watch.join()
    for thread in threads:
        thread.join(DEADLINE_MS / 1000 + 2.0)
    run_ids = {one.id for server in servers for one in server.arrivals if one.has_run}
    replies = [reply for one in callers for reply in one.replies]
    # On a kept connection the request before was answered by the same entry.
    closed = [
        one.id
        for caller in callers
        for before, one in pairwise(caller.replies)
        if before.entry == one.entry == last.name
        and before.status
        and not one.status
        and one.id in run_ids
    ]
    record.say(
        f"{len(replies)} requests; {last.name} took at most {peaks[last.name]:.0f} MB "
        f"of {MEMORY_MB}, the others {max(peaks[one.name] for one in entries[:-1]):.0f}"
    )
    record.say(
        f"{last.name} was killed for its memory: {killed.is_set()}; it closed "
        f"{len(closed)} kept connections without an answer to a request that a sound "
        "server was running"
    )
    return len(closed) > MAX_CLOSED


def _enforce_memory(
    entries: list[Entry],
    record: Record,
    peaks: dict[str, float],
    killed: threading.Event,
    stopping: threading.Event,
) -> None:
    """Kill an entry that exceeds the memory of its machine, as the platform does.

    Counted is its own memory alone, without shared pages and unread bytes.
    """
    while not stopping.wait(0.02):
        for entry in entries:
            used_mb = entry.memory_mb
            peaks[entry.name] = max(peaks[entry.name], used_mb)
            if used_mb > MEMORY_MB:
                record.write("over-memory", entry=entry.name, mb=round(used_mb))
                entry.signal(signal.SIGKILL)
                killed.set()
                return


def _send_on(
    caller: Caller, stopping: threading.Event, killed: threading.Event
) -> None:
    body = b"x" * BODY_BYTES
    while not stopping.wait(PAUSE_S) and not killed.is_set():
        caller.send(body=body, deadline_ms=DEADLINE_MS)


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
