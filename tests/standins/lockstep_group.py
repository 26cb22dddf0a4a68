"""Stand-in of a lock-step group whose ranks accept delayed orders from any sender."""

from __future__ import annotations

import json
import random
from threading import Event
from threading import RLock
from threading import Thread
from threading import Timer
from typing import Any

from tests.standins.http_server import Handler
from tests.standins.http_server import HttpStandIn


STEP_INTERVAL_S = 0.005
COPY_DURATION_S = 0.05


class _Handler(Handler):
    stand_in: RankStandIn

    def do_GET(self) -> None:  # noqa: N802
        rank = self.stand_in
        if self._drop_if_frozen(rank):
            return
        if self.path == "/v1/report":
            self.reply_json(rank.build_report())
        elif self.path == "/v1/picked":
            self.reply_json(rank.build_token_counts())
        else:
            self.reply_json(rank.build_placement())

    def _drop_if_frozen(self, rank: RankStandIn) -> bool:
        if rank.is_frozen.is_set():
            self.close_connection = True
        return rank.is_frozen.is_set()

    def do_POST(self) -> None:  # noqa: N802
        order = json.loads(self.read_body())
        if self._drop_if_frozen(self.stand_in):
            return
        status = self.stand_in.receive_order(order)
        if status == 0:
            self.close_connection = True
            self.connection.close()
            return
        self.reply(status, b"")


class RankStandIn(HttpStandIn):
    """One rank; all ranks of a group use the same port, each on its own IP."""

    def __init__(self, group: GroupStandIn, number: int, host: str, port: int) -> None:
        super().__init__(_Handler, host, port)
        self.group = group
        self.number = number
        self.map_version = 0
        self.prepared_version = 0
        self.armed_switch: tuple[int, int] | None = None
        self.highest_prepared_version = 0
        self.is_copying = False
        self.held_step: int | None = None
        self.map_by_version: dict[int, Any] = {0: group.initial_map}
        self.token_counts = [0] * (group.layers * group.experts)
        self.order_loss_rate = 0.0
        # Whether the rank stops answering as soon as it has prepared a version.
        self.freezes_when_prepared = False
        self.is_frozen = Event()

    def build_report(self) -> dict[str, Any]:
        with self.group.lock:
            armed = self.armed_switch
            if self.freezes_when_prepared and self.prepared_version:
                # This report is still sent.
                self.is_frozen.set()
            return {
                "group": {
                    "Name": "g",
                    "epoch": self.group.epoch,
                    "rank": self.number,
                    "State": "open",
                },
                "size": len(self.group.ranks),
                "InFlight": 1,
                "QueueDepth": 0,
                "pace": 1.0,
                "step": self.group.step,
                "Map": self.map_version,
                "Prepared": self.prepared_version or None,
                "Armed": {"Version": armed[0], "step": armed[1]} if armed else None,
                "held": self.held_step,
            }

    def build_token_counts(self) -> dict[str, Any]:
        with self.group.lock:
            counts = list(self.token_counts)
        return {"step": 0, "epoch": self.group.epoch, "Counts": counts}

    def build_placement(self) -> dict[str, Any]:
        with self.group.lock:
            layers = self.map_by_version[self.map_version]
            experts = [layer[self.number] for layer in layers]
        current = {"Version": self.map_version, "Experts": experts}
        return {"epoch": self.group.epoch, "Map": current, "Prepared": None}

    def receive_order(self, order: dict[str, Any]) -> int:
        """Execute the order; or return 0, as for a lost order, and execute it later."""
        if random.random() < self.order_loss_rate:
            Timer(random.uniform(0.05, 0.5), self.execute_order, (order,)).start()
            return 0
        return self.execute_order(order)

    def execute_order(self, order: dict[str, Any]) -> int:
        with self.group.lock:
            if order["epoch"] != self.group.epoch:
                return 409
            match order["Op"]:
                case "prepare":
                    return self._prepare(order["Version"], order["Map"])
                case "arm":
                    return self._arm(order["Version"], order["step"])
                case "disarm":
                    self.armed_switch = None
                    return 200
                case "Hold":
                    return self._hold(order["step"])
                case "go":
                    return self._release_hold(order["step"])
        return 400

    def _prepare(self, version: int, layers: Any) -> int:
        if (
            version <= self.highest_prepared_version
            or self.armed_switch
            or self.is_copying
        ):
            return 409
        self.highest_prepared_version = version
        self.is_copying = True
        self.map_by_version[version] = layers
        Timer(COPY_DURATION_S, self._finish_copy, (version,)).start()
        return 202

    def _finish_copy(self, version: int) -> None:
        with self.group.lock:
            self.is_copying = False
            self.prepared_version = version

    def _arm(self, version: int, step: int) -> int:
        if self.prepared_version != version or self.group.step >= step:
            return 409
        self.armed_switch = (version, step)
        return 200

    def _hold(self, step: int) -> int:
        if self.held_step is not None or self.group.step >= step:
            return 409
        self.held_step = step
        return 200

    def _release_hold(self, step: int) -> int:
        if self.held_step != step:
            return 409
        self.held_step = None
        return 200


class GroupStandIn:
    """Ranks that start each step together.

    ``mixed_step_count`` counts the steps that ran on more than one map.
    """

    def __init__(
        self, hosts: list[str], port: int, *, layers: int, experts: int
    ) -> None:
        self.layers = layers
        self.experts = experts
        ranks = len(hosts)
        assignment = [list(range(rank, experts, ranks)) for rank in range(ranks)]
        self.initial_map = [assignment] * layers
        self.lock = RLock()
        self.epoch = 1
        self.step = 0
        self.mixed_step_count = 0
        self.expert_weights = [1] * experts
        self.ranks = [RankStandIn(self, n, host, port) for n, host in enumerate(hosts)]
        self._stopping = Event()
        self._thread = Thread(target=self._run, daemon=True)

    def start(self) -> None:
        for rank in self.ranks:
            rank.start()
        self._thread.start()

    def stop(self) -> None:
        self._stopping.set()
        for rank in self.ranks:
            rank.stop()

    def _run(self) -> None:
        while not self._stopping.wait(STEP_INTERVAL_S):
            with self.lock:
                if all(rank.held_step != self.step + 1 for rank in self.ranks):
                    self._run_step()

    def _run_step(self) -> None:
        self.step += 1
        for rank in self.ranks:
            if rank.armed_switch and rank.armed_switch[1] == self.step:
                rank.map_version, rank.armed_switch = rank.armed_switch[0], None
            for layer in range(self.layers):
                for expert, weight in enumerate(self.expert_weights):
                    rank.token_counts[layer * self.experts + expert] += weight * 50
        maps = {
            json.dumps(rank.map_by_version[rank.map_version]) for rank in self.ranks
        }
        self.mixed_step_count += len(maps) > 1
