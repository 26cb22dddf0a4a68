"""Builders of agents, rank states and stand-ins for the tests of lockstep."""

from __future__ import annotations

from threading import Thread
from typing import TYPE_CHECKING
from typing import Any

from kingcupwheel.lockstep.daemon import RankDaemon
from kingcupwheel.lockstep.rank_reports import RankState
from kingcupwheel.settings.schema import PlatformSettings
from kingcupwheel.settings.schema import RankSettings
from kingcupwheel.settings.schema import Role
from kingcupwheel.settings.schema import Settings
from tests.forwarding.builders import configuration_spec
from tests.platform.builders import server_entry
from tests.standins.object_store import StoredObjects
from tests.standins.object_store import StoreServer


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from kingcupwheel.link.links import Link
    from kingcupwheel.messages.base import Message
    from tests.standins.lockstep_group import GroupStandIn
    from tests.standins.lockstep_group import RankStandIn


class RecordingHub:
    """Records messages instead of sending them."""

    def __init__(self) -> None:
        self.sent: list[tuple[Link, Message]] = []

    def send(self, link: Link, message: Message) -> None:
        self.sent.append((link, message))

    def reconnect(self, address: str) -> None:
        """Do nothing: there is no connection."""

    def take_sent(self) -> list[tuple[Link, Message]]:
        sent, self.sent = self.sent, []
        return sent


def make_rank_state(rank: int) -> RankState:
    return RankState("g", 1, rank, 72, True, 5, 0, 0, 0, None, 1, 0, 1.0)


def start_agent(
    rank: RankStandIn, listen: str, store_url: str, *, metrics: str = ""
) -> RankDaemon:
    """Start the agent of a rank in this process."""
    agent = RankDaemon(
        Settings(
            name=f"agent-{rank.number}",
            role=Role.AGENT,
            data_centre="dc-1",
            listen=listen,
            platform=PlatformSettings(url=store_url),
            rank=RankSettings(server=rank.address, service="llm", metrics=metrics),
        )
    )
    agent.start()
    return agent


def start_store(
    group: GroupStandIn, engine: dict[str, Any], zone_of: Callable[[int], str]
) -> StoreServer:
    """Start a store with the group's engine and servers; zones are by rank number."""
    objects = StoredObjects()
    service = {"Name": "llm", "Engine": engine}
    objects.put("config", "main", configuration_spec(Services=[service]))
    for rank in group.ranks:
        entry = server_entry(Address=rank.address, Zone=zone_of(rank.number))
        objects.put("servers", f"i-{rank.number}", entry)
    store_server = StoreServer(objects)
    store_server.start()
    return store_server


def stop_all(
    agents: Iterable[RankDaemon], group: GroupStandIn, store_server: StoreServer
) -> None:
    """Stop all, the agents in parallel: a change in progress needs all of them."""
    threads = [Thread(target=agent.stop) for agent in agents]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    group.stop()
    store_server.stop()
