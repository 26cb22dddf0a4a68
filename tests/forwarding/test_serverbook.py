from __future__ import annotations

import time

import pytest

from kingcupwheel.decisions.candidates import PlacementRequest
from kingcupwheel.entry.dispatcher_registry import DispatcherRegistry
from kingcupwheel.entry.placement_tickets import PlacementTicket
from kingcupwheel.entry.placement_tickets import Reservation
from kingcupwheel.entry.placement_tickets import SubmittedRequest
from kingcupwheel.entry.servers import ServerTable
from kingcupwheel.forwarding.backends import Backend
from kingcupwheel.forwarding.server_registry import ServerRegistry
from kingcupwheel.forwarding.server_registry import places_at_pace
from kingcupwheel.messages.membership import ReportedServerLoad
from kingcupwheel.plugins.kernel import load_placements
from kingcupwheel.settings.schema import Timings


@pytest.fixture(autouse=True)
def plugins() -> None:
    load_placements()


def backend(
    number: int, *, created: int = 1, address: str = "", born_ms: int = 0
) -> Backend:
    where = address or f"10.0.0.{number}:80"
    return Backend(f"i-{number}", "llm", where, "dc-1", 6, False, 0.0, created, born_ms)


def says(
    number: int, *, pace: float = 1.0, up: bool = True, running: int = 0, born: int = 0
) -> tuple[ReportedServerLoad, ...]:
    return (ReportedServerLoad(f"10.0.0.{number}:80", running, 0, pace, up, born),)


class Places:
    """A book of eight servers, and requests that ask it for places."""

    def __init__(self) -> None:
        table = ServerTable(Timings())
        self.dispatchers = DispatcherRegistry(table, data_centre="dc-1")
        self.book = ServerRegistry(table, self.dispatchers)
        self.book.set_listed(tuple(backend(number) for number in range(8)))
        self._asked = 0

    def ask(self) -> Reservation | None:
        self._asked += 1
        wanted = SubmittedRequest(f"r{self._asked}", "org", 5, 10.0, 10.0, 1e12)
        group = self.book.group_of("llm")
        ticket = self.dispatchers.get(group).submit(
            wanted, PlacementRequest(data_centre="dc-1")
        )
        assert isinstance(ticket, PlacementTicket)
        place = ticket.wait(0)
        return place if isinstance(place, Reservation) else None

    def servers(self, count: int) -> set[str]:
        return {place.server for _ in range(count) if (place := self.ask())}


def test_a_rank_many_times_slower_gets_nothing_while_others_have_room() -> None:
    """What runs on it holds up every pass, and so every stream of its group."""
    places = Places()
    places.book.apply_agent_reports(says(3, pace=12.0))

    assert "i-3" not in places.servers(30)
    assert places.book.avoided_instances() == ("i-3",)


def test_when_most_servers_are_slow_none_is_avoided() -> None:
    places = Places()
    for number in range(6):
        places.book.apply_agent_reports(says(number, pace=12.0))

    assert places.book.avoided_instances() == ()
    assert len(places.servers(30)) > 2


def test_a_group_that_is_not_open_gets_nothing_and_requests_wait_for_it() -> None:
    """All ranks turn requests away until the group has formed anew, in seconds.

    The caller is served when it opens, instead of being refused twice at once.
    """
    places = Places()
    for number in range(8):
        places.book.apply_agent_reports(says(number, up=False))

    assert places.ask() is None

    for number in range(8):
        places.book.apply_agent_reports(says(number))
    assert places.ask() is not None


def test_the_later_life_of_an_address_is_used() -> None:
    places = Places()
    old = backend(0, created=1, address="10.0.0.9:80")
    new = backend(1, created=7, address="10.0.0.9:80")
    places.book.set_listed((new, old))

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
    places.book.mark_service_closed("llm")
    assert places.ask() is None

    places.book.apply_agent_reports(says(2))

    assert places.servers(4) == {"i-2"}


def test_a_closed_service_without_agents_is_tried_again_when_it_is_next_looked_at() -> (
    None
):
    places = Places()
    places.book.mark_service_closed("llm")
    places.book.refresh_unreported()

    assert places.ask() is not None


def only(places: Places, *backends: Backend) -> None:
    places.book.set_listed(backends)


def taken(places: Places, count: int) -> list[Reservation]:
    found = [places.ask() for _ in range(count)]
    return [place for place in found if place is not None]


