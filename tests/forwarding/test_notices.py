"""Backoff and leaving notices in servers' answers, over real sockets."""

from __future__ import annotations

import time
from threading import Thread
from typing import TYPE_CHECKING
from typing import Any

import pytest
from urllib3.connection import HTTPConnection

from kingcupwheel.decisions.suspicion_status import NotSuspected
from kingcupwheel.decisions.suspicion_status import Suspect
from kingcupwheel.forwarding.crash_attribution import MIN_LEAVING_S
from kingcupwheel.forwarding.crash_attribution import LostRun
from kingcupwheel.forwarding.retry_guards import RetryGuards
from tests.forwarding.builders import route
from tests.forwarding.fleet import wait_until
from tests.standins.backend import Behaviour


if TYPE_CHECKING:
    from kingcupwheel.utils.server_connection import ServerConnection
    from tests.forwarding.fleet import Fleet

BACKOFF_S = 2.0


def backoff_behaviour(seconds: float = BACKOFF_S) -> Behaviour:
    """Return the behaviour of a server that rejects requests and requests a backoff."""
    return Behaviour(rejects_requests=True, retry_after=str(seconds))


def test_a_server_that_asked_for_rest_gets_nothing_before_its_rest_is_over(
    fleet: Fleet,
) -> None:
    """Guards against sending to a server in backoff because it seems idle."""
    server_in_backoff = fleet.add_server("i-1")
    server_in_backoff.behaviour = backoff_behaviour()
    fleet.add_entry()
    assert fleet.send("/plain/x").status == 503
    turned_away_at = time.monotonic()
    fleet.add_server("i-2")
    wait_until(lambda: fleet.send("/plain/x").status == 200)

    statuses = set()
    while time.monotonic() < turned_away_at + 0.8 * BACKOFF_S:
        statuses.add(fleet.send("/plain/x").status)
        time.sleep(0.02)

    assert len(server_in_backoff.received_requests) == 1
    assert statuses == {200}


def test_caller_is_refused_at_once_while_every_server_rests(
    fleet: Fleet,
) -> None:
    """Waiting until the caller's deadline would leave it no time for a retry."""
    server = fleet.add_server("i-1")
    server.behaviour = backoff_behaviour(5.0)
    fleet.add_entry()
    fleet.send("/stream/x", X_Deadline_Ms="8000")

    began = time.monotonic()
    answer = fleet.send("/stream/x", X_Deadline_Ms="8000")

    assert time.monotonic() - began < 1.0
    assert answer.status == 503
    assert 3.0 < float(answer.headers["retry-after"]) <= 7.5
    assert len(server.received_requests) == 1


def test_first_refused_caller_gets_the_rest_period_as_retry_delay(fleet: Fleet) -> None:
    fleet.add_server("i-1").behaviour = backoff_behaviour(5.0)
    fleet.add_entry(retry_floor=0.0)

    answer = fleet.send("/plain/x")

    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 3.0


def test_request_waits_for_a_rest_period_that_ends_in_time(fleet: Fleet) -> None:
    server = fleet.add_server("i-1")
    server.behaviour = backoff_behaviour(0.6)
    fleet.add_entry()
    assert fleet.send("/stream/x", X_Deadline_Ms="8000").status == 503
    server.behaviour = Behaviour(event_count=2)

    answer = fleet.send("/stream/x", X_Deadline_Ms="8000")

    assert answer.status == 200
    assert len(server.received_requests) == 2


