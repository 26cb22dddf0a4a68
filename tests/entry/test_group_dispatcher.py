from __future__ import annotations

import time

import pytest

from kingcupwheel.decisions.admission import LimitRefusal
from kingcupwheel.decisions.candidates import PlacementRequest
from kingcupwheel.entry.group_dispatcher import GroupDispatcher
from kingcupwheel.entry.placement_tickets import PlacementFailure
from kingcupwheel.entry.placement_tickets import PlacementTicket
from kingcupwheel.entry.placement_tickets import Reservation
from kingcupwheel.entry.placement_tickets import SubmittedRequest
from kingcupwheel.entry.server_table import ServerTable
from kingcupwheel.manifest.schema import ServerGroup
from kingcupwheel.plugins.registries import load_builtin_plugins
from kingcupwheel.settings.schema import Timings
from tests.entry.builders import agent_heartbeat
from tests.entry.builders import agent_instance


GROUP = ServerGroup(name="group")
# A caller's timeout for its first byte.
FIRST_BYTE_TIMEOUT_S = 300.0


@pytest.fixture(autouse=True)
def plugins() -> None:
    load_builtin_plugins()


def server_table_with(servers: int, running: int = 0) -> ServerTable:
    now = time.monotonic()
    table = ServerTable(Timings())
    listed = [
        agent_instance()._replace(
            name=f"server-{number}", address=f"127.0.0.1:{number}"
        )
        for number in range(servers)
    ]
    table.set_instances(tuple(listed), now)
    for one in listed:
        table.record_heartbeat(one.address, agent_heartbeat(running=running), now)
    return table


def submitted_request(number: int, timeout_s: float = 600.0) -> SubmittedRequest:
    return SubmittedRequest(
        request_id=f"entry.1.{number}",
        organisation="org",
        priority=5,
        work=100.0,
        prompt_size=100.0,
        first_byte_deadline_at=time.monotonic() + timeout_s,
    )


def submit(
    dispatcher: GroupDispatcher, number: int, placement_request: PlacementRequest
) -> PlacementTicket:
    ticket = dispatcher.submit(submitted_request(number), placement_request)
    assert isinstance(ticket, PlacementTicket)
    return ticket


def dispatcher_after_load_peak(servers: ServerTable) -> GroupDispatcher:
    """Return a dispatcher with first-byte latencies of twice the callers' timeout."""
    dispatcher = GroupDispatcher(GROUP, servers, data_centre="dc-1")
    for _ in range(10):
        dispatcher.record_first_byte_latency(2 * FIRST_BYTE_TIMEOUT_S, 100.0)
    return dispatcher


def test_retry_without_untried_servers_fails_at_once() -> None:
    """Guards against a retry that waits for its deadline, ten minutes away.

    The only server failed the first attempt, and waiting adds no other one.
    """
    dispatcher = GroupDispatcher(GROUP, server_table_with(1), data_centre="dc-1")

    ticket = submit(
        dispatcher, 1, PlacementRequest(excluded_servers=frozenset({"server-0"}))
    )

    assert ticket.wait(0) == PlacementFailure("no-server", "every server was tried")
    assert dispatcher.waiting_count == 0


def test_entries_with_the_same_servers_choose_different_ones() -> None:
    """Guards against entries that send their requests to the same server each time."""
    servers_by_dispatcher = []
    for _ in range(2):
        dispatcher = GroupDispatcher(GROUP, server_table_with(8), data_centre="dc-1")
        results = [submit(dispatcher, n, PlacementRequest()).wait(0) for n in range(30)]
        servers_by_dispatcher.append(
            [one.server for one in results if isinstance(one, Reservation)]
        )

    assert len(servers_by_dispatcher[0]) == len(servers_by_dispatcher[1]) == 30
    assert servers_by_dispatcher[0] != servers_by_dispatcher[1]


def test_released_reservation_goes_to_the_next_request() -> None:
    group = ServerGroup(name="group", concurrency=1)
    dispatcher = GroupDispatcher(group, server_table_with(1), data_centre="dc-1")
    first = submit(dispatcher, 1, PlacementRequest()).wait(0)
    second = submit(dispatcher, 2, PlacementRequest())

    assert isinstance(first, Reservation)
    assert second.wait(0) is None
    dispatcher.release(first)
    assert isinstance(second.wait(0), Reservation)


