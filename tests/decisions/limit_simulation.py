"""Simulation of entries that share one server's rate limit.

Entries learn the limit from their own answers and from their peers' heartbeats, which
are delayed and lost. Every entry sends as much as its share allows, so that the server
gets as many requests as it can ever get under the limit. Callers may be idle for a
while, which fills the entries' shares.
"""

from __future__ import annotations

import heapq
from itertools import count
from random import Random
from typing import NamedTuple

from msgspec import structs

from kingcupwheel.decisions.rate_limits import LimitReport
from kingcupwheel.decisions.rate_limits import RateLimits
from kingcupwheel.forwarding.peers import PeerTable
from kingcupwheel.messages.membership import EntryHeartbeat
from kingcupwheel.messages.membership import EntryInfo
from kingcupwheel.messages.membership import ServerLimitReport
from tests.standins.rate_limits import WINDOW_S
from tests.standins.rate_limits import allowed_requests
from tests.standins.rate_limits import most_requests_in_window


SERVER = "i-1@1"
STEP_S = 0.05
# The limit counts from this time after the server first named it.
LEARNING_S = 3.0
# Every entry's callers send so many requests per second while there is no limit.
UNLIMITED_RATE = 4.0
_MAX_LATENCY_S = 0.5
_DOWNTIME_S = 2.0


class Change(NamedTuple):
    """From ``at`` (seconds) on the server names ``rate``, or no limit if None."""

    at: float
    rate: float | None


class Fault(NamedTuple):
    """A fault of one entry: ``restart``, ``freeze``, ``cut`` or ``join``."""

    at: float
    entry: int
    kind: str
    duration_s: float = _DOWNTIME_S


class _Entry:
    def __init__(self, number: int, incarnation: int) -> None:
        self.info = EntryInfo(f"entry-{number}", f"10.0.0.{number}:1", "", "dc-1")
        self.incarnation = str(incarnation)
        self.peers = PeerTable(self.info)
        self.limits = RateLimits()
        self.heartbeat_at = float("-inf")


