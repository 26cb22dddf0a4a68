"""Rate limits that servers name in answers, over real sockets."""

from __future__ import annotations

import time
from itertools import cycle
from typing import TYPE_CHECKING

from kingcupwheel.decisions.return_times import MAX_SPREAD_S
from tests.forwarding.fleet import wait_until
from tests.standins.backend import Behaviour
from tests.standins.rate_limits import WINDOW_S
from tests.standins.rate_limits import allowed_requests
from tests.standins.rate_limits import most_requests_in_window


if TYPE_CHECKING:
    from collections.abc import Iterable

    from tests.forwarding.fleet import CallerResponse
    from tests.forwarding.fleet import Fleet

# Time until the entries have told each other of a limit.
LEARNING_S = 1.5


def send_for(
    fleet: Fleet, seconds: float, targets: Iterable[str] = ("/plain/x",)
) -> list[CallerResponse]:
    """Send requests to all entries in turn for so long."""
    entries = cycle(range(len(fleet.entries)))
    target = cycle(targets)
    until = time.monotonic() + seconds
    answers = []
    while time.monotonic() < until:
        answers.append(fleet.send(next(target), entry=next(entries)))
        time.sleep(0.02)
    return answers


def test_entries_together_send_a_server_no_more_than_the_limit_it_named(
    fleet: Fleet,
) -> None:
    """Guards against entries that each take a whole rate limit, or ignore it."""
    limited = fleet.add_server("i-1")
    limited.behaviour = Behaviour(rate_limit="1", event_count=1)
    fleet.add_server("i-2").behaviour = Behaviour(event_count=1)
    for number in (1, 2, 3):
        fleet.add_entry(f"entry-{number}")
    wait_until(lambda: bool(send_for(fleet, 0.1) and limited.received_requests))
    send_for(fleet, LEARNING_S)
    counted_from = time.monotonic()

    answers = send_for(fleet, 2 * WINDOW_S, ("/plain/x", "/once/x", "/stream/x"))

    arrivals = [one.arrived_at for one in limited.received_requests]
    counted = [at for at in arrivals if at >= counted_from]
    assert most_requests_in_window(counted) <= allowed_requests(1.0)
    assert {answer.status for answer in answers} == {200}


def test_caller_is_refused_at_once_while_the_limit_is_used_up(fleet: Fleet) -> None:
    """Guards against requests that wait for their deadline though no share is left."""
    limited = fleet.add_server("i-1")
    limited.behaviour = Behaviour(rate_limit="0.5", event_count=1)
    fleet.add_entry()
    send_for(fleet, LEARNING_S)
    began = time.monotonic()

    answer = fleet.send("/plain/x", X_Deadline_Ms="1500")
    again = fleet.send("/plain/x", X_Deadline_Ms="1500")

    refused = [one for one in (answer, again) if one.status == 503]
    assert refused
    assert time.monotonic() - began < 1.0
    # One request in 2 s, after those refused before, and half of it as jitter.
    latest_s = 1.5 * (MAX_SPREAD_S + 2.0)
    assert all(0.4 <= float(one.headers["retry-after"]) <= latest_s for one in refused)


def test_a_limit_is_passed_on_to_callers(fleet: Fleet) -> None:
    fleet.add_server("i-1").behaviour = Behaviour(rate_limit="2.5")
    fleet.add_entry()

    assert fleet.send("/plain/x").headers["server-limit"] == "2.5"


def test_a_new_entry_is_told_of_a_limit_by_its_peers(fleet: Fleet) -> None:
    """Guards against a restarted entry that uses a server until it is told itself."""
    fleet.add_server("i-1").behaviour = Behaviour(rate_limit="3")
    fleet.add_entry("entry-1")
    fleet.send("/plain/x")

    newcomer = fleet.add_entry("entry-2")

    wait_until(
        lambda: (
            [
                (incarnation, rate)
                for incarnation, rate, _ in newcomer._context.rate_limits.list_limits()
            ]
            == [("i-1", 3.0)]
        )
    )


def test_a_lifted_limit_frees_the_server_at_every_entry(fleet: Fleet) -> None:
    """Guards against a limit that outlives its server's need."""
    limited = fleet.add_server("i-1")
    limited.behaviour = Behaviour(rate_limit="1")
    for number in (1, 2):
        fleet.add_entry(f"entry-{number}")
    send_for(fleet, LEARNING_S)

    limited.behaviour = Behaviour()
    wait_until(
        lambda: (
            bool(send_for(fleet, 0.2))
            and not any(
                entry._context.rate_limits.list_limits() for entry in fleet.entries
            )
        )
    )

    assert {answer.status for answer in send_for(fleet, 0.5)} == {200}


def test_an_unreadable_limit_changes_nothing(fleet: Fleet) -> None:
    server = fleet.add_server("i-1")
    server.behaviour = Behaviour(rate_limit="2")
    entry = fleet.add_entry()
    fleet.send("/plain/x")

    server.behaviour = Behaviour(rate_limit="many")
    send_for(fleet, LEARNING_S)

    (limit,) = entry._context.rate_limits.list_limits()
    assert limit[:2] == ("i-1", 2.0)
