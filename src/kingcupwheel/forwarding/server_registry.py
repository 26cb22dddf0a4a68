"""Registry of the backend servers that an entry sends requests to.

It has three sources: the platform's list of servers, the load in servers' answers, and
the load that the agents beside the servers report a few times a second.
"""

from __future__ import annotations

from threading import Lock
from time import monotonic
from typing import TYPE_CHECKING

import msgspec

from kingcupwheel.forwarding.address_claims import AddressClaims
from kingcupwheel.manifest.schema import ServerGroup
from kingcupwheel.messages.membership import AgentHeartbeat
from kingcupwheel.messages.membership import BackendLoad
from kingcupwheel.platform.client import Instance
from kingcupwheel.telemetry.json_logs import lines_of


if TYPE_CHECKING:
    from collections.abc import Iterable

    from kingcupwheel.entry.dispatcher_registry import DispatcherRegistry
    from kingcupwheel.entry.placement_tickets import Reservation
    from kingcupwheel.entry.server_table import ServerTable
    from kingcupwheel.forwarding.backends import Backend
    from kingcupwheel.forwarding.http_metadata import ReportedLoad
    from kingcupwheel.messages.membership import ReportedServerLoad

log = lines_of("servers")

# Requests of one service that wait in one entry. Their waiting time is bounded by their
# deadlines; this limit bounds memory and threads.
MAX_QUEUED_REQUESTS = 64
# An agent's report is used for this long; after that the loads in answers are.
_AGENT_REPORT_MAX_AGE_S = 1.0
# A server is slow above this pace, the ratio of its pass time to the usual one. Smaller
# ratios are within the variation of its reports.
SLOW_PACE = 1.25
# From this pace on a server gets no requests and its streams are resumed elsewhere,
# unless more than MAX_AVOIDED_SHARE of the service's servers are as slow.
AVOIDED_PACE = 2.5
MAX_AVOIDED_SHARE = 0.25
# Uptime that placement assumes of a new server which the platform reports to be warm.
_WARM_UPTIME_S = 3600.0


