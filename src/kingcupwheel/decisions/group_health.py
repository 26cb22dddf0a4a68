"""Health of a server group, with a limit on simultaneous ejections."""

from __future__ import annotations

from statistics import median
from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.decisions.server_health import ServerHealth
from kingcupwheel.decisions.server_health import ServerState


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping


# Largest fraction of a group that may be ejected. If more servers fail, the cause lies
# with the requests, the link or the entry itself. Failing servers that are kept receive
# only the requests that the others have no capacity for.
MAX_EJECTED_SHARE = 1 / 2

_OUT_OF_SERVICE_STATES = (ServerState.EJECTED, ServerState.PROBING)


class ServerLoad(NamedTuple):
    """Attempts running or queued on a server, and how many it can run.

    A server that is not in service cannot take over the attempts of others.
    """

    name: str
    in_flight: float
    capacity: int
    is_in_service: bool = True


class GroupHealth:
    """Health of each server of a group, as one entry sees it.

    A failing switch or rack, or a bad request, can make many servers fail at once. If
    all were ejected, the rest would be overloaded and fail too. At most
    ``MAX_EJECTED_SHARE`` of the group is ejected, and only while the other servers have
    capacity for all attempts in flight; the servers with most failures go first.
    """

    def __init__(self) -> None:
        self._health_by_server: dict[str, ServerHealth] = {}

    def get(self, server: str) -> ServerHealth:
        """Return the health of ``server``, creating it if unknown."""
        health = self._health_by_server.get(server)
        if health is None:
            health = self._health_by_server[server] = ServerHealth()
        return health

    def reset(self, server: str) -> None:
        """Discard the health of ``server`` after it has restarted."""
        self._health_by_server.pop(server, None)

    def retain(self, servers: Iterable[str]) -> None:
        """Discard the health of every other server."""
        kept = set(servers)
        for name in [name for name in self._health_by_server if name not in kept]:
            del self._health_by_server[name]

    def update_states(
        self, loads: Iterable[ServerLoad], now: float
    ) -> dict[str, ServerState]:
        """Update the state of each server and return the states by name."""
        load_by_name = {load.name: load for load in loads}
        health_by_name = {name: self.get(name) for name in load_by_name}
        median_s = _median_latency(health_by_name)
        total_in_flight = sum(load.in_flight for load in load_by_name.values())
        serving = [load for load in load_by_name.values() if load.is_in_service]
        total_capacity = sum(load.capacity for load in serving)
        ejections_left = int(len(serving) * MAX_EJECTED_SHARE)
        state_by_name: dict[str, ServerState] = {}
        for name in sorted(
            load_by_name, key=lambda name: _update_order(health_by_name, name)
        ):
            load = load_by_name[name]
            has_capacity = (
                total_in_flight <= total_capacity - load.capacity * load.is_in_service
            )
            may_eject = ejections_left > 0 and has_capacity
            state = health_by_name[name].update_state(
                median_s, now, may_eject=may_eject
            )
            state_by_name[name] = state
            if state in _OUT_OF_SERVICE_STATES and load.is_in_service:
                ejections_left -= 1
                total_capacity -= load.capacity
        return state_by_name


def _median_latency(health_by_name: Mapping[str, ServerHealth]) -> float:
    known = [one.latency_s for one in health_by_name.values() if one.is_measured]
    return median(known) if known else 0.0


def _update_order(
    health_by_name: Mapping[str, ServerHealth], name: str
) -> tuple[bool, int, str]:
    """Sort key: ejected servers first, then by consecutive failures."""
    health = health_by_name[name]
    return (not health.is_ejected, -health.consecutive_failures, name)
