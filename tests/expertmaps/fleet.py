"""Agents of one group with real hubs, a fake platform and stand-in ranks."""

from __future__ import annotations

import time
from threading import Event
from typing import TYPE_CHECKING

from kingcupwheel.expertmaps.coordinator import CoordinatorTimings
from kingcupwheel.expertmaps.rank_api import HttpRankApi
from kingcupwheel.expertmaps.service import MapService
from kingcupwheel.expertmaps.service import MapServiceTimings
from kingcupwheel.link.hub import MessageHub
from kingcupwheel.manifest.schema import ExpertLayout
from kingcupwheel.platform.client import Instance
from tests.expertmaps.builders import FakePlatform
from tests.expertmaps.builders import FakePlatformClient
from tests.standins.ranks import RankGroup
from tests.standins.ranks import RankServer
from tests.standins.ranks import start_rank_servers


if TYPE_CHECKING:
    from collections.abc import Callable

    from kingcupwheel.expertmaps.phases import Phase
    from kingcupwheel.link.links import Link
    from kingcupwheel.messages.base import Message

GROUP = "bundles"
WAIT_TIMEOUT_S = 30.0
LAYOUT = ExpertLayout(
    ranks=3,
    experts=12,
    layers=2,
    slots=5,
    skew_weight=4.0,
    rebalance_every_s=0.3,
    expert_bytes=1000,
)
# Shorter than the defaults, so that a takeover takes one or two seconds.
TIMINGS = MapServiceTimings(
    lease_ttl_s=1.0,
    renew_interval_s=0.3,
    coordinator_timeout_s=0.6,
    takeover_stagger_s=0.2,
    instances_interval_s=0.5,
    coordinator=CoordinatorTimings(
        retry_interval_s=0.1,
        poll_interval_s=0.2,
        switch_lead_s=0.3,
        prepare_timeout_s=1.0,
        stage_timeout_s=5.0,
    ),
)


class Agent:
    """Agent that can be frozen, as by SIGSTOP, or killed."""

    def __init__(
        self,
        platform: FakePlatform,
        server: RankServer,
        rank: int,
        *,
        layout: ExpertLayout,
        timings: MapServiceTimings,
    ) -> None:
        self.name = f"agent-{rank}-{time.monotonic_ns()}"
        self.platform_client = FakePlatformClient(platform)
        self.hub = MessageHub(
            listen="127.0.0.1:0",
            on_message=self._on_message,
            on_tick=self._on_tick,
            tick_s=0.05,
        )
        self.is_killed = False
        self.running = Event()
        self.running.set()
        self.freeze_condition: Callable[[Phase], bool] = lambda _: False
        self.address = f"127.0.0.1:{self.hub.port}"
        self.service = MapService(
            hub=self.hub,
            platform=self.platform_client,
            rank_api=HttpRankApi(f"http://{server.address}", timeout_s=0.5),
            agent_name=self.name,
            group=GROUP,
            rank=rank,
            layout=layout,
            timings=timings,
        )

    def start(self) -> None:
        self.hub.start()
        self.service.start()

    def stop(self) -> None:
        self.freeze_condition = lambda _: False
        self.resume()
        self.service.stop()
        self.hub.stop()

    def freeze(self) -> None:
        self.platform_client.gate.clear()
        self.running.clear()

    def resume(self) -> None:
        self.platform_client.gate.set()
        self.running.set()

    def kill(self) -> None:
        """Stop without releasing the lease or sending another message."""
        self.platform_client.is_down = True
        self.is_killed = True
        self.stop()

    def _on_message(self, link: Link, message: Message) -> None:
        self.running.wait()
        if self.is_killed:
            return
        self.service.on_message(link, message)
        if self.freeze_condition(self.service.coordinator_driver.phase):
            self.freeze()
            self.running.wait()

    def _on_tick(self, _: float) -> None:
        self.running.wait()
        if not self.is_killed:
            self.service.on_tick(time.monotonic())


class Fleet:
    def __init__(
        self,
        *,
        layout: ExpertLayout = LAYOUT,
        timings: MapServiceTimings = TIMINGS,
        step_s: float = 0.002,
    ) -> None:
        self.layout = layout
        self.timings = timings
        self.platform = FakePlatform()
        self.group = RankGroup(
            ranks=layout.ranks, experts=layout.experts, step_s=step_s
        )
        self.servers = start_rank_servers(self.group)
        self.agents: list[Agent] = []

    def start(self) -> None:
        for rank in range(len(self.servers)):
            self.agents.append(self._new_agent(rank))
        self._publish_instances()

    def stop(self) -> None:
        for agent in self.agents:
            agent.stop()
        for server in self.servers:
            server.shutdown()
            server.server_close()

    @property
    def coordinating_agent(self) -> Agent | None:
        return next(
            (agent for agent in self.agents if agent.service.is_coordinating), None
        )

    @property
    def step_count(self) -> int:
        return self.group.build_step_report().steps

    def replace(self, agent: Agent) -> None:
        """Replace a killed agent with a new one and publish the instances."""
        rank = self.agents.index(agent)
        self.agents[rank] = self._new_agent(rank)
        self._publish_instances()

    def wait_for_steps(self, count: int = 20) -> None:
        """Wait until the group has run ``count`` more steps."""
        target = self.step_count + count
        self.wait_until(lambda: self.step_count >= target)

    def wait_until(self, condition: Callable[[], bool]) -> None:
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        while not condition():
            assert time.monotonic() < deadline, "condition not met before the timeout"
            time.sleep(0.005)

    def _new_agent(self, rank: int) -> Agent:
        agent = Agent(
            self.platform,
            self.servers[rank],
            rank,
            layout=self.layout,
            timings=self.timings,
        )
        agent.start()
        return agent

    def _publish_instances(self) -> None:
        self.platform.instance_list = tuple(
            Instance(agent.name, "agent", GROUP, "dc", agent.address, "", False)
            for agent in self.agents
        )