class ServerRegistry:
    """Updates the server table from lists, answers and agent reports; thread-safe."""

    def __init__(self, servers: ServerTable, dispatchers: DispatcherRegistry) -> None:
        self._server_table = servers
        self._dispatchers = dispatchers
        self._backends_by_address: dict[str, Backend] = {}
        self._groups_by_service: dict[str, ServerGroup] = {}
        self._agent_reported_at: dict[str, float] = {}
        self._slow_at: dict[str, float] = {}
        self._listed: tuple[Backend, ...] = ()
        self._claims = AddressClaims()
        # Held while a list is applied, so that an older one never replaces a newer one.
        self._listing_lock = Lock()
        self._lock = Lock()

    @property
    def is_empty(self) -> bool:
        """Whether no server is known."""
        return not self._backends_by_address

    @property
    def backends(self) -> tuple[Backend, ...]:
        """The known servers."""
        return tuple(self._backends_by_address.values())

    @property
    def known_incarnations(self) -> frozenset[str]:
        """The incarnations of the known servers."""
        return frozenset(one.incarnation for one in self.backends)

    def in_flight_requests(self, service: str) -> int:
        """Return the number of this entry's requests at the servers of a service."""
        with self._server_table.lock:
            return sum(
                one.in_flight for one in self._server_table.list_by_group(service)
            )

    def group_of(self, service: str) -> ServerGroup:
        """Return the server group in whose queue a service's requests wait."""
        with self._lock:
            group = self._groups_by_service.get(service)
        return group or ServerGroup(name=service, queue=MAX_QUEUED_REQUESTS)

    def set_listed(self, backends: tuple[Backend, ...]) -> None:
        """Replace the listed servers."""
        with self._listing_lock:
            self._listed = backends
            self._apply_listed(monotonic())

    def _apply_listed(self, now: float) -> None:
        """Use the listed servers except those whose address claim was refuted."""
        with self._lock:
            before = self._backends_by_address
            by_address = self._claims.owners_by_address(self._listed, before, now)
            self._backends_by_address = by_address
            self._groups_by_service = _groups_by_service(by_address.values())
        self._server_table.set_instances(
            tuple(map(_instance, by_address.values())), now
        )
        for address, backend in by_address.items():
            known = before.get(address)
            if known is None or known.incarnation != backend.incarnation:
                self._register_incarnation(backend, now)
        for service in {backend.service for backend in by_address.values()}:
            self._dispatchers.place_waiting(service)

    def _register_incarnation(self, backend: Backend, now: float) -> None:
        self._server_table.record_heartbeat(
            backend.address, _heartbeat(backend, _load(0, 0)), now
        )
        self._update_load(backend, _load(0, 0), now)
        if backend.warmup_left_s <= 0.0:
            # Placement ramps up load on a new server while its caches are cold; the
            # platform reports that this one is warm.
            with self._server_table.lock:
                server = self._server_table.find_by_address(backend.address)
                if server is not None:
                    server.first_heard_at = now - _WARM_UPTIME_S
        self._dispatchers.reset_server_health(backend.service, backend.instance)

    def record_load(self, reservation: Reservation, load: ReportedLoad | None) -> None:
        """Record the load in an answer's headers."""
        now = monotonic()
        backend = self._current_backend(reservation)
        agent_at = self._agent_reported_at.get(reservation.address, float("-inf"))
        if (
            backend is not None
            and load is not None
            and now - agent_at > _AGENT_REPORT_MAX_AGE_S
        ):
            running = max(0, load.running - 1)
            self._update_load(backend, _load(running, load.waiting), now)

    def mark_full(self, reservation: Reservation) -> None:
        """Record that a server rejected a request because it is full."""
        backend = self._current_backend(reservation)
        if backend is not None:
            self._update_load(backend, _load(backend.capacity, 0), monotonic())

    def _current_backend(self, reservation: Reservation) -> Backend | None:
        """Return the reserved server, None if it has restarted since.

        A late answer may arrive after its server has restarted under the same name; its
        load is then of the previous incarnation.
        """
        backend = self._backends_by_address.get(reservation.address)
        if backend is None or backend.incarnation != reservation.incarnation:
            return None
        return backend

    def is_reported_full(self, reservation: Reservation, now: float) -> bool:
        """Return whether a recent report of the agent says that the server is full.

        A request without an answer may then be waiting in the server's own queue, which
        is no sign of a failure.
        """
        agent_at = self._agent_reported_at.get(reservation.address, float("-inf"))
        server = self._server_table.find_by_address(reservation.address)
        if (
            now - agent_at > _AGENT_REPORT_MAX_AGE_S
            or server is None
            or server.last_heartbeat is None
        ):
            return False
        load = server.last_heartbeat.load
        return load.running + load.queued >= load.capacity

    def record_backoff(
        self, reservation: Reservation, duration_s: float, request_id: str
    ) -> None:
        """Send no requests to a server during the backoff that it requested."""
        now = monotonic()
        incarnation = reservation.incarnation
        with self._server_table.lock:
            is_new = self._server_table.notices.record_backoff(
                incarnation, duration_s, now
            )
        if is_new:
            log.info(
                "rest-asked",
                server=incarnation,
                for_s=round(duration_s, 3),
                id=request_id,
            )

    def mark_leaving(self, reservation: Reservation, request_id: str) -> bool:
        """Send no more requests to a leaving server; return whether that is new."""
        incarnation = reservation.incarnation
        with self._server_table.lock:
            is_new = self._server_table.notices.record_leaving(incarnation)
        if is_new:
            log.info("server-leaves", server=incarnation, id=request_id)
        return is_new

    def is_leaving(self, incarnation: str) -> bool:
        """Return whether this incarnation of a server has announced that it leaves."""
        with self._server_table.lock:
            return self._server_table.notices.is_leaving(incarnation)

    def may_send(self, reservation: Reservation) -> bool:
        """Return whether the reserved server incarnation may get requests now."""
        with self._server_table.lock:
            return self._server_table.notices.accepts_requests(
                reservation.incarnation, monotonic()
            )

    def end_expired_backoffs(self) -> None:
        """Use the servers again whose backoff has ended."""
        with self._server_table.lock:
            ended = self._server_table.notices.take_ended_backoffs(monotonic())
        if not ended:
            return
        for incarnation in ended:
            log.info("rest-ended", server=incarnation)
        for service in tuple(self._groups_by_service):
            self._dispatchers.place_waiting(service)

    def _remove_old_notices(self, now: float) -> None:
        with self._server_table.lock:
            forgotten = self._server_table.notices.retain(self.known_incarnations, now)
        for incarnation in forgotten:
            log.info("notice-forgotten", server=incarnation)

    def mark_service_closed(self, service: str) -> None:
        """Record that all servers of a service reject requests at the moment.

        Requests wait in the queue. A server whose agent reports that it is up is used
        again at once, the others after the next refresh.
        """
        now = monotonic()
        for backend in tuple(self._backends_by_address.values()):
            if backend.service == service:
                self._update_load(backend, _load(0, 0), now, is_up=False)

    def refute_address(self, reservation: Reservation) -> None:
        """Record that the server at an address states that it is another one.

        The refuted name is not used for that address for a while. Another listed server
        with the address may be the right one.
        """
        backend = self._current_backend(reservation)
        if backend is None or backend.instance != reservation.server:
            return
        now = monotonic()
        log.info("claim-refuted", server=backend.incarnation, address=backend.address)
        with self._listing_lock:
            self._claims.refute(backend, now)
            self._apply_listed(now)

    def apply_agent_reports(self, reports: Iterable[ReportedServerLoad]) -> None:
        """Record the loads that the agents beside servers report."""
        now = monotonic()
        services: set[str] = set()
        for one in reports:
            backend = self._backends_by_address.get(one.address)
            if backend is not None:
                self._apply_agent_report(backend, one, now)
                services.add(backend.service)
        for service in services:
            self._dispatchers.place_waiting(service)

    def _apply_agent_report(
        self, backend: Backend, report: ReportedServerLoad, now: float
    ) -> None:
        address = backend.address
        if report.started_at_ms and backend.started_at_ms:
            if report.started_at_ms < backend.started_at_ms:
                # The report was sent before the server restarted.
                return
            if report.started_at_ms > backend.started_at_ms:
                backend = self._replace_incarnation(backend, report.started_at_ms, now)
        self._agent_reported_at[address] = now
        if report.pace >= AVOIDED_PACE:
            self._slow_at[address] = now
        is_up = report.up and not self._is_avoided(backend, now)
        load = BackendLoad(report.running, report.queued, 0, 0.0, 0.0, 0.0, report.pace)
        self._update_load(backend, load, now, is_up=is_up)

    def _replace_incarnation(
        self, backend: Backend, started_at_ms: int, now: float
    ) -> Backend:
        """Record a restart that the agent reports before the list does."""
        replacement = backend._replace(started_at_ms=started_at_ms)
        log.info(
            "server-reborn", server=replacement.incarnation, before=backend.incarnation
        )
        with self._lock:
            self._backends_by_address[backend.address] = replacement
        self._register_incarnation(replacement, now)
        return replacement

    def _is_avoided(self, backend: Backend, now: float) -> bool:
        """Return whether a server is too slow to get requests.

        A rank that is many times slower delays every pass of its group, so each request
        on it costs all streams of the group; without requests it has no passes of its
        own. At most a quarter of a service's servers are avoided, since more would
        overload the others.
        """
        if backend.address not in self._slow_at:
            return False
        slow_addresses = {
            address
            for address, at in self._slow_at.items()
            if now - at <= _AGENT_REPORT_MAX_AGE_S
            and address in self._backends_by_address
        }
        service_size = sum(
            one.service == backend.service for one in self._backends_by_address.values()
        )
        return (
            backend.address in slow_addresses
            and len(slow_addresses) <= service_size * MAX_AVOIDED_SHARE
        )

    def avoided_instances(self) -> tuple[str, ...]:
        """Return the instances that get no requests because they are slow."""
        now = monotonic()
        return tuple(
            backend.instance
            for backend in tuple(self._backends_by_address.values())
            if self._is_avoided(backend, now)
        )

    def refresh_unreported(self) -> None:
        """Keep listed servers in use whose agents have sent no recent report.

        The load in their last answers is outdated after a second, so the number of
        requests that this entry has in flight there is used instead.
        """
        now = monotonic()
        for address, backend in tuple(self._backends_by_address.items()):
            agent_at = self._agent_reported_at.get(address, float("-inf"))
            if now - agent_at > _AGENT_REPORT_MAX_AGE_S:
                server = self._server_table.find_by_address(address)
                if server is not None:
                    load = _load(min(server.current_in_flight, backend.capacity), 0)
                    self._update_load(backend, load, now)
        self._remove_old_notices(now)
        for service in self._groups_by_service:
            self._dispatchers.place_waiting(service)

    def _update_load(
        self, backend: Backend, reported: BackendLoad, now: float, *, is_up: bool = True
    ) -> None:
        current = self._backends_by_address.get(backend.address)
        if current is None or current.incarnation != backend.incarnation:
            return
        load = msgspec.structs.replace(
            reported, capacity=capacity_at_pace(backend.capacity, reported.pace)
        )
        self._server_table.record_heartbeat(
            backend.address, _heartbeat(backend, load, is_up=is_up), now
        )


