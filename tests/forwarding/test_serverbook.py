from __future__ import annotations

import pytest

from kingcupwheel.decisions.candidates import Ask
from kingcupwheel.entry.dispatchers import Dispatchers
from kingcupwheel.entry.servers import ServerTable
from kingcupwheel.entry.tickets import Place
from kingcupwheel.entry.tickets import Ticket
from kingcupwheel.entry.tickets import Wanted
from kingcupwheel.forwarding.backends import Backend
from kingcupwheel.forwarding.serverbook import ServerBook
from kingcupwheel.forwarding.serverbook import places_at_pace
from kingcupwheel.messages.membership import ServerTold
from kingcupwheel.plugins.kernel import load_placements
from kingcupwheel.settings.schema import Timings


@pytest.fixture(autouse=True)
def plugins() -> None:
    load_placements()


def backend(number: int, *, born: int = 1, address: str = "") -> Backend:
    where = address or f"10.0.0.{number}:80"
    return Backend(f"i-{number}", "llm", where, "dc-1", 6, False, 0.0, born)


def says(number: int, *, pace: float = 1.0, up: bool = True) -> tuple[ServerTold, ...]:
    return (ServerTold(f"10.0.0.{number}:80", 0, 0, pace, up),)


class Places:
    """A book of eight servers, and requests that ask it for places."""

    def __init__(self) -> None:
        table = ServerTable(Timings())
        self.dispatchers = Dispatchers(table, data_centre="dc-1")
        self.book = ServerBook(table, self.dispatchers)
        self.book.list_is(tuple(backend(number) for number in range(8)))
        self._asked = 0

    def ask(self) -> Place | None:
        self._asked += 1
        wanted = Wanted(f"r{self._asked}", "org", 5, 10.0, 10.0, 1e12)
        group = self.book.group_of("llm")
        ticket = self.dispatchers.of(group).submit(wanted, Ask(data_centre="dc-1"))
        assert isinstance(ticket, Ticket)
        place = ticket.wait(0)
        return place if isinstance(place, Place) else None

    def servers(self, count: int) -> set[str]:
        return {place.server for _ in range(count) if (place := self.ask())}


def test_a_rank_many_times_slower_gets_nothing_while_others_have_room() -> None:
    """What runs on it holds up every pass, and so every stream of its group."""
    places = Places()
    places.book.agents_say(says(3, pace=12.0))

    assert "i-3" not in places.servers(30)
    assert places.book.slow() == ("i-3",)


def test_when_most_servers_are_slow_none_is_avoided() -> None:
    places = Places()
    for number in range(6):
        places.book.agents_say(says(number, pace=12.0))

    assert places.book.slow() == ()
    assert len(places.servers(30)) > 2


def test_a_group_that_is_not_open_gets_nothing_and_requests_wait_for_it() -> None:
    """All ranks turn requests away until the group has formed anew, in seconds.

    The caller is served when it opens, instead of being refused twice at once.
    """
    places = Places()
    for number in range(8):
        places.book.agents_say(says(number, up=False))

    assert places.ask() is None

    for number in range(8):
        places.book.agents_say(says(number))
    assert places.ask() is not None


def test_the_later_life_of_an_address_is_used() -> None:
    places = Places()
    old = backend(0, born=1, address="10.0.0.9:80")
    new = backend(1, born=7, address="10.0.0.9:80")
    places.book.list_is((new, old))

    assert places.servers(5) == {"i-1"}


def test_places_shrink_with_the_square_of_the_pace() -> None:
    assert places_at_pace(6, 1.0) == 6
    assert places_at_pace(6, 1.2) == 6
    assert places_at_pace(6, 2.0) == 1


def test_requests_wait_for_a_closed_service_until_an_agent_says_that_it_is_up() -> None:
    """All machines lost power; entries are back before agents are heard.

    The servers turn everything away while their group forms. The caller waits in the
    queue and is served, instead of being refused twice.
    """
    places = Places()
    places.book.closed("llm")
    assert places.ask() is None

    places.book.agents_say(says(2))

    assert places.servers(4) == {"i-2"}


def test_a_closed_service_without_agents_is_tried_again_when_it_is_next_looked_at() -> (
    None
):
    places = Places()
    places.book.closed("llm")
    places.book.refresh()

    assert places.ask() is not None
