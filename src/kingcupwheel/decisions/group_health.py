"""The health of a group's servers, with a guard against mass ejection."""

from __future__ import annotations

from statistics import median
from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.decisions.server_health import ServerHealth
from kingcupwheel.decisions.server_health import ServerState


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping


# Ejected servers are at most this share of a group. Reason: when more fail, the cause
# lies with the requests, the link or the entry itself. Those kept are given only what
# the others have no room for.
MAX_EJECTED_SHARE = 1 / 2

_OUT_OF_SERVICE_STATES = (ServerState.EJECTED, ServerState.PROBING)


class ServerLoad(NamedTuple):
    """What a server holds: attempts running or queued, and how many it can run.

    One that is not ``in_service`` has no room for what others hold.
    """

    name: str
    in_flight: float
    capacity: int
    is_in_service: bool = True


class GroupHealth:
    """The health of each server of a group, as one entry sees it.

    Load: a switch, a rack or a bad request makes many servers fail at once. Harm
    prevented: with those gone the rest is overrun and fails too, until none is left.
    No ejection takes the group beyond ``MAX_EJECTED_SHARE``, or leaves the others
    without room for what the group holds at the moment; the worst go first.
    """

    def __init__(self) -> None:
        self._by_name: dict[str, ServerHealth] = {}

    def get(self, server: str) -> ServerHealth:
        """Return the health of ``server``, new if it was never seen."""
        health = self._by_name.get(server)
        if health is None:
            health = self._by_name[server] = ServerHealth()
        return health

    def reset(self, server: str) -> None:
        """Forget what is known of ``server``: a new life of it has come up."""
        self._by_name.pop(server, None)

    def retain(self, servers: Iterable[str]) -> None:
        """Forget every server but these."""
        wanted = set(servers)
        for name in [name for name in self._by_name if name not in wanted]:
            del self._by_name[name]

    def update_states(
        self, loads: Iterable[ServerLoad], now: float
    ) -> dict[str, ServerState]:
        """Return the state of each server by name."""
        load_by_name = {load.name: load for load in loads}
        health_by_name = {name: self.get(name) for name in load_by_name}
        median_s = _median_latency(health_by_name)
        held = sum(load.in_flight for load in load_by_name.values())
        serving = [load for load in load_by_name.values() if load.is_in_service]
        places = sum(load.capacity for load in serving)
        may_leave = int(len(serving) * MAX_EJECTED_SHARE)
        state_by_name: dict[str, ServerState] = {}
        for name in sorted(
            load_by_name, key=lambda name: _update_order(health_by_name, name)
        ):
            load = load_by_name[name]
            has_room = held <= places - load.capacity * load.is_in_service
            may_eject = may_leave > 0 and has_room
            state = health_by_name[name].update_state(
                median_s, now, may_eject=may_eject
            )
            state_by_name[name] = state
            if state in _OUT_OF_SERVICE_STATES and load.is_in_service:
                may_leave -= 1
                places -= load.capacity
        return state_by_name


def _median_latency(health_by_name: Mapping[str, ServerHealth]) -> float:
    known = [one.latency_s for one in health_by_name.values() if one.is_measured]
    return median(known) if known else 0.0


def _update_order(
    health_by_name: Mapping[str, ServerHealth], name: str
) -> tuple[bool, int, str]:
    """Order for judging: the ejected first, then those that fail most."""
    health = health_by_name[name]
    return (not health.is_ejected, -health.consecutive_failures, name)