def capacity_at_pace(capacity: int, pace: float) -> int:
    """Return the capacity of a server whose passes take ``pace`` times as long.

    All ranks of a group run each pass together, so the work of a slow rank delays every
    stream of the group. Its capacity is at least 1, for when the others are full.
    """
    if pace <= SLOW_PACE:
        return capacity
    return max(1, int(capacity / (pace * pace)))


def _load(running: int, waiting: int) -> BackendLoad:
    return BackendLoad(running, waiting, 0, 0.0, 0.0, 0.0)


def _groups_by_service(backends: Iterable[Backend]) -> dict[str, ServerGroup]:
    capacity_by_service: dict[str, int] = {}
    for backend in backends:
        max_capacity = capacity_by_service.get(backend.service, 1)
        capacity_by_service[backend.service] = max(max_capacity, backend.capacity)
    return {
        service: ServerGroup(
            name=service, concurrency=capacity, queue=MAX_QUEUED_REQUESTS
        )
        for service, capacity in capacity_by_service.items()
    }


def _instance(backend: Backend) -> Instance:
    return Instance(
        name=backend.instance,
        role="agent",
        group=backend.service,
        data_centre=backend.data_centre,
        address=backend.address,
        http="",
        leaving=backend.is_leaving,
    )


def _heartbeat(
    backend: Backend, load: BackendLoad, *, is_up: bool = True
) -> AgentHeartbeat:
    return AgentHeartbeat(
        name=backend.instance,
        group=backend.service,
        data_centre=backend.data_centre,
        incarnation=backend.incarnation,
        token=0,
        load=load,
        leaving=backend.is_leaving,
        server_up=is_up,
        manifest_version=0,
        crashed=(),
    )
