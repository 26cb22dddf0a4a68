from __future__ import annotations

import time

import pytest

from kingcupwheel.decisions.candidates import PlacementRequest
from kingcupwheel.entry.dispatcher_registry import DispatcherRegistry
from kingcupwheel.entry.placement_tickets import PlacementTicket
from kingcupwheel.entry.placement_tickets import Reservation
from kingcupwheel.entry.placement_tickets import SubmittedRequest
from kingcupwheel.entry.server_table import ServerTable
from kingcupwheel.forwarding.backends import Backend
from kingcupwheel.forwarding.server_registry import ServerRegistry
from kingcupwheel.forwarding.server_registry import capacity_at_pace
from kingcupwheel.messages.membership import ReportedServerLoad
from kingcupwheel.plugins.registries import load_placement_policies
from kingcupwheel.settings.schema import Timings


@pytest.fixture(autouse=True)
def plugins() -> None:
    load_placement_policies()


def backend(
    number: int, *, created: int = 1, address: str = "", started_at_ms: int = 0
) -> Backend:
    where = address or f"10.0.0.{number}:80"
    return Backend(
        f"i-{number}", "llm", where, "dc-1", 6, False, 0.0, created, started_at_ms
    )


def agent_reports(
    number: int, *, pace: float = 1.0, up: bool = True, running: int = 0, born: int = 0
) -> tuple[ReportedServerLoad, ...]:
    return (ReportedServerLoad(f"10.0.0.{number}:80", running, 0, pace, up, born),)


class PlacementHarness:
    """A registry of eight servers, and requests for places on them."""

    def __init__(self) -> None:
        table = ServerTable(Timings())
        self.dispatchers = DispatcherRegistry(table, data_centre="dc-1")
        self.registry = ServerRegistry(table, self.dispatchers)
        self.registry.set_listed(tuple(backend(number) for number in range(8)))
        self._request_count = 0

    def request_reservation(self) -> Reservation | None:
        self._request_count += 1
        ticket_request = SubmittedRequest(
            f"r{self._request_count}", "org", 5, 10.0, 10.0, 1e12
        )
        group = self.registry.group_of("llm")
        ticket = self.dispatchers.get(group).submit(
            ticket_request, PlacementRequest(data_centre="dc-1")
        )
        assert isinstance(ticket, PlacementTicket)
        reservation = ticket.wait(0)
        return reservation if isinstance(reservation, Reservation) else None

    def place_requests(self, count: int) -> set[str]:
        return {
            reservation.server
            for _ in range(count)
            if (reservation := self.request_reservation())
        }


def test_a_rank_many_times_slower_gets_nothing_while_others_have_room() -> None:
    """Its requests would delay every pass and thus every stream of its group."""
    harness = PlacementHarness()
    harness.registry.apply_agent_reports(agent_reports(3, pace=12.0))

    assert "i-3" not in harness.place_requests(30)
    assert harness.registry.avoided_instances() == ("i-3",)


def test_no_server_is_avoided_if_most_are_slow() -> None:
    harness = PlacementHarness()
    for number in range(6):
        harness.registry.apply_agent_reports(agent_reports(number, pace=12.0))

    assert harness.registry.avoided_instances() == ()
    assert len(harness.place_requests(30)) > 2


def test_a_group_that_is_not_open_gets_nothing_and_requests_wait_for_it() -> None:
    """Guards against refusing callers while a group forms, which takes seconds.

    All ranks reject requests until then. A waiting caller is served when the group
    opens, instead of being refused twice at once.
    """
    harness = PlacementHarness()
    for number in range(8):
        harness.registry.apply_agent_reports(agent_reports(number, up=False))

    assert harness.request_reservation() is None

    for number in range(8):
        harness.registry.apply_agent_reports(agent_reports(number))
    assert harness.request_reservation() is not None


def test_latest_entry_of_an_address_is_used() -> None:
    harness = PlacementHarness()
    old = backend(0, created=1, address="10.0.0.9:80")
    new = backend(1, created=7, address="10.0.0.9:80")
    harness.registry.set_listed((new, old))

    assert harness.place_requests(5) == {"i-1"}


def test_places_decrease_with_the_square_of_the_pace() -> None:
    assert capacity_at_pace(6, 1.0) == 6
    assert capacity_at_pace(6, 1.2) == 6
    assert capacity_at_pace(6, 2.0) == 1


def test_requests_wait_for_a_closed_service_until_an_agent_says_that_it_is_up() -> None:
    """Guards against refusing callers after a power outage of all machines.

    Entries are up before they get agents' reports, and the servers reject all requests
    while their group forms. A caller waits in the queue instead of being refused twice.
    """
    harness = PlacementHarness()
    harness.registry.mark_service_closed("llm")
    assert harness.request_reservation() is None

    harness.registry.apply_agent_reports(agent_reports(2))

    assert harness.place_requests(4) == {"i-2"}


def test_closed_service_without_agents_is_retried_after_a_refresh() -> None:
    harness = PlacementHarness()
    harness.registry.mark_service_closed("llm")
    harness.registry.refresh_unreported()

    assert harness.request_reservation() is not None


def set_listed(harness: PlacementHarness, *backends: Backend) -> None:
    harness.registry.set_listed(backends)


