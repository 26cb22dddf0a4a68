from __future__ import annotations

from kingcupwheel.messages.membership import AgentHeartbeat
from kingcupwheel.messages.membership import BackendLoad
from kingcupwheel.platform.client import Instance


ADDRESS = "127.0.0.1:7400"


def agent_instance(*, leaving: bool = False) -> Instance:
    return Instance("server-1", "agent", "group", "dc-1", ADDRESS, "", leaving)


def agent_heartbeat(
    incarnation: str = "life-1", *, leaving: bool = False, running: int = 0
) -> AgentHeartbeat:
    return AgentHeartbeat(
        name="server-1",
        group="group",
        data_centre="dc-1",
        incarnation=incarnation,
        token=1,
        load=BackendLoad(running, queued=0, capacity=8, work=0.0, rate=0.0, age_s=0.0),
        leaving=leaving,
        server_up=True,
        manifest_version=1,
        crashed=(),
    )
