"""A server whose entry was removed still gets requests, seconds after its time.

All open connections between the entries and the store go silent; new ones work. Half a
second later one of three servers leaves without having said that it drains: its entry
is removed. The store serves all the while.
"""

from __future__ import annotations

import threading
import time
from pathlib import Path

from review.harness2 import DRAIN_S
from review.harness2 import STABLE_S
from review.harness2 import Caller
from review.harness2 import Entry
from review.harness2 import Platform
from review.harness2 import Record
from review.harness2 import Server
from review.harness2 import configuration
from review.harness2 import has_trouble
from review.harness2 import run_case
from review.harness2 import wait_until
from tests.standins.relay import RelayMode


SERVICE = "portal"
ENTRIES = 2
CALLERS_PER_ENTRY = 6
WORK_S = 0.25
PAUSE_S = 0.1
# Between the silence and the removal of the server's entry.
LEAVES_AFTER_S = 0.5
# A leaving server serves for the time to drain, "and a little longer (at times many
# seconds)".
LINGERS_S = 1.5
# For a late thread of the stand-ins.
SLACK_S = 0.1


def play(record: Record, scratch: Path, entries: list[Entry]) -> bool:
    """Play the case; return whether the rule was broken."""
    platform = Platform(record)
    servers = [Server(f"i-{one}", record, work_s=WORK_S) for one in range(3)]
    for server in servers:
        platform.write("servers", server.instance, server.entry(SERVICE))
    platform.write("config", "main", configuration(SERVICE))
    for number in range(1, ENTRIES + 1):
        entries.append(Entry(number, platform.open_path(), scratch, record))
    wait_until(lambda: all(one.is_ready() for one in entries), 45.0, "entries start")
    stopping = threading.Event()
    callers = [
        Caller(f"c{number}-{entry.name}", entry, record)
        for entry in entries
        for number in range(CALLERS_PER_ENTRY)
    ]
    threads = [
        threading.Thread(target=_send_on, args=(one, stopping), daemon=True)
        for one in callers
    ]
    for thread in threads:
        thread.start()
    time.sleep(6.0)
    silent_at = time.monotonic()
    if has_trouble():
        record.write("connections-go-silent")
        for relay in platform.relays:
            relay.set_mode(RelayMode.FREEZE_OPEN)
            relay.set_mode(RelayMode.PASS)
    time.sleep(LEAVES_AFTER_S)
    leaving = servers[0]
    removed_at = platform.remove("servers", leaving.instance)
    time.sleep(DRAIN_S + LINGERS_S)
    record.write("server-ends", server=leaving.instance)
    leaving.end()
    time.sleep(1.0)
    stopping.set()
    for thread in threads:
        thread.join(6.0)
    # A machine whose connections went silent is in touch again after STABLE_S.
    late_from = max(removed_at + DRAIN_S, silent_at + STABLE_S) + SLACK_S
    sent_at = {reply.id: reply.sent_at for one in callers for reply in one.replies}
    late = [
        one
        for one in leaving.arrivals
        if one.has_run and min(one.at, sent_at.get(one.id, one.at)) > late_from
    ]
    statuses = {reply.id: reply.status for one in callers for reply in one.replies}
    lost = [one.id for one in late if statuses.get(one.id) != 200]
    last_s = max((one.at for one in leaving.arrivals), default=0.0) - removed_at
    record.say(
        f"{sum(len(one.replies) for one in callers)} requests; the last one reached "
        f"the removed server {last_s:.2f} s after its removal was acknowledged"
    )
    record.say(
        f"{len(late)} requests that were sent by machines in touch reached it later "
        f"than {DRAIN_S} s; {len(lost)} of them got no answer of it"
    )
    return bool(late)


def _send_on(caller: Caller, stopping: threading.Event) -> None:
    while not stopping.wait(PAUSE_S):
        caller.send()


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
