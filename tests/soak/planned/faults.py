"""Planned work of the soak, drawn from a seed: stops, leaving and resting servers."""

from __future__ import annotations

import time
from functools import partial
from threading import Thread
from typing import TYPE_CHECKING

from tests.soak.planned.fleet import MAX_WORK_S
from tests.soak.planned.fleet import SHUTDOWN_GRACE_S


if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from tests.soak.planned.fleet import PlannedFleet

# A pause between two faults: some overlap, some find a fleet at rest.
MIN_PAUSE_S = 0.05
MAX_PAUSE_S = 1.5
# Between two of a series of stops: often all of them are asked within one grace.
MAX_STOP_INTERVAL_S = 0.9
# A server goes on serving for so long after its word that it leaves.
MIN_LEAVING_S = 1.5
MAX_LEAVING_S = 4.0
MAX_DOWNTIME_S = 1.5
RETRY_AFTER_CHOICES_S = (1.0, 2.0, 3.0)
MAX_FAULT_S = 4.0
# Servers that may be in trouble at once; the others can answer.
MAX_FAULTY_SERVERS = 4


class PlannedWorkInjector:
    """Brings one fault after another; ``told`` is what it did, for the report."""

    def __init__(self, fleet: PlannedFleet, draw: Random) -> None:
        self._fleet = fleet
        self._draw = draw
        self.event_log: list[str] = []
        self._faulty_servers: set[int] = set()
        self._threads: list[Thread] = []
        self._fault_kinds: tuple[Callable[[], None], ...] = (
            self._stop_one,
            self._stop_one,
            self._stop_several,
            self._stop_several,
            self._stop_twice,
            self._kill,
            self._send_sighup,
            self._start_leaving,
            self._start_leaving,
            self._start_leaving,
            self._reject_with_retry_after,
            self._reject_with_retry_after,
            self._reject_with_retry_after,
            self._end_server,
            self._slow_down_server,
        )

    def inject(self, count: int) -> None:
        """Bring ``count`` faults and wait until each is over."""
        for _ in range(count):
            self._draw.choice(self._fault_kinds)()
            time.sleep(self._draw.uniform(MIN_PAUSE_S, MAX_PAUSE_S))
        for thread in self._threads:
            thread.join()

    def _log(self, event: str) -> None:
        self.event_log.append(
            f"{time.monotonic() - self._fleet.started_at:8.3f} s  {event}"
        )

    def _run_in_thread(self, target: Callable[[], None]) -> None:
        thread = Thread(target=target)
        thread.start()
        self._threads.append(thread)

    def _stop_one(self) -> None:
        entry = self._draw.choice(self._fleet.entries)
        self._log(f"SIGTERM to {entry.name}")
        entry.terminate()

    def _stop_several(self) -> None:
        """Stop several entries one after the other, as a rolling restart does."""
        count = self._draw.choice((2, 3))
        for entry in self._draw.sample(self._fleet.entries, count):
            self._log(f"SIGTERM to {entry.name}")
            entry.terminate()
            time.sleep(self._draw.uniform(0.0, MAX_STOP_INTERVAL_S))

    def _stop_twice(self) -> None:
        entry = self._draw.choice(self._fleet.entries)
        self._log(f"SIGTERM to {entry.name}, and again")
        entry.terminate()
        time.sleep(self._draw.uniform(0.0, SHUTDOWN_GRACE_S / 2))
        entry.terminate()

    def _kill(self) -> None:
        entry = self._draw.choice(self._fleet.entries)
        self._log(f"SIGKILL to {entry.name}")
        entry.kill()

    def _send_sighup(self) -> None:
        entry = self._draw.choice(self._fleet.entries)
        self._log(f"SIGHUP to {entry.name}")
        entry.send_sighup()

    def _reserve_healthy_server(self) -> int | None:
        """Return a server that is in no trouble, and note that it is; None if few."""
        sound = [
            number
            for number in range(len(self._fleet.servers))
            if number not in self._faulty_servers
        ]
        if len(self._faulty_servers) >= MAX_FAULTY_SERVERS:
            return None
        number = self._draw.choice(sound)
        self._faulty_servers.add(number)
        return number

    def _start_leaving(self) -> None:
        """Let a server leave: by its entry, its answers, both, or no word at all."""
        number = self._reserve_healthy_server()
        if number is None:
            return
        way = self._draw.choice(("entry", "answers", "both", "answers, unlisted"))
        late_s = self._draw.uniform(0.0, 0.5)
        stays_s = self._draw.uniform(MIN_LEAVING_S, MAX_LEAVING_S)
        away_s = self._draw.uniform(0.1, MAX_DOWNTIME_S)
        self._log(f"server i-{number} leaves for {stays_s:.1f} s, told by {way}")
        self._run_in_thread(
            partial(self._run_leaving, number, way, late_s, stays_s, away_s)
        )

    def _run_leaving(
        self,
        number: int,
        announced_by: str,
        announce_delay_s: float,
        leaving_s: float,
        downtime_s: float,
    ) -> None:
        fleet = self._fleet
        if announced_by in ("entry", "both"):
            fleet.announce_drain(number)
        if announced_by == "answers, unlisted":
            fleet.remove_store_entry(number)
        time.sleep(announce_delay_s)
        if announced_by != "entry":
            fleet.servers[number].announces_leaving = True
        time.sleep(leaving_s)
        self._end_and_restart(
            number, downtime_s, removes_entry=announced_by != "answers, unlisted"
        )

    def _end_server(self) -> None:
        """Let a server end without a word and come back as a new life."""
        number = self._reserve_healthy_server()
        if number is None:
            return
        away_s = self._draw.uniform(0.1, MAX_DOWNTIME_S)
        self._log(f"server i-{number} ends for {away_s:.1f} s")
        keeps_entry = self._draw.random() < 0.5
        self._run_in_thread(
            partial(
                self._end_and_restart, number, away_s, removes_entry=not keeps_entry
            )
        )

    def _end_and_restart(
        self, number: int, downtime_s: float, *, removes_entry: bool
    ) -> None:
        fleet = self._fleet
        fleet.end_server(number)
        if removes_entry:
            fleet.remove_store_entry(number)
        time.sleep(downtime_s)
        fleet.restart_server(number)
        self._log(f"server {fleet.servers[number].incarnation} is there")
        self._faulty_servers.discard(number)

    def _reject_with_retry_after(self) -> None:
        """Let a server, or a few, turn requests away and ask for rest."""
        for _ in range(self._draw.choice((1, 1, 3))):
            number = self._reserve_healthy_server()
            if number is None:
                return
            rest_s = self._draw.choice(RETRY_AFTER_CHOICES_S)
            lasts_s = self._draw.uniform(0.2, MAX_FAULT_S)
            what = f"turns away for {lasts_s:.1f} s, asks for {rest_s:g} s"
            self._log(f"server i-{number} {what}")
            self._fleet.servers[number].retry_after_s = rest_s
            self._run_in_thread(partial(self._end_server_fault, number, lasts_s))

    def _slow_down_server(self) -> None:
        number = self._reserve_healthy_server()
        if number is None:
            return
        slower_s = self._draw.uniform(0.3, MAX_WORK_S)
        lasts_s = self._draw.uniform(0.2, MAX_FAULT_S)
        self._log(f"server i-{number} {slower_s:.1f} s slower for {lasts_s:.1f} s")
        self._fleet.servers[number].extra_delay_s = slower_s
        self._run_in_thread(partial(self._end_server_fault, number, lasts_s))

    def _end_server_fault(self, number: int, duration_s: float) -> None:
        time.sleep(duration_s)
        server = self._fleet.servers[number]
        server.retry_after_s = server.extra_delay_s = 0.0
        self._log(f"server i-{number} has recovered")
        self._faulty_servers.discard(number)
