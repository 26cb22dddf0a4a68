"""Stand-in of a group of ranks that run an expert map in lock-step, in one process.

``python -m tests.standins.ranks --ranks N`` prints ``IP:port`` of each rank.
``POST /test/switch`` takes a ``RankSwitch`` as JSON; ``GET /test/steps`` returns a
``StepReport``.
"""

from __future__ import annotations

import random
import threading
import time
from http.server import BaseHTTPRequestHandler
from http.server import ThreadingHTTPServer
from typing import Any

import click
import msgspec

from kingcupwheel.expertmaps.maps import NO_VERSION
from kingcupwheel.expertmaps.maps import count_replicas
from kingcupwheel.expertmaps.protocol import AnyOrder
from kingcupwheel.expertmaps.protocol import AnyReply
from kingcupwheel.expertmaps.protocol import ExpertLoadsReply
from kingcupwheel.expertmaps.protocol import ExpertLoadsRequest
from kingcupwheel.expertmaps.protocol import RefusalReason
from kingcupwheel.expertmaps.protocol import RefusalReply
from kingcupwheel.expertmaps.protocol import StateRequest
from kingcupwheel.expertmaps.protocol import version_of
from kingcupwheel.expertmaps.rank_state import RankState
from kingcupwheel.expertmaps.rank_state import apply_order


# Tokens per step through an expert of popularity 1.
TOKENS_PER_EXPERT = 32


class RankCall(msgspec.Struct):
    fence: int
    order: AnyOrder


class RankSwitch(msgspec.Struct):
    """A change to one rank; ``hot`` experts become ``factor`` times as popular.

    Orders take effect after ``late_s`` and their answers are lost. Fields that are None
    change nothing.
    """

    refuse: bool | None = None
    stall_s: float = 0.0
    late_s: float | None = None
    ignore_fences: bool | None = None
    restart: bool = False
    hot: tuple[int, ...] = ()
    factor: float = 1.0


class StepReport(msgspec.Struct):
    """Steps of the group; ``mixed`` are (incarnation, step) that ran on two maps."""

    steps: int
    runs: int
    mixed: list[tuple[int, int]]
    longest_stall_s: float
    steps_by_map: dict[str, int]


class Rank:
    def __init__(self) -> None:
        self.state = RankState()
        self.fence = 0
        self.incarnation = 0
        self.refuses_orders = False
        self.order_delay_s = 0.0
        self.ignores_fences = False
        self.stalled_until = 0.0
        self.counts_map_version = NO_VERSION
        self.counted_step_count = 0


class RankGroup:
    """All ranks, under one lock; a rank steps once all others ran the previous step.

    The restart of a rank starts a new incarnation of the group, which repeats the step
    that not all ranks had run.
    """

    def __init__(self, *, ranks: int, experts: int, step_s: float) -> None:
        self.lock = threading.Lock()
        self.ranks = [Rank() for _ in range(ranks)]
        self.step_s = step_s
        self.incarnation = 0
        self.popularity_by_expert = [1.0] * experts
        self.rng = random.Random(1)
        self.maps_by_step: dict[tuple[int, int], set[str]] = {}
        self.steps_by_map: dict[str, int] = {}
        self.run_count = 0
        self.ended_step_count = 0
        self.last_step_ended_at: float | None = None
        self.longest_stall_s = 0.0

    def run(self) -> None:
        while True:
            time.sleep(self.step_s)
            with self.lock:
                self._step(time.monotonic())

    def _step(self, now: float) -> None:
        lowest = min(rank.state.step for rank in self.ranks)
        for number, rank in enumerate(self.ranks):
            ready = rank.state.may_run and now >= rank.stalled_until
            if rank.state.step == lowest and ready:
                self._run_step(number, rank)
        if min(rank.state.step for rank in self.ranks) == lowest:
            return
        self.ended_step_count += 1
        if self.last_step_ended_at is not None:
            self.longest_stall_s = max(
                self.longest_stall_s, now - self.last_step_ended_at
            )
        self.last_step_ended_at = now

    def _run_step(self, number: int, rank: Rank) -> None:
        in_force = rank.state.map_in_force
        assert in_force is not None
        origin = str(in_force.origin_version)
        self.maps_by_step.setdefault((self.incarnation, rank.state.step), set()).add(
            origin
        )
        self.steps_by_map[origin] = self.steps_by_map.get(origin, 0) + 1
        if rank.counts_map_version != in_force.origin_version:
            rank.counts_map_version, rank.counted_step_count = (
                in_force.origin_version,
                0,
            )
        rank.counted_step_count += 1
        self.run_count += 1
        rank.state = rank.state._replace(step=rank.state.step + 1)

    def apply_switch(self, rank: Rank, switch: RankSwitch) -> None:
        rank.refuses_orders = (
            rank.refuses_orders if switch.refuse is None else switch.refuse
        )
        rank.order_delay_s = (
            rank.order_delay_s if switch.late_s is None else switch.late_s
        )
        if switch.ignore_fences is not None:
            rank.ignores_fences = switch.ignore_fences
        rank.stalled_until = time.monotonic() + switch.stall_s
        for expert in switch.hot:
            self.popularity_by_expert[expert] *= switch.factor
        if switch.restart:
            self._restart(rank)

    def _restart(self, rank: Rank) -> None:
        self.incarnation += 1
        lowest = min(other.state.step for other in self.ranks)
        for other in self.ranks:
            other.state = other.state._replace(step=lowest)
        rank.state = RankState(step=lowest, incarnation=str(self.incarnation))
        rank.incarnation += 1
        rank.fence = 0

    def handle_order(self, number: int, call: RankCall) -> AnyReply | None:
        """Execute an order at a rank; return None if its answer is lost."""
        rank = self.ranks[number]
        with self.lock:
            incarnation, delay_s = rank.incarnation, rank.order_delay_s
        is_read = isinstance(call.order, StateRequest | ExpertLoadsRequest)
        if delay_s and not is_read:
            time.sleep(delay_s)
        with self.lock:
            if incarnation != rank.incarnation:
                return None
            reply = self._apply(number, rank, call)
        return None if delay_s and not is_read else reply

    def _apply(self, number: int, rank: Rank, call: RankCall) -> AnyReply:
        match call.order:
            case ExpertLoadsRequest(round_):
                return ExpertLoadsReply(
                    round_,
                    rank.counts_map_version,
                    self._build_token_counts(number, rank),
                )
            case StateRequest():
                return apply_order(rank.state, call.order)[1]
        version = version_of(call.order)
        if rank.refuses_orders:
            return RefusalReply(version, RefusalReason.ENGINE_REFUSED)
        if call.fence < rank.fence and not rank.ignores_fences:
            return RefusalReply(version, RefusalReason.STALE_FENCE)
        rank.fence = max(rank.fence, call.fence)
        rank.state, reply = apply_order(rank.state, call.order)
        return reply

    def _build_token_counts(
        self, number: int, rank: Rank
    ) -> tuple[tuple[int, ...], ...]:
        """Return the tokens per slot of the rank, split evenly over replicas."""
        steps, rank.counted_step_count = rank.counted_step_count, 0
        in_force = rank.state.map_in_force
        if in_force is None or in_force.origin_version != rank.counts_map_version:
            return ()
        layers = []
        for layer in in_force.map.layers:
            replicas = count_replicas(layer, in_force.map.expert_count)
            layers.append(
                tuple(
                    int(
                        TOKENS_PER_EXPERT
                        * steps
                        * self._draw_popularity(expert)
                        / replicas[expert]
                    )
                    for expert in layer[number]
                )
            )
        return tuple(layers)

    def _draw_popularity(self, expert: int) -> float:
        return self.popularity_by_expert[expert] * self.rng.uniform(0.9, 1.1)

    def build_step_report(self) -> StepReport:
        with self.lock:
            mixed = [step for step, maps in self.maps_by_step.items() if len(maps) > 1]
            return StepReport(
                self.ended_step_count,
                self.run_count,
                mixed,
                self.longest_stall_s,
                dict(self.steps_by_map),
            )


