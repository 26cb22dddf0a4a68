from __future__ import annotations

from typing import Any
from typing import cast

from kingcupwheel.link.links import IncomingLink
from kingcupwheel.link.links import OutgoingLink
from kingcupwheel.lockstep.load_aggregator import LoadAggregator
from kingcupwheel.messages.membership import AgentHeartbeat
from kingcupwheel.messages.membership import BackendLoad
from kingcupwheel.messages.membership import Hello
from kingcupwheel.messages.membership import LoadsReply
from kingcupwheel.messages.membership import LoadsRequest
from kingcupwheel.messages.membership import ReportedServerLoad
from tests.lockstep.builders import RecordingHub


ENTRY_LINK = IncomingLink(b"entry")


def make_heartbeat(server: str, running: int) -> AgentHeartbeat:
    load = BackendLoad(running, 2, 0, 0.0, 0.0, 0.0, 1.5)
    return AgentHeartbeat(server, "llm", "", "", 0, load, False, True, 0, ())


def take_loads(hub: RecordingHub) -> list[LoadsReply]:
    return [one for _, one in hub.take_sent() if isinstance(one, LoadsReply)]


def test_loads_of_all_members_are_sent_in_one_message() -> None:
    hub = RecordingHub()
    aggregator = LoadAggregator("agent-1", cast("Any", hub))
    aggregator.subscribe(ENTRY_LINK, LoadsRequest(("a:1", "b:1"), 0.25), 10.0)
    aggregator.on_tick(10.0)
    greeted = {
        link.address
        for link, one in hub.take_sent()
        if isinstance(one, Hello) and isinstance(link, OutgoingLink)
    }
    assert greeted == {"a:1", "b:1"}

    aggregator.handle_heartbeat(OutgoingLink("a:1", 1), make_heartbeat("a:80", 3), 10.1)
    aggregator.handle_heartbeat(OutgoingLink("b:1", 1), make_heartbeat("b:80", 4), 10.1)
    aggregator.on_tick(10.3)

    [found] = take_loads(hub)
    assert found.servers == (
        ReportedServerLoad("a:80", 3, 2, 1.5, True),
        ReportedServerLoad("b:80", 4, 2, 1.5, True),
    )


def test_a_stale_load_is_not_sent() -> None:
    """The load that a frozen agent sent a second ago is outdated."""
    hub = RecordingHub()
    aggregator = LoadAggregator("agent-1", cast("Any", hub))
    aggregator.subscribe(ENTRY_LINK, LoadsRequest(("a:1",), 0.25), 10.0)
    aggregator.handle_heartbeat(OutgoingLink("a:1", 1), make_heartbeat("a:80", 3), 10.0)

    aggregator.on_tick(11.5)

    assert [one.servers for one in take_loads(hub)] == [()]


def test_an_expired_subscription_gets_no_messages() -> None:
    hub = RecordingHub()
    aggregator = LoadAggregator("agent-1", cast("Any", hub))
    aggregator.subscribe(ENTRY_LINK, LoadsRequest(("a:1",), 0.25), 10.0)

    aggregator.on_tick(15.0)

    assert hub.take_sent() == []


def test_each_subscription_has_its_own_interval() -> None:
    """Traffic to other data centres costs by the byte and few requests go there."""
    hub = RecordingHub()
    aggregator = LoadAggregator("agent-1", cast("Any", hub))
    aggregator.subscribe(ENTRY_LINK, LoadsRequest(("a:1",), 0.25), 10.0)
    aggregator.subscribe(IncomingLink(b"far"), LoadsRequest(("a:1",), 0.5), 10.0)
    for tenth in range(10):
        aggregator.on_tick(10.0 + tenth / 10)

    links = [link for link, one in hub.take_sent() if isinstance(one, LoadsReply)]
    assert links.count(ENTRY_LINK) == 4
    assert links.count(IncomingLink(b"far")) == 2
