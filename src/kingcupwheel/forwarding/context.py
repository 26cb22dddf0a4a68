"""The components that the request threads of one entry share."""

from __future__ import annotations

from time import monotonic
from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.telemetry.json_logs import lines_of


if TYPE_CHECKING:
    from kingcupwheel.entry.dispatcher_registry import DispatcherRegistry
    from kingcupwheel.entry.placement_tickets import Reservation
    from kingcupwheel.forwarding.calls import ServerClient
    from kingcupwheel.forwarding.configuration_cache import ConfigurationCache
    from kingcupwheel.forwarding.connection_pool import ConnectionPool
    from kingcupwheel.forwarding.crash_attribution import LostRun
    from kingcupwheel.forwarding.crash_evidence import CrashEvidence
    from kingcupwheel.forwarding.crash_prober import CrashProber
    from kingcupwheel.forwarding.http_metadata import ReportedLoad
    from kingcupwheel.forwarding.http_metadata import ServerNotice
    from kingcupwheel.forwarding.liveness import LivenessTrackers
    from kingcupwheel.forwarding.rate_limit_exchange import RateLimitExchange
    from kingcupwheel.forwarding.retry_guards import RetryGuards
    from kingcupwheel.forwarding.server_answer import ServerAnswer
    from kingcupwheel.forwarding.server_registry import ServerRegistry
    from kingcupwheel.forwarding.watchdog import Watchdog
    from kingcupwheel.manifest.schema import ServerGroup
    from kingcupwheel.telemetry.metrics import EntryMetrics


log = lines_of("servers")


class ForwardContext(NamedTuple):
    """The shared components; each is thread-safe."""

    data_centre: str
    configuration_cache: ConfigurationCache
    dispatchers: DispatcherRegistry
    server_registry: ServerRegistry
    rate_limits: RateLimitExchange
    server_client: ServerClient
    connection_pool: ConnectionPool
    retry_guards: RetryGuards
    crash_evidence: CrashEvidence
    crash_prober: CrashProber
    liveness: LivenessTrackers
    watchdog: Watchdog
    metrics: EntryMetrics

    def group_of(self, service: str) -> ServerGroup:
        """Return the server group in whose queue a service's requests wait."""
        return self.server_registry.group_of(service)

    def record_load(self, reservation: Reservation, load: ReportedLoad | None) -> None:
        """Record the load that an answer reported."""
        self.server_registry.record_load(reservation, load)

    def record_notice(
        self,
        reservation: Reservation,
        notice: ServerNotice,
        request_id: str,
        *,
        sent_at: float,
    ) -> None:
        """Record what an answer says about its server: a backoff, limit or shutdown.

        The request was sent at ``sent_at`` (monotonic seconds).
        """
        for header in notice.unreadable_headers:
            self.metrics.server_notices.labels("unreadable").inc()
            log.warning(
                "notice-unreadable",
                server=reservation.incarnation,
                header=header,
                id=request_id,
            )
        if notice.rate_limit is not None:
            self.metrics.server_notices.labels("limit").inc()
        if notice.is_limit_known:
            self.rate_limits.record_answer(
                reservation, notice.rate_limit, sent_at=sent_at, request_id=request_id
            )
        if notice.backoff_s:
            self.metrics.server_notices.labels("rest").inc()
            self.server_registry.record_backoff(
                reservation, notice.backoff_s, request_id
            )
        if notice.is_leaving and self.server_registry.mark_leaving(
            reservation, request_id
        ):
            self.metrics.server_notices.labels("leaving").inc()
            self.crash_evidence.record_leaving(reservation.incarnation)
            self.connection_pool.close_server(reservation.incarnation)

    def release_connection(
        self, reservation: Reservation, answer: ServerAnswer
    ) -> None:
        """Release a finished answer's connection; close all if the server leaves."""
        answer.end(reservation.incarnation, self.connection_pool)
        if self.server_registry.is_leaving(reservation.incarnation):
            self.connection_pool.close_server(reservation.incarnation)

    def may_send(self, reservation: Reservation) -> bool:
        """Return whether the reserved server incarnation may get requests now."""
        if not self.server_registry.may_send(reservation):
            return False
        if self.rate_limits.may_send(reservation):
            return True
        self.metrics.limited_sends.labels("withheld").inc()
        return False

    def record_misdirection(self, reservation: Reservation) -> None:
        """Record that another incarnation of a server has its address."""
        self.connection_pool.close_server(reservation.incarnation)
        self.crash_evidence.record_server_end(
            reservation.incarnation, cause="address-of-another"
        )
        self.server_registry.refute_address(reservation)

    def record_lost_run(self, run: LostRun, address: str) -> None:
        """Record a run whose answer is lost, and probe a server that closed it."""
        self.crash_evidence.record_lost_run(run)
        if run.is_closed:
            self.crash_prober.probe(run.incarnation, address)

    def record_rejection(
        self, reservation: Reservation, service: str, *, is_streamed: bool
    ) -> None:
        """Record that a server rejected a request: it is full, or its group closed."""
        if is_streamed and self.retry_guards.record_rejection(
            service,
            reservation.server,
            idle_s=self.liveness.for_service(service).idle_s(monotonic()),
        ):
            log.info("service-closed", service=service, server=reservation.server)
            self.server_registry.mark_service_closed(service)
        else:
            self.server_registry.mark_full(reservation)
