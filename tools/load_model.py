"""A seeded simulation of servers, entries and callers in model time.

It shows the effect of the decisions on callers, without sockets, processes or clocks. A
server batches continuously: all running requests advance by one token in a step, and
the duration of a step grows with their number.
"""

from __future__ import annotations

from collections import OrderedDict
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from heapq import heappop
from heapq import heappush
from itertools import count
from random import Random
from typing import TYPE_CHECKING

from kingcupwheel.plugins.registries import load_builtin_plugins
from tools.entry_model import LoadReport
from tools.entry_model import ModelEntry
from tools.split_model import AllowanceSplit


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from kingcupwheel.decisions.fair_queue import QueuedRequest
    from kingcupwheel.manifest.schema import Allowance
    from tools.entry_model import DecisionOptions


MODEL_STEP_S = 0.02
REPORT_INTERVAL_S = 1.0
MAX_MODEL_TIME_S = 300.0
PREFILL_STEPS_PER_TOKEN = 0.05
MAX_CACHED_PREFIXES = 12


@dataclass
class ModelRequest:
    """One call; ``deadline_s`` bounds the wait for the first token."""

    arrived_at: float
    organisation: str
    prompt_tokens: int
    answer_tokens: int
    deadline_s: float = 3.0
    prefix: str = ""
    max_caller_retries: int = 0
    arrival_count: int = 0
    first_token_at: float | None = None
    outcome: str = "open"
    refused_after_s: float = 0.0
    token_gap_s: float = 0.0
    server: str = ""

    @property
    def work(self) -> int:
        """Tokens of prompt and answer."""
        return self.prompt_tokens + self.answer_tokens

    @property
    def is_on_time(self) -> bool:
        """Whether it was answered completely with its first token by the deadline."""
        if self.outcome != "answered" or self.first_token_at is None:
            return False
        return self.first_token_at <= self.arrived_at + self.deadline_s


@dataclass(eq=False)
class Attempt:
    """One run of a request on a server."""

    request: ModelRequest
    queued_request: QueuedRequest
    entry: ModelEntry
    server: ModelServer
    sent_at: float
    excluded_servers: frozenset[str]
    first_token_at: float | None = None
    is_lost: bool = False


@dataclass(eq=False)
class ModelServer:
    """An engine; its steps take ``slowdown_factor`` times as long."""

    name: str
    data_centre: str
    capacity: int = 16
    slowdown_factor: float = 1.0
    is_failing: bool = False
    is_silent: bool = False
    is_reporting_idle: bool = False
    started_at: float = -1000.0
    running: list[tuple[float, int, Attempt]] = field(default_factory=list)
    queue: deque[Attempt] = field(default_factory=deque)
    elapsed_steps: float = 0.0
    cached_prefixes: OrderedDict[str, None] = field(default_factory=OrderedDict)
    attempt_serial: count[int] = field(default_factory=count)
    tokens_per_s: float = 0.0

    @property
    def step_s(self) -> float:
        """Duration of an engine step with the current batch."""
        return (0.010 + 0.001 * len(self.running)) * self.slowdown_factor

    def advance(self, now: float) -> list[Attempt]:
        """Run for one model step; return the attempts that ended."""
        if self.is_silent:
            return []
        if self.is_failing:
            lost = [*self.queue, *(attempt for _, _, attempt in self.running)]
            for attempt in lost:
                attempt.is_lost = True
            self.queue.clear()
            self.running.clear()
            return lost
        self.elapsed_steps += MODEL_STEP_S / self.step_s
        ended_attempts = []
        while self.running and self.running[0][0] <= self.elapsed_steps:
            ended_attempts.append(heappop(self.running)[2])
        while self.queue and len(self.running) < self.capacity:
            self._start(self.queue.popleft(), now)
        self.tokens_per_s = len(self.running) / self.step_s
        return ended_attempts

    def _start(self, attempt: Attempt, now: float) -> None:
        request = attempt.request
        prefill = request.prompt_tokens * PREFILL_STEPS_PER_TOKEN
        if request.prefix in self.cached_prefixes:
            prefill *= 0.1
        if request.prefix:
            self.cached_prefixes[request.prefix] = None
            self.cached_prefixes.move_to_end(request.prefix)
            if len(self.cached_prefixes) > MAX_CACHED_PREFIXES:
                self.cached_prefixes.popitem(last=False)
        attempt.first_token_at = now + (prefill + 1) * self.step_s
        end = self.elapsed_steps + prefill + request.answer_tokens
        heappush(self.running, (end, next(self.attempt_serial), attempt))

    def count_remaining_tokens(self) -> float:
        """Return the tokens that running and queued attempts still have to generate."""
        remaining_tokens = sum(end - self.elapsed_steps for end, _, _ in self.running)
        return remaining_tokens + sum(
            attempt.request.answer_tokens for attempt in self.queue
        )