def test_resting_servers_do_not_close_their_service(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    rejections: list[str] = []

    def record_rejection(
        _: RetryGuards, service: str, server: str, *, idle_s: float
    ) -> bool:
        rejections.append(server)
        return True

    monkeypatch.setattr(RetryGuards, "record_rejection", record_rejection)
    for number in (1, 2):
        fleet.add_server(f"i-{number}").behaviour = backoff_behaviour(5.0)
    fleet.add_entry()

    fleet.send("/stream/x", X_Deadline_Ms="8000")

    assert [len(server.received_requests) for server in fleet.servers] == [1, 1]
    assert rejections == []


def test_silent_server_is_kept_while_all_others_rest(fleet: Fleet) -> None:
    """Guards against status 502 for an answer that was about to arrive."""
    fleet.configure(Routes=[route(TimeoutMs=6000)])
    slow = fleet.add_server("i-1")
    slow.behaviour = Behaviour(delay_s=3.5)
    fleet.add_server("i-2")
    entry = fleet.add_entry()
    wait_until(lambda: len(entry._context.server_registry.backends) == 2)
    table = entry._context.server_registry._server_table
    with table.lock:
        table.notices.record_backoff("i-2", 60.0, time.monotonic())

    assert fleet.send("/plain/x", X_Deadline_Ms="6000").status == 200

    assert len(slow.received_requests) == 1


def test_leaving_servers_do_not_close_their_service(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Leaving servers reject all requests; the service's others must stay in use."""
    rejections: list[str] = []

    def record_rejection(
        _: RetryGuards, service: str, server: str, *, idle_s: float
    ) -> bool:
        rejections.append(server)
        return True

    monkeypatch.setattr(RetryGuards, "record_rejection", record_rejection)
    for number in (1, 2):
        server = fleet.add_server(f"i-{number}")
        server.behaviour = Behaviour(rejects_requests=True, is_leaving=True)
    entry = fleet.add_entry()
    wait_until(lambda: len(entry._context.server_registry.backends) == 2)

    fleet.send("/stream/x")

    assert [len(server.received_requests) for server in fleet.servers] == [1, 1]
    assert rejections == []


def test_invalid_rest_period_is_ignored(fleet: Fleet) -> None:
    server = fleet.add_server("i-1")
    server.behaviour = Behaviour(rejects_requests=True, retry_after="a while")
    fleet.add_entry()
    fleet.send("/plain/x")
    server.behaviour = Behaviour()

    wait_until(lambda: fleet.send("/plain/x").status == 200, seconds=BACKOFF_S)


def test_rest_period_in_an_answer_to_another_request_is_ignored(fleet: Fleet) -> None:
    server = fleet.add_server("i-1")
    server.behaviour = backoff_behaviour(60.0)._replace(sends_wrong_id=True)
    fleet.add_entry()
    fleet.send("/plain/x")
    server.behaviour = Behaviour()

    assert fleet.send("/plain/x").status == 200


def test_notice_of_another_instance_is_ignored(
    fleet: Fleet,
) -> None:
    """A 421 has notices of the server that sent it, not of the requested one."""
    server = fleet.add_server("i-1")
    server.instance = "i-9"
    server.behaviour = backoff_behaviour(60.0)
    entry = fleet.add_entry()

    fleet.send("/plain/x")

    assert len(server.received_requests) == 1
    assert len(entry._context.server_registry._server_table.notices) == 0


def test_notice_after_placement_withholds_the_request(
    fleet: Fleet,
) -> None:
    """A notice after the placement moves the request to another server.

    This consumes no retry, since nothing was sent; the budget here allows none.
    """
    server_in_backoff, good = fleet.add_server("i-1"), fleet.add_server("i-2")
    entry = fleet.add_entry(retry_floor=0.0)
    context = entry._context
    open_connection = context.connection_pool.open

    def opened(address: str) -> ServerConnection:
        if address == server_in_backoff.address:
            table = context.server_registry._server_table
            with table.lock:
                table.notices.record_backoff("i-1", 60.0, time.monotonic())
        return open_connection(address)

    context.connection_pool.open = opened  # type: ignore[method-assign]

    statuses = [fleet.send("/once/x").status for _ in range(4)]

    assert statuses == [200] * 4
    assert server_in_backoff.received_requests == []
    assert len(good.received_requests) == 4


@pytest.mark.parametrize("not_run", [False, True], ids=["served", "turned-away"])
def test_a_server_that_said_that_it_leaves_gets_nothing_more(
    fleet: Fleet, *, not_run: bool
) -> None:
    """Guards against requests to a leaving server that is still listed as available."""
    leaving_server = fleet.add_server("i-1")
    leaving_server.behaviour = Behaviour(is_leaving=True, rejects_requests=not_run)
    fleet.add_entry()
    answer = fleet.send("/plain/x")
    assert answer.status == (503 if not_run else 200)
    assert answer.headers.get("server-leaving", "1") == "1"
    assert not_run or "server-leaving" in answer.headers
    good = fleet.add_server("i-2")
    wait_until(lambda: fleet.send("/plain/x").status == 200)

    statuses = [fleet.send("/plain/x").status for _ in range(10)]

    assert len(leaving_server.received_requests) == 1
    assert len(good.received_requests) == 11
    assert statuses == [200] * 10


def test_leaving_notice_before_the_body_is_read_is_recorded(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against further requests to a leaving server whose answer is not used."""
    request = HTTPConnection.request

    def cut(connection: HTTPConnection, method: str, url: str, **keys: Any) -> None:
        request(connection, method, url, **keys)
        if url.startswith("/once/"):
            raise BrokenPipeError

    monkeypatch.setattr(HTTPConnection, "request", cut)
    leaving_server = fleet.add_server("i-1")
    leaving_server.behaviour = Behaviour(is_leaving=True)
    entry = fleet.add_entry()

    assert fleet.send("/once/x").status == 502

    assert entry._context.server_registry.is_leaving("i-1")


def test_stream_begun_before_a_leaving_notice_is_completed(
    fleet: Fleet,
) -> None:
    """Neither its connection nor idle ones to the server are kept afterwards."""
    server = fleet.add_server("i-1")
    entry = fleet.add_entry()
    idle_connections = entry._context.connection_pool._idle_by_incarnation
    assert fleet.send("/plain/x").status == 200
    assert idle_connections.get("i-1")
    server.behaviour = Behaviour(event_count=10, event_interval_s=0.1)
    whole: list[bool] = []
    stream = Thread(target=lambda: whole.append(fleet.send("/stream/x").is_complete))
    stream.start()
    wait_until(lambda: len(server.received_requests) == 2)
    server.behaviour = Behaviour(is_leaving=True)

    assert fleet.send("/plain/y", X_Attempt_Id="attempt-2").status == 200
    assert not idle_connections.get("i-1")
    stream.join()

    assert whole == [True]
    assert not idle_connections.get("i-1")


def test_new_incarnation_of_a_server_that_left_is_used(fleet: Fleet) -> None:
    server = fleet.add_server("i-1")
    fleet.store.put("servers", "i-1", server.build_store_entry("app", born=1_000))
    entry = fleet.add_entry()
    server.behaviour = Behaviour(is_leaving=True)
    assert fleet.send("/plain/x").status == 200
    assert entry._context.server_registry.is_leaving("i-1@1000")
    server.behaviour = Behaviour()

    fleet.store.put("servers", "i-1", server.build_store_entry("app", born=2_000))

    wait_until(lambda: fleet.send("/plain/x").status == 200)


def test_leaving_server_is_not_recorded_as_crashed(fleet: Fleet) -> None:
    """Some servers leave without being listed as draining: their entry is removed.

    A request whose answer was lost as its server left is not blamed for that; one whose
    server had not announced anything is.
    """
    for number in (1, 2):
        server = fleet.add_server(f"i-{number}")
        server.behaviour = Behaviour(is_leaving=number == 1)
    context = fleet.add_entry()._context
    wait_until(lambda: len(context.server_registry.backends) == 2)
    wait_until(
        lambda: bool(
            fleet.send("/plain/x") and context.server_registry.is_leaving("i-1")
        )
    )
    time.sleep(MIN_LEAVING_S + 0.1)
    for number in (1, 2):
        now = time.monotonic()
        run = LostRun(
            (f"f-{number}",), f"i-{number}", now, now, is_closed=True, is_suspect=False
        )
        context.crash_evidence.record_lost_run(run)

    for number in (1, 2):
        fleet.store.remove("servers", f"i-{number}")

    wait_until(lambda: not context.server_registry.backends)
    wait_until(lambda: isinstance(context.crash_evidence.get_status(["f-2"]), Suspect))
    assert isinstance(context.crash_evidence.get_status(["f-1"]), NotSuspected)


def test_notice_after_placement_withholds_the_request_from_a_pooled_connection(
    fleet: Fleet,
) -> None:
    server_in_backoff = fleet.add_server("i-1")
    entry = fleet.add_entry()
    context = entry._context
    assert fleet.send("/plain/x").status == 200
    assert context.connection_pool._idle_by_incarnation.get("i-1")
    good = fleet.add_server("i-2")
    wait_until(lambda: len(context.server_registry.backends) == 2)
    take = context.connection_pool.acquire

    def taken(incarnation: str) -> ServerConnection | None:
        if incarnation == "i-1":
            table = context.server_registry._server_table
            with table.lock:
                table.notices.record_backoff("i-1", 60.0, time.monotonic())
        return take(incarnation)

    context.connection_pool.acquire = taken  # type: ignore[method-assign]

    assert [fleet.send("/plain/x").status for _ in range(4)] == [200] * 4
    assert len(server_in_backoff.received_requests) == 1
    assert len(good.received_requests) == 4


def test_stream_is_not_resumed_at_a_resting_server(fleet: Fleet) -> None:
    server_in_backoff = fleet.add_server("i-1")
    server_in_backoff.behaviour = backoff_behaviour(60.0)
    fleet.add_entry()
    assert fleet.send("/stream/x", X_Deadline_Ms="8000").status == 503
    breaks = fleet.add_server("i-2")
    breaks.behaviour = Behaviour(event_count=6, truncate_after_events=3)

    wait_until(lambda: fleet.send("/stream/y", X_Deadline_Ms="8000").status == 200)

    assert len(breaks.received_requests) == 1
    assert len(server_in_backoff.received_requests) == 1
