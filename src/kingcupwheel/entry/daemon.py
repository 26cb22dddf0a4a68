"""The entry daemon: wires, starts and gracefully stops its components."""

from __future__ import annotations

import logging
from threading import Event
from typing import TYPE_CHECKING

from kingcupwheel.claims.claim_store import ClaimStore
from kingcupwheel.claims.expired_claim_removal import ExpiredClaimRemover
from kingcupwheel.entry.allowance_balancer import AllowanceBalancer
from kingcupwheel.entry.application import Application
from kingcupwheel.entry.attempt_inboxes import InboxRegistry
from kingcupwheel.entry.body_memory import BodyMemory
from kingcupwheel.entry.caller_pages import CallerPages
from kingcupwheel.entry.context import EntryContext
from kingcupwheel.entry.dispatcher_registry import DispatcherRegistry
from kingcupwheel.entry.entry_telemetry import EntryTelemetry
from kingcupwheel.entry.http_server import SPARE_THREADS
from kingcupwheel.entry.http_server import HttpServer
from kingcupwheel.entry.http_server import receive_buffer_bytes
from kingcupwheel.entry.manifest_fetcher import ManifestFetcher
from kingcupwheel.entry.membership import Membership
from kingcupwheel.entry.message_handler import MessageHandler
from kingcupwheel.entry.operator_pages import OPERATOR_THREADS
from kingcupwheel.entry.operator_pages import OperatorPages
from kingcupwheel.entry.request_limiter import RequestLimiter
from kingcupwheel.entry.server_table import ServerTable
from kingcupwheel.link.hub import MessageHub
from kingcupwheel.link.links import OutgoingLink
from kingcupwheel.manifest.schema import Retention
from kingcupwheel.manifest.synchronizer import ManifestSynchronizer
from kingcupwheel.messages.membership import InstancesRequest
from kingcupwheel.metrics.metered_platform_client import MeteredPlatformClient
from kingcupwheel.metrics.statsd_client import MetricsClient
from kingcupwheel.plugins.registries import load_builtin_plugins
from kingcupwheel.plugins.registries import platform_clients
from kingcupwheel.utils.machine_memory import limit_to_machine


if TYPE_CHECKING:
    from kingcupwheel.link.links import Link
    from kingcupwheel.manifest.compiled_manifest import CompiledManifest
    from kingcupwheel.manifest.schema import Organisation
    from kingcupwheel.messages.base import Message
    from kingcupwheel.settings.schema import Settings

logger = logging.getLogger("kingcupwheel.entry")

# Interval at which a stopping entry checks for requests in progress.
_DRAIN_CHECK_INTERVAL_S = 0.1
_S_PER_HOUR = 3600.0


