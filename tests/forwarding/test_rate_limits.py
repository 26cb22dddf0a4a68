"""Rate limits that servers name in answers, over real sockets."""

from __future__ import annotations

import time
from itertools import cycle
from typing import TYPE_CHECKING

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
