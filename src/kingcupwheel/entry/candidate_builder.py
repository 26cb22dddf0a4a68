"""Builds the candidates of a placement from servers, their health and notices."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from kingcupwheel.decisions.candidates import Candidate
from kingcupwheel.decisions.group_health import GroupHealth
from kingcupwheel.decisions.group_health import ServerLoad
from kingcupwheel.decisions.server_health import ServerState


if TYPE_CHECKING:
    from collections.abc import Mapping

    from kingcupwheel.entry.server_table import Server
    from kingcupwheel.entry.server_table import ServerTable
    from kingcupwheel.manifest.schema import ServerGroup


class CandidateBuilder:
    """Builds the candidates of one group; not thread-safe."""

    def __init__(
        self, group: ServerGroup, servers: ServerTable, health: GroupHealth
    ) -> None:
        self._concurrency = group.concurrency
        self._servers = servers
        self._health = health

    def build(self, servers: Mapping[str, Server], now: float) -> list[Candidate]:
        """Return the candidates with their current states, by ``servers`` by name.

        Call it with the server table's lock held.
        """
        concurrency = self._concurrency
        candidates = [
            self._add_constraints(
                _build_candidate(server, concurrency, now),
                server.known_heartbeat.incarnation,
                now,
            )
            for server in servers.values()
        ]
        excluding_state_by_name = {
            one.name: state
            for one in candidates
            if (state := self._find_excluding_state(servers[one.name], one, now))
            is not None
        }
        loads = [
            ServerLoad(
                one.name,
                one.estimated_in_flight,
                one.capacity,
                one.name not in excluding_state_by_name and one.limited_access is None,
            )
            for one in candidates
        ]
        state_by_name = self._health.update_states(loads, now)
        state_by_name.update(excluding_state_by_name)
        return [replace(one, state=state_by_name[one.name]) for one in candidates]

    def _add_constraints(
        self, candidate: Candidate, incarnation: str, now: float
    ) -> Candidate:
        """Add what the server asked for in its answers."""
        backoff_until = self._servers.notices.backoff_until(incarnation) or 0.0
        access = self._servers.rate_limits.get_access(incarnation, now)
        if access is not None:
            backoff_until = max(backoff_until, access.available_at)
        return replace(candidate, backoff_until=backoff_until, limited_access=access)

    def _find_excluding_state(
        self, server: Server, candidate: Candidate, now: float
    ) -> ServerState | None:
        """Return the state that excludes a server whatever its health, None if none."""
        incarnation = server.known_heartbeat.incarnation
        if server.is_draining or self._servers.notices.is_leaving(incarnation):
            return ServerState.LEAVING
        if not server.is_in_service:
            return ServerState.DOWN
        if self._servers.notices.is_backing_off(incarnation, now):
            return ServerState.BACKING_OFF
        access = candidate.limited_access
        if access is not None and access.available_at > now:
            return ServerState.RATE_LIMITED
        return None


def _build_candidate(server: Server, concurrency: int, now: float) -> Candidate:
    load = server.known_heartbeat.load
    return Candidate(
        name=server.name,
        data_centre=server.instance.data_centre,
        capacity=min(load.capacity, concurrency),
        running=load.running,
        queued=load.queued,
        work=load.work,
        work_per_s=load.rate,
        own_in_flight=server.current_in_flight,
        report_age_s=now - server.last_heard_at,
        uptime_s=now - server.first_heard_at,
        own_in_flight_at_report=server.in_flight_at_heartbeat,
        running_suspects=server.suspect_count,
    )
