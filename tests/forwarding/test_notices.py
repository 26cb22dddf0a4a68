"""What servers say of themselves in their answers, with real sockets and stand-ins."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from tests.forwarding.fleet import until
from tests.standins.backend import Behaviour


if TYPE_CHECKING:
    from tests.forwarding.fleet import Fleet

REST_S = 2.0


def resting(seconds: float = REST_S) -> Behaviour:
    """Return the behaviour of a server that turns requests away to rest."""
    return Behaviour(not_run=True, rest=str(seconds))


def test_a_server_that_asked_for_rest_gets_nothing_before_its_rest_is_over(
    fleet: Fleet,
) -> None:
    """BUDGET: it gets more than two requests while it rests, for it looks idle."""
    tired = fleet.add_server("i-1")
    tired.behaviour = resting()
    fleet.add_entry()
    assert fleet.send("/plain/x").status == 503
    turned_away_at = time.monotonic()
    fleet.add_server("i-2")
    until(lambda: fleet.send("/plain/x").status == 200)

    statuses = set()
    while time.monotonic() < turned_away_at + 0.8 * REST_S:
        statuses.add(fleet.send("/plain/x").status)
        time.sleep(0.02)

    assert len(tired.arrivals) == 1
    assert statuses == {200}
