from __future__ import annotations

from contextlib import ExitStack
from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol
from typing import TypeVar

import pytest

from kingcupwheel.agent.daemon import AgentDaemon
from tests.agent.builders import agent_settings
from tests.agent.fake_entry import FakeEntry
from tests.standins.engine import EngineFaults
from tests.standins.engine import EngineStandIn
from tests.standins.relay import Relay
from tests.standins.relay import StoppingRelay
from tests.standins.service import ServiceStandIn


class HasAddress(Protocol):
    @property
    def address(self) -> str: ...


if TYPE_CHECKING:
    from collections.abc import Iterator

    from tests.agent.processes import Process

P = TypeVar("P", bound="Process")


class AgentHarness:
    """Starts agents, servers and entries on free ports, stopped after the test."""

    def __init__(self, stack: ExitStack) -> None:
        self._stack = stack

    def start_engine(self, **faults: Any) -> EngineStandIn:
        engine = EngineStandIn(
            faults=EngineFaults(**faults), exit_process=lambda _: None
        )
        engine.start()
        self._stack.callback(engine.stop)
        return engine

    def start_service(self, **options: Any) -> ServiceStandIn:
        service = ServiceStandIn(**options)
        service.start()
        self._stack.callback(service.stop)
        return service

    def start_relay(self, target: str) -> Relay:
        relay = Relay(target)
        relay.start()
        self._stack.callback(relay.stop)
        return relay

    def start_stopping_relay(self, target: str) -> StoppingRelay:
        relay = StoppingRelay(target)
        relay.start()
        self._stack.callback(relay.stop)
        return relay

    def start_agent(self, url: str, **options: Any) -> AgentDaemon:
        agent = AgentDaemon(agent_settings(url, **options))
        agent.start()
        self._stack.callback(agent.close)
        return agent

    def add_process(self, process: P) -> P:
        self._stack.callback(process.kill)
        return process

    def start_entry(self, agent: AgentDaemon | HasAddress, **options: Any) -> FakeEntry:
        """Start an entry connected to the address of an agent, relay or other entry."""
        if isinstance(agent, AgentDaemon):
            address = f"127.0.0.1:{agent.port}"
        else:
            address = agent.address
        entry = FakeEntry(address, **options)
        self._stack.callback(entry.stop)
        return entry


@pytest.fixture
def harness() -> Iterator[AgentHarness]:
    with ExitStack() as stack:
        yield AgentHarness(stack)