class EntryDaemon:
    """One entry process; ``start`` returns once it accepts callers."""

    def __init__(self, settings: Settings) -> None:
        load_builtin_plugins()
        self._settings = settings
        self._leaving = Event()
        metrics = MetricsClient(settings.statsd, process=settings.name)
        client = MeteredPlatformClient(
            platform_clients.get(settings.platform.client)(settings.platform),
            metrics,
        )
        self._telemetry = EntryTelemetry(
            settings,
            client,
            metrics,
            traces_retention_s=lambda: self._get_retention().traces_h * _S_PER_HOUR,
        )
        self._expired_claim_remover = ExpiredClaimRemover(
            client, retention_s=lambda: self._get_retention().claims_h * _S_PER_HOUR
        )
        self._hub = MessageHub(
            listen=settings.listen, on_message=self._on_message, on_tick=self._on_tick
        )
        servers = ServerTable(settings.timings)
        limiter = RequestLimiter(lambda one: self._balancer.get_initial_share(one))
        self._context = EntryContext(
            settings=settings,
            hub=self._hub,
            servers=servers,
            inboxes=InboxRegistry(),
            dispatchers=DispatcherRegistry(servers, data_centre=settings.data_centre),
            limiter=limiter,
            claims=ClaimStore(client),
            expired_claim_remover=self._expired_claim_remover,
            recorder=self._telemetry.recorder,
            outcome_counter=self._telemetry.outcome_counter,
            leaving=self._leaving,
        )
        fetcher = ManifestFetcher(self._hub)
        self._manifest_synchronizer = ManifestSynchronizer(
            client,
            fetch_from_peer=fetcher.fetch,
            on_change=self._on_manifest,
            watch_s=settings.timings.watch_s,
        )
        self._membership = Membership(
            settings,
            client,
            servers,
            self._hub,
            leaving=self._leaving,
            request_from_seeds=self._request_instances_from_seeds,
        )
        self._balancer = AllowanceBalancer(
            settings.name,
            limiter,
            self._membership,
            send=self._hub.send,
            find_organisation=self._find_organisation,
        )
        self._handler = MessageHandler(
            self._context,
            self._membership,
            self._manifest_synchronizer,
            fetcher,
            self._telemetry.burn_counter,
            self._balancer,
        )
        self._application = self._build_application()
        self._http_server = HttpServer(
            self._application,
            listen=settings.http,
            threads=settings.entry.threads + SPARE_THREADS,
            connections=settings.entry.connections,
            name=settings.name,
            receive_buffer_bytes=receive_buffer_bytes(settings.entry),
        )
        self._operator_http_server = self._build_operator_server()

    def _build_application(self) -> Application:
        # Callers refresh addresses before a leaving entry stops accepting requests.
        pages = CallerPages(
            self._telemetry.recorder,
            self._membership,
            address_ttl_s=self._settings.timings.leave_s / 2,
        )
        # A body is held twice while it is sent to an agent.
        limit_bytes = limit_to_machine(self._settings.entry.requests_bytes) / 2
        return Application(
            self._context,
            lambda: self._manifest_synchronizer.current,
            pages,
            BodyMemory(limit_bytes),
        )

    def _build_operator_server(self) -> HttpServer | None:
        if not self._settings.operator_http:
            return None
        pages = OperatorPages(
            self._context,
            self._manifest_synchronizer,
            lambda: self._application.in_progress_count,
        )
        return HttpServer(
            pages,
            listen=self._settings.operator_http,
            threads=OPERATOR_THREADS,
            connections=OPERATOR_THREADS,
            name=f"{self._settings.name}-operators",
        )

    @property
    def port(self) -> int:
        """Port of the HTTP server for callers."""
        return self._http_server.port

    def start(self) -> None:
        """Bind the addresses, then start all components."""
        self._http_server.bind()
        if self._operator_http_server is not None:
            self._operator_http_server.bind()
            self._operator_http_server.start()
        self._hub.start()
        self._manifest_synchronizer.start()
        self._membership.start()
        self._telemetry.start()
        self._expired_claim_remover.start()
        self._http_server.start()
        logger.info("Accepting callers on port %d.", self.port)

    def reload(self, settings: Settings) -> None:
        """Log the reload; the log level has already been applied."""
        logger.info("Settings reloaded; log level is %s.", settings.log_level.value)

    def stop(self, requested_at: float | None = None) -> None:
        """Stop gracefully: accept requests for ``leave_s``, then finish the rest.

        The wait has no timeout of its own: it is bounded by the requests' progress.
        """
        self._leaving.set()
        self._handler.announce_leaving()
        logger.info(
            "Shutting down; %d requests in progress.",
            self._application.in_progress_count,
        )
        self._wait_for_address_refresh()
        self._application.stop_accepting()
        while self._application.in_progress_count:
            Event().wait(_DRAIN_CHECK_INTERVAL_S)
        self._http_server.stop()
        if self._operator_http_server is not None:
            self._operator_http_server.stop()
        self._membership.stop()
        self._manifest_synchronizer.stop()
        self._expired_claim_remover.stop()
        self._telemetry.stop()
        self._hub.stop()
        logger.info("Stopped.")

    def _wait_for_address_refresh(self) -> None:
        # Callers cache addresses. Until they refresh them, a refusal here would cost
        # them a needless retry.
        Event().wait(self._settings.timings.leave_s)

    def _on_message(self, link: Link, message: Message) -> None:
        self._handler.on_message(link, message)

    def _on_tick(self, now: float) -> None:
        self._handler.on_tick(now)

    def _on_manifest(self, manifest: CompiledManifest) -> None:
        self._telemetry.set_manifest(manifest, self._context.inboxes.request_ids)

    def _find_organisation(self, name: str) -> Organisation | None:
        manifest = self._manifest_synchronizer.current
        return None if manifest is None else manifest.organisations_by_name.get(name)

    def _get_retention(self) -> Retention:
        manifest = self._manifest_synchronizer.current
        return Retention() if manifest is None else manifest.retention

    def _request_instances_from_seeds(self) -> None:
        for address in self._settings.seeds:
            self._hub.send(
                OutgoingLink(address, 0), InstancesRequest(self._settings.name)
            )
