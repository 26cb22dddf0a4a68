"""What request threads share: the parts of one entry on the users' platform."""

from __future__ import annotations

from time import monotonic
from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.telemetry.json_logs import lines_of


if TYPE_CHECKING:
    from kingcupwheel.entry.dispatchers import Dispatchers
    from kingcupwheel.entry.tickets import Place
    from kingcupwheel.forwarding.calls import ServerAnswer
    from kingcupwheel.forwarding.calls import ServerCalls
    from kingcupwheel.forwarding.configurationcache import ConfigurationCache
    from kingcupwheel.forwarding.connectionpool import ConnectionPool
    from kingcupwheel.forwarding.guards import Guards
    from kingcupwheel.forwarding.heads import ReportedLoad
    from kingcupwheel.forwarding.heads import ServerNotice
    from kingcupwheel.forwarding.pulse import Pulses
    from kingcupwheel.forwarding.serverbook import ServerBook
    from kingcupwheel.forwarding.watchdog import Watchdog
    from kingcupwheel.manifest.schema import ServerGroup
    from kingcupwheel.telemetry.metrics import EntryMetrics


log = lines_of("servers")


class ForwardContext(NamedTuple):
    """The shared parts; each is safe from any thread."""

    data_centre: str
    configuration_cache: ConfigurationCache
    dispatchers: Dispatchers
    servers: ServerBook
    server_client: ServerCalls
    connection_pool: ConnectionPool
    guards: Guards
    liveness: Pulses
    watchdog: Watchdog
    metrics: EntryMetrics

    def group_of(self, service: str) -> ServerGroup:
        """Return the group that a service's requests queue for."""
        return self.servers.group_of(service)

    def record_load(self, place: Place, load: ReportedLoad | None) -> None:
        """Take in the load that an answer told."""
        self.servers.saw_load(place, load)

    def record_notice(
        self, place: Place, notice: ServerNotice, request_id: str
    ) -> None:
        """Take in what an answer says of its server."""
        for header in notice.unreadable:
            self.metrics.server_notices.labels("unreadable").inc()
            log.warning(
                "notice-unreadable",
                server=place.incarnation,
                header=header,
                id=request_id,
            )
        if notice.rest_s:
            self.metrics.server_notices.labels("rest").inc()
            self.servers.rests(place, notice.rest_s, request_id)
        if notice.leaving and self.servers.leaves(place, request_id):
            self.metrics.server_notices.labels("leaving").inc()
            self.connection_pool.close_server(place.incarnation)

    def release_connection(self, place: Place, answer: ServerAnswer) -> None:
        """Keep the connection of an answer that ended, unless its server leaves."""
        answer.end(place.incarnation, self.connection_pool)
        if self.servers.is_leaving(place.incarnation):
            self.connection_pool.close_server(place.incarnation)

    def record_misdirection(self, place: Place) -> None:
        """Note that another life of a server has its address."""
        self.connection_pool.close_server(place.incarnation)
        self.servers.misdirected(place)

    def record_rejection(self, place: Place, service: str, *, streamed: bool) -> None:
        """Note that a server turned a request away: it is full, or its group closed."""
        if streamed and self.guards.is_closed(
            service,
            place.server,
            quiet_s=self.liveness.of(service).quiet_s(monotonic()),
        ):
            log.info("service-closed", service=service, server=place.server)
            self.servers.closed(service)
        else:
            self.servers.full(place)