def test_request_predicted_late_after_a_load_peak_goes_to_an_idle_server() -> None:
    """Guards against a 503 while all servers are idle and no request waits.

    Slow first bytes of a load peak keep the latency bound above the caller's timeout.
    """
    dispatcher = dispatcher_after_load_peak(server_table_with(2))

    ticket = dispatcher.submit(
        submitted_request(1, FIRST_BYTE_TIMEOUT_S), PlacementRequest()
    )

    assert isinstance(ticket, PlacementTicket)
    assert isinstance(ticket.wait(0), Reservation)
    assert dispatcher.waiting_count == 0


def test_retry_predicted_late_after_a_load_peak_goes_to_an_idle_server() -> None:
    """Guards against a 503 for the retry after a server failed in the load peak."""
    dispatcher = dispatcher_after_load_peak(server_table_with(2))
    placement_request = PlacementRequest(excluded_servers=frozenset({"server-0"}))

    ticket = dispatcher.submit(
        submitted_request(1, FIRST_BYTE_TIMEOUT_S), placement_request
    )

    assert isinstance(ticket, PlacementTicket)
    reservation = ticket.wait(0)
    assert isinstance(reservation, Reservation)
    assert reservation.server == "server-1"


def test_request_predicted_late_is_refused_while_all_servers_are_busy() -> None:
    """Guards against work that takes capacity from requests that are still in time."""
    dispatcher = dispatcher_after_load_peak(server_table_with(2, running=1))

    refusal = dispatcher.submit(
        submitted_request(1, FIRST_BYTE_TIMEOUT_S), PlacementRequest()
    )

    assert isinstance(refusal, LimitRefusal)
    assert refusal.limit == "deadline"
    assert dispatcher.waiting_count == 0


def test_requests_predicted_late_go_only_to_idle_servers() -> None:
    """One of three servers is idle; the second such request finds it reserved."""
    servers = server_table_with(3)
    servers.record_heartbeat(
        "127.0.0.1:0", agent_heartbeat(running=1), time.monotonic()
    )
    servers.record_heartbeat(
        "127.0.0.1:1", agent_heartbeat(running=1), time.monotonic()
    )
    dispatcher = dispatcher_after_load_peak(servers)

    ticket = dispatcher.submit(
        submitted_request(1, FIRST_BYTE_TIMEOUT_S), PlacementRequest()
    )

    assert isinstance(ticket, PlacementTicket)
    reservation = ticket.wait(0)
    assert isinstance(reservation, Reservation)
    assert reservation.server == "server-2"
    second = dispatcher.submit(
        submitted_request(2, FIRST_BYTE_TIMEOUT_S), PlacementRequest()
    )
    assert isinstance(second, LimitRefusal)


def test_request_predicted_late_does_not_overtake_queued_requests() -> None:
    """A server has become idle, but queued requests have not been placed since."""
    servers = server_table_with(1, running=8)
    dispatcher = dispatcher_after_load_peak(servers)
    first = dispatcher.submit(
        submitted_request(1, 10 * FIRST_BYTE_TIMEOUT_S), PlacementRequest()
    )
    assert isinstance(first, PlacementTicket)
    assert first.wait(0) is None
    servers.record_heartbeat("127.0.0.1:0", agent_heartbeat(), time.monotonic())

    second = dispatcher.submit(
        submitted_request(2, FIRST_BYTE_TIMEOUT_S), PlacementRequest()
    )

    assert isinstance(second, LimitRefusal)
    dispatcher.place_waiting()
    assert isinstance(first.wait(0), Reservation)


def test_request_past_its_deadline_is_refused_despite_idle_servers() -> None:
    dispatcher = dispatcher_after_load_peak(server_table_with(2))

    refusal = dispatcher.submit(submitted_request(1, -1.0), PlacementRequest())

    assert isinstance(refusal, LimitRefusal)