class LoadModel:
    """A simulation of servers, entries and callers, advanced by ``run``."""

    def __init__(
        self,
        options: DecisionOptions,
        servers: Sequence[ModelServer],
        *,
        entries: int,
        seed: int,
        allowance_by_organisation: dict[str, Allowance],
    ) -> None:
        load_builtin_plugins()
        self.options = options
        self.random = Random(seed)
        self.servers = list(servers)
        self.server_by_name = {server.name: server for server in servers}
        data_centres = sorted({server.data_centre for server in servers})
        self.entries = [
            ModelEntry(
                f"entry-{number}", data_centres[number % len(data_centres)], self
            )
            for number in range(entries)
        ]
        self.splits = [
            AllowanceSplit(name, allowance, self.entries)
            for name, allowance in allowance_by_organisation.items()
        ]
        self._split_by_organisation = {
            split.organisation: split for split in self.splits
        }
        self.now = 0.0
        self.caller_retry_times: list[float] = []
        self._scheduled_calls: list[tuple[float, int, ModelRequest]] = []
        self._call_serial = count()

    def create_attempt(
        self,
        request: ModelRequest,
        queued_request: QueuedRequest,
        entry: ModelEntry,
        server: ModelServer,
        excluded_servers: frozenset[str],
    ) -> Attempt:
        """Return a new attempt, sent now."""
        return Attempt(
            request, queued_request, entry, server, self.now, excluded_servers
        )

    def schedule_caller_retry(self, request: ModelRequest, at: float) -> None:
        """Schedule a refused caller's retry at ``at``."""
        heappush(self._scheduled_calls, (at, next(self._call_serial), request))

    def run(
        self,
        requests: Sequence[ModelRequest],
        until_s: float,
        events: Sequence[tuple[float, Callable[[LoadModel], None]]] = (),
    ) -> None:
        """Advance to ``until_s`` or later; apply ``events`` at their times."""
        for request in requests:
            heappush(
                self._scheduled_calls,
                (request.arrived_at, next(self._call_serial), request),
            )
        pending_events = sorted(events, key=lambda event: event[0])
        while self.now < until_s or self._is_busy():
            self.now += MODEL_STEP_S
            while pending_events and pending_events[0][0] <= self.now:
                pending_events.pop(0)[1](self)
            self._send_reports()
            while self._scheduled_calls and self._scheduled_calls[0][0] <= self.now:
                _, _, request = heappop(self._scheduled_calls)
                if request.arrival_count:
                    self.caller_retry_times.append(self.now)
                request.arrived_at = self.now
                split = self._split_by_organisation[request.organisation]
                split.choose_entry(self.random).admit_request(request, self.now)
            for server in self.servers:
                for attempt in server.advance(self.now):
                    attempt.entry.handle_attempt_end(attempt, self.now)
            for entry in self.entries:
                entry.place_queued(self.now)

    def _is_busy(self) -> bool:
        if self.now > MAX_MODEL_TIME_S:
            return False
        return any(server.running and not server.is_silent for server in self.servers)

    def _send_reports(self) -> None:
        step_number = round(self.now / MODEL_STEP_S)
        steps_per_report = round(REPORT_INTERVAL_S / MODEL_STEP_S)
        for number, server in enumerate(self.servers):
            if server.is_silent or (step_number + number * 7) % steps_per_report:
                continue
            report = LoadReport(
                self.now,
                0 if server.is_reporting_idle else len(server.running),
                0 if server.is_reporting_idle else len(server.queue),
                0.0 if server.is_reporting_idle else server.count_remaining_tokens(),
                server.tokens_per_s,
            )
            for entry in self.entries:
                entry.receive_report(server, report)
        if step_number % steps_per_report == 0:
            for entry in self.entries:
                entry.fail_silent_attempts(self.now)
            if self.options.has_allowance_lending:
                for split in self.splits:
                    split.exchange_heartbeats(self.now)