class LimitSimulation:
    """Runs the entries and records the ``arrivals`` at the server, by time."""

    def __init__(
        self,
        entry_count: int,
        changes: list[Change],
        faults: list[Fault] | None = None,
        *,
        seed: int = 0,
        loss: float = 0.0,
        idle: tuple[float, float] = (0.0, 0.0),
    ) -> None:
        self.arrivals: list[float] = []
        self._now = 0.0
        self._rng = Random(seed)
        self._loss = loss
        self._changes = changes
        self._faults = sorted(faults or [])
        self._idle = idle
        self._named_at: dict[float, float] = {}
        self._absent = {one.entry for one in self._faults if one.kind == "join"}
        self._paused_until: dict[int, float] = {}
        self._cut_until: dict[int, float] = {}
        self._incarnations = count(1)
        self._entries = [
            _Entry(number, next(self._incarnations)) for number in range(entry_count)
        ]
        self._order = count()
        self._events: list[tuple[float, int, object]] = []
        for entry in self._present():
            self._join(entry)

    def run(self, duration_s: float) -> None:
        """Run until ``duration_s`` seconds have been simulated."""
        for step in range(int(duration_s / STEP_S)):
            self._now = step * STEP_S
            self._apply_faults()
            self._deliver()
            for number, entry in enumerate(self._entries):
                if number in self._absent or self._is_paused(number):
                    continue
                self._send_heartbeats(number, entry)
                if not self._idle[0] <= self._now < self._idle[1]:
                    self._send_requests(number, entry)

    def find_violations(self, duration_s: float) -> list[str]:
        """Return a sentence for each period with more requests than allowed."""
        found = []
        ends = [change.at for change in self._changes[1:]] + [duration_s]
        for change, until in zip(self._changes, ends, strict=True):
            named_at = self._named_at.get(change.at)
            if change.rate is None or named_at is None:
                continue
            since = named_at + LEARNING_S
            counted = [at for at in self.arrivals if since <= at < until]
            most = most_requests_in_window(counted)
            allowed = allowed_requests(change.rate)
            if most > allowed:
                found.append(f"{most} requests in {WINDOW_S} s, {allowed} allowed")
        return found

    def _present(self) -> list[_Entry]:
        return [
            entry
            for number, entry in enumerate(self._entries)
            if number not in self._absent
        ]

    def _join(self, entry: _Entry) -> None:
        """Let a new process read the store's list of entries."""
        others = [one.info for one in self._present() if one is not entry]
        entry.peers.add_known(others, self._now)

    def _is_paused(self, number: int) -> bool:
        return self._now < self._paused_until.get(number, 0.0)

    def _is_cut(self, number: int) -> bool:
        return self._now < self._cut_until.get(number, 0.0)

    def _apply_faults(self) -> None:
        while self._faults and self._faults[0].at <= self._now:
            fault = self._faults.pop(0)
            number = fault.entry
            if fault.kind == "cut":
                self._cut_until[number] = self._now + fault.duration_s
                continue
            self._paused_until[number] = self._now + fault.duration_s
            if fault.kind in ("restart", "join"):
                self._absent.discard(number)
                self._entries[number] = _Entry(number, next(self._incarnations))
                self._join(self._entries[number])

    def _deliver(self) -> None:
        while self._events and self._events[0][0] <= self._now:
            _, _, event = heapq.heappop(self._events)
            match event:
                case (int() as number, str() as incarnation, EntryHeartbeat() as sent):
                    self._receive(number, incarnation, sent)
                case (
                    int() as number,
                    str() as incarnation,
                    float() as sent_at,
                    (float() | None) as rate,
                ):
                    entry = self._entries[number]
                    if entry.incarnation == incarnation and not self._is_paused(number):
                        entry.limits.record_answer(
                            SERVER, rate, sent_at=sent_at, now=self._now
                        )

    def _receive(self, number: int, incarnation: str, sent: EntryHeartbeat) -> None:
        entry = self._entries[number]
        if entry.incarnation != incarnation or self._is_paused(number):
            return
        entry.peers.record_heartbeat(sent, self._now)
        transit_s = self._now - sent.echo if sent.echo else float("inf")
        for report in sent.limits:
            entry.limits.record_report(
                LimitReport(*structs.astuple(report)),
                max_transit_s=transit_s,
                now=self._now,
            )

    def _send_heartbeats(self, number: int, entry: _Entry) -> None:
        if self._now - entry.heartbeat_at < entry.peers.heartbeat_interval_s():
            return
        entry.heartbeat_at = self._now
        entry.peers.mark_started(self._now)
        entry.peers.remove_expired(self._now)
        entry.limits.update_fleet(
            entry.peers.describe_fleet(self._now, has_read_list=True)
        )
        reports = tuple(
            ServerLimitReport(*one) for one in entry.limits.list_reports(self._now)
        )
        for peer in entry.peers.known_entries:
            target = int(peer.name.removeprefix("entry-"))
            is_lost = self._rng.random() < self._loss
            if is_lost or target in self._absent or self._is_cut(number):
                continue
            if self._is_cut(target):
                continue
            heartbeat = EntryHeartbeat(
                entry.info,
                entry.incarnation,
                False,  # noqa: FBT003
                self._now or 1e-9,
                entry.peers.echo_for(peer.name),
                1,
                0.0,
                (),
                (),
                reports,
            )
            self._schedule(
                self._rng.uniform(0.001, 0.3),
                (target, self._entries[target].incarnation, heartbeat),
            )

    def _send_requests(self, number: int, entry: _Entry) -> None:
        while True:
            access = entry.limits.get_access(SERVER, self._now)
            if access is None:
                if self._rng.random() < UNLIMITED_RATE * STEP_S:
                    self._send_request(number, entry)
                return
            if access.available_at > self._now:
                return
            entry.limits.acquire(SERVER, self._now)
            self._send_request(number, entry)

    def _send_request(self, number: int, entry: _Entry) -> None:
        self.arrivals.append(self._now)
        latency_s = self._rng.uniform(0.005, _MAX_LATENCY_S)
        rate = None
        in_force = [one for one in self._changes if one.at <= self._now]
        if in_force:
            rate = in_force[-1].rate
            self._named_at.setdefault(in_force[-1].at, self._now + latency_s)
        self._schedule(latency_s, (number, entry.incarnation, self._now, rate))

    def _schedule(self, delay_s: float, event: object) -> None:
        heapq.heappush(self._events, (self._now + delay_s, next(self._order), event))