class RankServer(ThreadingHTTPServer):
    daemon_threads = True

    def __init__(self, group: RankGroup, number: int) -> None:
        super().__init__(("127.0.0.1", 0), RankHandler)
        self.group = group
        self.number = number

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.server_address[1]}"


class RankHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    server: RankServer

    def do_GET(self) -> None:
        path, _, query = self.path.partition("?")
        parameters = dict(pair.split("=") for pair in query.split("&") if pair)
        number = int(parameters.get("round", "0"))
        match path:
            case "/rank/state":
                whole = parameters.get("whole") == "1"
                self._handle_call(RankCall(0, StateRequest(number, whole)))
            case "/rank/loads":
                self._handle_call(RankCall(0, ExpertLoadsRequest(number)))
            case "/test/steps":
                self._send_json(200, self.server.group.build_step_report())
            case _:
                self._send_json(404, None)

    def do_POST(self) -> None:
        body = self.rfile.read(int(self.headers.get("Content-Length", "0")))
        group = self.server.group
        if self.path == "/test/switch":
            with group.lock:
                rank = group.ranks[self.server.number]
                group.apply_switch(rank, msgspec.json.decode(body, type=RankSwitch))
            self._send_json(200, None)
            return
        self._handle_call(msgspec.json.decode(body, type=RankCall))

    def _handle_call(self, call: RankCall) -> None:
        reply = self.server.group.handle_order(self.server.number, call)
        if reply is None:
            self.close_connection = True
            return
        self._send_json(200, reply)

    def _send_json(self, status: int, value: Any) -> None:
        body = msgspec.json.encode(value)
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, format: str, *args: object) -> None:
        del format, args


def start_rank_servers(group: RankGroup) -> list[RankServer]:
    """Serve each rank on its own port and start the steps of the group."""
    servers = [RankServer(group, number) for number in range(len(group.ranks))]
    for server in servers:
        threading.Thread(target=server.serve_forever, daemon=True).start()
    threading.Thread(target=group.run, daemon=True).start()
    return servers


@click.command()
@click.option("--ranks", default=2)
@click.option("--experts", default=8)
@click.option("--step-ms", default=5.0)
@click.option("--ignore-fences", is_flag=True)
def main(ranks: int, experts: int, step_ms: float, ignore_fences: bool) -> None:
    group = RankGroup(ranks=ranks, experts=experts, step_s=step_ms / 1000)
    for rank in group.ranks:
        rank.ignores_fences = ignore_fences
    for server in start_rank_servers(group):
        print(server.address, flush=True)
    threading.Event().wait()


if __name__ == "__main__":
    main()