def test_a_server_reborn_under_its_id_is_not_full_of_its_former_life() -> None:
    """A server dies with six streams and is back under its id within the second.

    Its streams' threads notice one by one, later; until then they seemed to fill the
    new life, which idled while callers waited or were refused.
    """
    places = Places()
    only(places, backend(1, born_ms=1_000))
    former = taken(places, 6)

    only(places, backend(1, born_ms=2_000))
    present = taken(places, 6)
    for place in former:
        places.dispatchers.get(places.book.group_of("llm")).release(place)

    assert len(former) == len(present) == 6
    assert places.ask() is None  # The former life's ends free no place of this one.
    assert {place.incarnation for place in present} == {"i-1@2000"}


def test_losses_of_a_former_life_do_not_eject_the_present_one() -> None:
    """All six streams of a server that died are lost at once, after it is back."""
    places = Places()
    only(places, backend(1, born_ms=1_000))
    former = taken(places, 6)
    only(places, backend(1, born_ms=2_000))
    dispatcher = places.dispatchers.get(places.book.group_of("llm"))

    for place in former:
        dispatcher.record_failure(place)

    assert places.servers(1) == {"i-1"}


def test_an_agent_tells_of_a_new_life_before_the_list_does() -> None:
    places = Places()
    only(places, backend(1, born_ms=1_000))
    taken(places, 6)

    places.book.apply_agent_reports(says(1, born=2_000))
    assert places.servers(1) == {"i-1"}

    # A list read before the server started anew brings no former life back.
    only(places, backend(1, born_ms=1_000))
    place = places.ask()
    assert place is not None
    assert place.incarnation == "i-1@2000"


def test_a_former_lifes_word_that_comes_late_is_not_taken_for_the_present_one() -> None:
    """An agent's word of a full server was held up while the server started anew."""
    places = Places()
    only(places, backend(1, born_ms=2_000))

    places.book.apply_agent_reports(says(1, running=6, up=False, born=1_000))

    assert places.servers(1) == {"i-1"}


def test_an_answer_of_a_former_life_tells_nothing_of_the_present_one() -> None:
    places = Places()
    only(places, backend(1, born_ms=1_000))
    former = places.ask()
    assert former is not None
    only(places, backend(1, born_ms=2_000))

    places.book.mark_full(former)

    assert places.servers(1) == {"i-1"}


def test_an_entry_that_takes_a_servers_address_is_refuted_by_the_server() -> None:
    """Another writer's newer entry names the address of a server that serves.

    Each request is turned away there, since it names the wrong server; after the first
    one the server itself is used again, whatever the list says.
    """
    places = Places()
    foreign = backend(9, address="10.0.0.1:80", created=7)
    only(places, backend(1), foreign)
    place = places.ask()
    assert place is not None
    assert place.server == "i-9"

    places.book.refute_address(place)

    assert places.servers(3) == {"i-1"}
    only(places, backend(1), foreign)
    assert places.servers(2) == {"i-1"}


def test_a_server_is_told_full_only_by_a_word_of_a_moment_ago() -> None:
    """What has not begun at a full server that lives is waiting there, not lost."""
    places = Places()
    place = places.ask()
    assert place is not None
    number = int(place.server.removeprefix("i-"))
    now = time.monotonic()
    assert not places.book.is_reported_full(place, now)

    places.book.apply_agent_reports(says(number, running=6))

    now = time.monotonic()
    assert places.book.is_reported_full(place, now)
    assert not places.book.is_reported_full(place, now + 5.0)


def test_a_new_server_at_an_address_is_used_though_its_agent_spoke_first() -> None:
    """A server is replaced by another one at its address; the old entry lapses later.

    The agent there tells a later birth, which seems a new life of the old server. That
    one is refuted as well, or each request is turned away until the old entry is gone.
    """
    places = Places()
    only(places, backend(1, born_ms=1_000))
    places.book.apply_agent_reports(says(1, born=2_000))
    place = places.ask()
    assert place is not None

    places.book.refute_address(place)
    only(places, backend(1, born_ms=1_000))
    places.book.apply_agent_reports(says(1, born=2_000))
    assert places.ask() is None

    only(
        places,
        backend(1, born_ms=1_000),
        backend(9, address="10.0.0.1:80", created=7, born_ms=2_000),
    )
    assert places.servers(2) == {"i-9"}