def take_reservations(harness: PlacementHarness, count: int) -> list[Reservation]:
    found = [harness.request_reservation() for _ in range(count)]
    return [reservation for reservation in found if reservation is not None]


def test_a_server_reborn_under_its_id_is_not_full_of_its_former_life() -> None:
    """Guards against counting a previous incarnation's streams for the current one.

    A server fails with six streams and restarts under its id within a second. The
    threads of the streams notice it later, one by one. If they counted, the restarted
    server would be idle while callers wait or are refused.
    """
    harness = PlacementHarness()
    set_listed(harness, backend(1, started_at_ms=1_000))
    earlier = take_reservations(harness, 6)

    set_listed(harness, backend(1, started_at_ms=2_000))
    present = take_reservations(harness, 6)
    for reservation in earlier:
        harness.dispatchers.get(harness.registry.group_of("llm")).release(reservation)

    assert len(earlier) == len(present) == 6
    assert (
        harness.request_reservation() is None
    )  # Ends of the previous incarnation free no place.
    assert {reservation.incarnation for reservation in present} == {"i-1@2000"}


def test_losses_of_a_former_life_do_not_eject_the_present_one() -> None:
    """All six streams of a failed server are lost at once, after its restart."""
    harness = PlacementHarness()
    set_listed(harness, backend(1, started_at_ms=1_000))
    earlier = take_reservations(harness, 6)
    set_listed(harness, backend(1, started_at_ms=2_000))
    dispatcher = harness.dispatchers.get(harness.registry.group_of("llm"))

    for reservation in earlier:
        dispatcher.record_failure(reservation)

    assert harness.place_requests(1) == {"i-1"}


def test_restart_reported_by_an_agent_precedes_the_list() -> None:
    harness = PlacementHarness()
    set_listed(harness, backend(1, started_at_ms=1_000))
    take_reservations(harness, 6)

    harness.registry.apply_agent_reports(agent_reports(1, born=2_000))
    assert harness.place_requests(1) == {"i-1"}

    # A list read before the restart does not restore the previous incarnation.
    set_listed(harness, backend(1, started_at_ms=1_000))
    reservation = harness.request_reservation()
    assert reservation is not None
    assert reservation.incarnation == "i-1@2000"


def test_late_report_of_a_previous_incarnation_is_ignored() -> None:
    """A report of a full server is delayed until the server has restarted."""
    harness = PlacementHarness()
    set_listed(harness, backend(1, started_at_ms=2_000))

    harness.registry.apply_agent_reports(
        agent_reports(1, running=6, up=False, born=1_000)
    )

    assert harness.place_requests(1) == {"i-1"}


def test_late_answer_of_a_previous_incarnation_is_ignored() -> None:
    harness = PlacementHarness()
    set_listed(harness, backend(1, started_at_ms=1_000))
    earlier = harness.request_reservation()
    assert earlier is not None
    set_listed(harness, backend(1, started_at_ms=2_000))

    harness.registry.mark_full(earlier)

    assert harness.place_requests(1) == {"i-1"}


def test_an_entry_that_takes_a_servers_address_is_refuted_by_the_server() -> None:
    """Guards against an entry by another writer with the address of a working server.

    The server rejects requests that name the wrong one. After the first rejection it is
    used again, whatever the list says.
    """
    harness = PlacementHarness()
    foreign = backend(9, address="10.0.0.1:80", created=7)
    set_listed(harness, backend(1), foreign)
    reservation = harness.request_reservation()
    assert reservation is not None
    assert reservation.server == "i-9"

    harness.registry.refute_address(reservation)

    assert harness.place_requests(3) == {"i-1"}
    set_listed(harness, backend(1), foreign)
    assert harness.place_requests(2) == {"i-1"}


def test_server_is_reported_full_only_by_a_recent_report() -> None:
    """A request without an answer from a full, live server is waiting there."""
    harness = PlacementHarness()
    reservation = harness.request_reservation()
    assert reservation is not None
    number = int(reservation.server.removeprefix("i-"))
    now = time.monotonic()
    assert not harness.registry.is_reported_full(reservation, now)

    harness.registry.apply_agent_reports(agent_reports(number, running=6))

    now = time.monotonic()
    assert harness.registry.is_reported_full(reservation, now)
    assert not harness.registry.is_reported_full(reservation, now + 5.0)


def test_new_server_at_an_address_is_used_although_its_agent_reported_first() -> None:
    """Guards against rejections until the entry of a replaced server has expired.

    Another server gets its address. The agent there reports a later start, which seems
    to be a restart of the old server; that incarnation has to be refuted as well.
    """
    harness = PlacementHarness()
    set_listed(harness, backend(1, started_at_ms=1_000))
    harness.registry.apply_agent_reports(agent_reports(1, born=2_000))
    reservation = harness.request_reservation()
    assert reservation is not None

    harness.registry.refute_address(reservation)
    set_listed(harness, backend(1, started_at_ms=1_000))
    harness.registry.apply_agent_reports(agent_reports(1, born=2_000))
    assert harness.request_reservation() is None

    set_listed(
        harness,
        backend(1, started_at_ms=1_000),
        backend(9, address="10.0.0.1:80", created=7, started_at_ms=2_000),
    )
    assert harness.place_requests(2) == {"i-9"}
