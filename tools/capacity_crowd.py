"""Runs many stand-ins for a process's link peers in one process.

Run as ``python -m tools.capacity_crowd agents 24`` or ``... entries 24 IP:PORT``. It
prints its addresses first, then its traffic totals as one line every second.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import click

from kingcupwheel.link.hub import MessageHub
from kingcupwheel.link.links import OutgoingLink
from kingcupwheel.link.links import TrafficCounts
from kingcupwheel.messages.membership import AgentHeartbeat
from kingcupwheel.messages.membership import BackendLoad
from kingcupwheel.messages.membership import Hello


if TYPE_CHECKING:
    from kingcupwheel.link.links import Link
    from kingcupwheel.messages.base import Message

_LISTEN_ADDRESS = "127.0.0.1:0"
_HEARTBEAT_S = 1.0


class AgentStandIn:
    """Agent stand-in that answers each Hello with a heartbeat."""

    def __init__(self, name: str, group: str) -> None:
        self._heartbeat = AgentHeartbeat(
            name,
            group,
            "dc-1",
            f"incarnation-{name}",
            1,
            BackendLoad(0, 0, 16, 0.0, 0.0, 0.1),
            False,
            True,
            0,
            (),
        )
        self.hub = MessageHub(
            listen=_LISTEN_ADDRESS, on_message=self._on_message, on_tick=lambda _: None
        )
        self.hub.start()

    def _on_message(self, link: Link, message: Message) -> None:
        if isinstance(message, Hello):
            self.hub.send(link, self._heartbeat)


class EntryStandIn:
    """Entry stand-in that sends a Hello to an agent every second."""

    def __init__(self, name: str, address: str) -> None:
        self._hello = Hello(name, "dc-1", 0, "", False)
        self._link = OutgoingLink(address, 0)
        self._next_hello_at = 0.0
        self.hub = MessageHub(
            listen=_LISTEN_ADDRESS, on_message=lambda *_: None, on_tick=self._on_tick
        )
        self.hub.start()

    def _on_tick(self, now: float) -> None:
        if now >= self._next_hello_at:
            self._next_hello_at = now + _HEARTBEAT_S
            self.hub.send(self._link, self._hello)


def sum_traffic(hubs: list[MessageHub]) -> TrafficCounts:
    """Return the total traffic of all hubs."""
    counts = [hub.traffic for hub in hubs]
    return TrafficCounts(
        sum(count.messages_in for count in counts),
        sum(count.messages_out for count in counts),
        sum(count.bytes_in for count in counts),
        sum(count.bytes_out for count in counts),
    )


@click.command()
@click.argument("role", type=click.Choice(["agents", "entries"]))
@click.argument("count", type=int)
@click.argument("address", default="")
def main(role: str, count: int, address: str) -> None:
    """Run COUNT stand-ins until the process is terminated."""
    names = [f"{role}-{number}" for number in range(count)]
    if role == "agents":
        hubs = [AgentStandIn(name, "group").hub for name in names]
    else:
        hubs = [EntryStandIn(name, address).hub for name in names]
    click.echo(" ".join(f"127.0.0.1:{hub.port}" for hub in hubs))
    while True:
        click.echo(" ".join(map(str, sum_traffic(hubs))))
        time.sleep(_HEARTBEAT_S)


if __name__ == "__main__":
    main()
