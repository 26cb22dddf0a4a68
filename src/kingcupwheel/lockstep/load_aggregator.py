"""Gathers the loads of a data centre's servers and tells them to entries in one.

Load: 31 entries that each hear 72 agents four times a second are 9,000 messages a
second, 290 of them at each entry and 120 at each agent. Harm prevented: between data
centres each byte costs, and an agent's link and processor are its group's maps'. With
one agent a data centre that tells for all, an entry hears twelve messages a second.
"""

from __future__ import annotations

from threading import Lock
from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.link.links import Outgoing
from kingcupwheel.messages.membership import Hello
from kingcupwheel.messages.membership import LoadsTold
from kingcupwheel.messages.membership import ServerTold


if TYPE_CHECKING:
    from kingcupwheel.link.hub import Hub
    from kingcupwheel.link.links import Link
    from kingcupwheel.messages.membership import Beat
    from kingcupwheel.messages.membership import LoadsAsk

# Members are asked to tell their loads so often, in seconds; they go on for four.
_GREET_S = 1.0
# What a member told counts for so long, and an entry is told without asking again.
_FRESH_S = 1.0
_ASKED_S = 4.0


class _Asker:
    def __init__(self) -> None:
        self.members: tuple[str, ...] = ()
        self.every_s = 0.0
        self.at = 0.0
        self.told_at = float("-inf")


class _Heard(NamedTuple):
    told: ServerTold
    at: float


class LoadAggregator:
    """The loads of the members that entries asked for; safe from any thread."""

    def __init__(self, name: str, hub: Hub) -> None:
        self._hub = hub
        self._hello = Hello(name, "", 0, "", leaving=False)
        self._askers: dict[Link, _Asker] = {}
        self._heard_by_member: dict[str, _Heard] = {}
        self._greeted_at = float("-inf")
        self._lock = Lock()

    def subscribe(self, link: Link, message: LoadsAsk, now: float) -> None:
        """Tell an entry the loads of these members for a while."""
        with self._lock:
            asker = self._askers.setdefault(link, _Asker())
            asker.members = message.members
            asker.every_s = message.every_s
            asker.at = now

    def handle_beat(self, link: Link, beat: Beat, now: float) -> None:
        """Take in the load of a member."""
        if not isinstance(link, Outgoing):
            return
        load = beat.load
        told = ServerTold(
            beat.name,
            load.running,
            load.queued,
            load.pace,
            beat.server_up,
            beat.born_ms,
        )
        with self._lock:
            self._heard_by_member[link.address] = _Heard(told, now)

    def on_tick(self, now: float) -> None:
        """Greet members and tell entries when it is time."""
        with self._lock:
            for link in [
                one for one, by in self._askers.items() if now - by.at > _ASKED_S
            ]:
                del self._askers[link]
            askers = tuple(self._askers.items())
            heard = dict(self._heard_by_member)
        if not askers:
            return
        if now - self._greeted_at >= _GREET_S:
            self._greeted_at = now
            for member in {one for _, asker in askers for one in asker.members}:
                self._hub.send(Outgoing(member, 0), self._hello)
        for link, asker in askers:
            if now - asker.told_at >= asker.every_s:
                asker.told_at = now
                self._hub.send(link, LoadsTold(_fresh(asker, heard, now)))


def _fresh(
    asker: _Asker, heard: dict[str, _Heard], now: float
) -> tuple[ServerTold, ...]:
    found = (heard[member] for member in asker.members if member in heard)
    return tuple(one.told for one in found if now - one.at <= _FRESH_S)
