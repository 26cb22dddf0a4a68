"""The entry daemon on the users' platform: wires, starts and stops its components."""

from __future__ import annotations

import os
from functools import partial
from threading import Event
from threading import Thread
from time import monotonic
from typing import TYPE_CHECKING

from kingcupwheel.decisions.shutdown_schedule import ShutdownSchedule
from kingcupwheel.entry.body_memory import BodyMemory
from kingcupwheel.entry.dispatcher_registry import DispatcherRegistry
from kingcupwheel.entry.http_server import HttpServer
from kingcupwheel.entry.http_server import receive_buffer_bytes
from kingcupwheel.entry.server_table import ServerTable
from kingcupwheel.forwarding.admission import ConfigurationSnapshot
from kingcupwheel.forwarding.answer_memory import AnswerMemory
from kingcupwheel.forwarding.application import ForwardApplication
from kingcupwheel.forwarding.calls import ServerClient
from kingcupwheel.forwarding.configuration_cache import ConfigurationCache
from kingcupwheel.forwarding.connection_pool import ConnectionPool
from kingcupwheel.forwarding.context import ForwardContext
from kingcupwheel.forwarding.crash_evidence import CrashEvidence
from kingcupwheel.forwarding.crash_prober import CrashProber
from kingcupwheel.forwarding.endpoints import AddressesEndpoint
from kingcupwheel.forwarding.endpoints import ReadinessEndpoint
from kingcupwheel.forwarding.entry_membership import EntryMembership
from kingcupwheel.forwarding.graceful_shutdown import GracefulShutdown
from kingcupwheel.forwarding.liveness import LivenessTrackers
from kingcupwheel.forwarding.load_poller import AgentLoadPoller
from kingcupwheel.forwarding.rate_limit_exchange import RateLimitExchange
from kingcupwheel.forwarding.retry_guards import RetryBudgetLimits
from kingcupwheel.forwarding.retry_guards import RetryGuards
from kingcupwheel.forwarding.server_list import ServerListHandler
from kingcupwheel.forwarding.server_registry import ServerRegistry
from kingcupwheel.forwarding.store_maintenance import StoreMaintainer
from kingcupwheel.forwarding.store_watcher import ConfigurationHandler
from kingcupwheel.forwarding.store_watcher import StoreWatcher
from kingcupwheel.forwarding.store_watcher import configuration_watch_timing
from kingcupwheel.forwarding.store_watcher import server_watch_timing
from kingcupwheel.forwarding.watchdog import Watchdog
from kingcupwheel.link.hub import MessageHub
from kingcupwheel.messages.membership import AgentHeartbeat
from kingcupwheel.messages.membership import EntryHeartbeat
from kingcupwheel.messages.membership import EntryInfo
from kingcupwheel.messages.membership import LoadsReply
from kingcupwheel.messages.membership import ManifestObject
from kingcupwheel.messages.membership import ManifestRequest
from kingcupwheel.platform.object_store import ObjectStore
from kingcupwheel.plugins.registries import load_placement_policies
from kingcupwheel.telemetry.json_logs import lines_of
from kingcupwheel.telemetry.metrics import EntryMetrics
from kingcupwheel.telemetry.metrics import MetricsApp
from kingcupwheel.utils.machine_memory import limit_to_machine


if TYPE_CHECKING:
    from kingcupwheel.forwarding.backends import Backend
    from kingcupwheel.link.links import Link
    from kingcupwheel.messages.base import Message
    from kingcupwheel.settings.schema import ForwardingSettings
    from kingcupwheel.settings.schema import Settings

log = lines_of("process")
servers_log = lines_of("servers")

# For endpoints that answer without blocking.
_ENDPOINT_THREADS = 2
_ENDPOINT_CONNECTIONS = 200
# Intervals of the hub's timer and of refreshing servers' loads, in seconds.
_TICK_INTERVAL_S = 0.1
_REFRESH_INTERVAL_S = 0.5
# Subtracted from the time within which a revoked key must stop working: a store that is
# about to drop its history answers watches without changes for up to a second.
_REVOKE_MARGIN_S = 1.3
# A route or key is denied only by a configuration that is no older than two watches
# and a slow answer.
_MAX_DENIAL_AGE_S = 3.6
_MS_PER_S = 1000.0


class ForwardingDaemon:
    """One entry process; ``start`` returns once it accepts callers."""

    def __init__(self, settings: Settings) -> None:
        assert settings.forwarding is not None, "checked by the caller"
        load_placement_policies()
        self._settings = settings
        self._forwarding: ForwardingSettings = settings.forwarding
        self._leaving = Event()
        self._stopped = Event()
        self._refresh_at = 0.0
        self._shutdown: GracefulShutdown | None = None
        self._metrics = EntryMetrics()
        self._store = ObjectStore(
            settings.platform.url,
            on_limit=partial(self._metrics.record_response_limit, "store"),
        )
        self._configuration_cache = ConfigurationCache()
        self._hub = MessageHub(
            listen=settings.listen,
            on_message=self._on_message,
            on_tick=self._on_tick,
            tick_s=_TICK_INTERVAL_S,
        )
        table = ServerTable(settings.timings)
        dispatchers = DispatcherRegistry(table, data_centre=settings.data_centre)
        budget_limits = RetryBudgetLimits(
            self._forwarding.retry_share,
            self._forwarding.retry_floor,
            self._forwarding.retry_window_s,
        )
        self._guards = RetryGuards(budget_limits, lambda: self._membership.fleet_size)
        self._crash_evidence = CrashEvidence(
            settings.name,
            self._metrics.crash_events,
            is_alone=lambda: self._membership.known_count == 1,
        )
        self._crash_prober = CrashProber(
            partial(self._crash_evidence.record_server_end, cause="refused"),
            self._crash_evidence.record_server_alive,
        )
        connections = ConnectionPool()
        answers = AnswerMemory(limit_to_machine(settings.entry.answers_bytes))
        self._bodies = BodyMemory(limit_to_machine(settings.entry.requests_bytes))
        self._context = ForwardContext(
            data_centre=settings.data_centre,
            configuration_cache=self._configuration_cache,
            dispatchers=dispatchers,
            server_registry=ServerRegistry(table, dispatchers),
            rate_limits=RateLimitExchange(table),
            server_client=ServerClient(connections, answers),
            connection_pool=connections,
            retry_guards=self._guards,
            crash_evidence=self._crash_evidence,
            crash_prober=self._crash_prober,
            liveness=LivenessTrackers(),
            watchdog=Watchdog(),
            metrics=self._metrics,
        )
        self._load_poller = AgentLoadPoller(
            settings,
            self._hub,
            self._context.server_registry,
            self._configuration_cache,
            is_leaving=self._leaving.is_set,
        )
        own_entry = EntryInfo(
            settings.name, settings.listen, settings.http, settings.data_centre
        )
        self._membership = EntryMembership(
            own_entry,
            self._hub,
            self._configuration_cache,
            self._crash_evidence,
            self._context.rate_limits,
        )
        self._server_list = ServerListHandler(self._on_server_list)
        self._watchers = self._make_watchers()
        self._application = ForwardApplication(
            self._context,
            self._configuration_snapshot,
            name=settings.name,
            has_live_peers=lambda: bool(self._membership.live_entries()),
            bodies=self._bodies,
        )
        self._http_servers = self._make_http_servers()
        self._store_maintainer = StoreMaintainer(
            self._store, self._configuration_cache, self._membership
        )

    def _make_watchers(self) -> tuple[StoreWatcher, ...]:
        clock = self._configuration_cache.now
        configuration = ConfigurationHandler(self._configuration_cache)
        return (
            StoreWatcher(
                self._store,
                configuration,
                clock,
                lambda: configuration_watch_timing(self._membership.known_count),
            ),
            StoreWatcher(
                self._store,
                self._server_list,
                clock,
                lambda: server_watch_timing(
                    self._membership.known_count, self._forwarding.steady_ms / _MS_PER_S
                ),
            ),
        )

    def _make_http_servers(self) -> tuple[HttpServer, ...]:
        settings = self._settings
        addresses = AddressesEndpoint(
            self._list_live_addresses, self._forwarding.address_keep_s
        )
        endpoints = {
            self._forwarding.ready: ReadinessEndpoint(self._is_ready),
            self._forwarding.addresses: addresses,
        }
        if self._forwarding.metrics:
            refresh = self._refresh_metrics
            page = MetricsApp(self._metrics.registry, refresh)
            endpoints[self._forwarding.metrics] = page
        return (
            HttpServer(
                self._application,
                listen=settings.http,
                threads=settings.entry.threads,
                connections=settings.entry.connections,
                name=settings.name,
                receive_buffer_bytes=receive_buffer_bytes(settings.entry),
            ),
            *(
                HttpServer(
                    endpoint,
                    listen=listen,
                    threads=_ENDPOINT_THREADS,
                    connections=_ENDPOINT_CONNECTIONS,
                    name=f"{settings.name}-page",
                )
                for listen, endpoint in endpoints.items()
            ),
        )

    def start(self) -> None:
        """Bind all listeners, then start every component."""
        for server in self._http_servers:
            server.bind()
        self._hub.start()
        self._context.watchdog.start()
        self._crash_prober.start()
        for watcher in self._watchers:
            watcher.start()
        self._store_maintainer.start()
        for server in self._http_servers:
            server.start()
        log.info("started", pid=os.getpid(), http=self._settings.http)

    def reload(self, settings: Settings) -> None:
        """Apply the settings that may change at run time."""
        log.info("reloaded", log_level=settings.log_level.value)

    def stop(self, requested_at: float | None = None) -> None:
        """Stop gracefully: deregister, then finish the requests in progress.

        Failure: callers keep this entry's address for some seconds after it has begun
        to leave. Symptom: their connections are refused, or a request that was read is
        aborted. New requests are therefore accepted while they can end in time, each on
        a connection that is closed after its answer, and refused afterwards.

        The grace period starts at ``requested_at`` (monotonic), by default now.
        """
        began = monotonic() if requested_at is None else requested_at
        schedule = ShutdownSchedule(began, self._forwarding.grace_s)
        self._leaving.set()
        self._application.begin_shutdown(schedule)
        self._membership.announce_leaving()
        log.info("leaving", in_progress=self._application.in_progress_count)
        self._store_maintainer.stop()
        self._membership.deregister(self._store)
        self._shutdown = GracefulShutdown(
            schedule, self._application, self._http_servers[0]
        )
        cut = self._shutdown.wait()
        for watcher in self._watchers:
            watcher.stop()
        self._crash_prober.stop()
        log.info("stopped", cut=cut, took_s=round(monotonic() - began, 2))

    def close(self) -> None:
        """Read nothing more after ``stop``, right before the process ends."""
        if self._shutdown is not None:
            self._shutdown.close()

    def terminate(self) -> None:
        """End all threads at once and abort the requests in progress.

        For a process that goes on without this entry; the platform still lists it.
        """
        self._leaving.set()
        self._context.watchdog.abort_all_at(monotonic())
        for watcher in self._watchers:
            watcher.stop()
        self._crash_prober.stop()
        stopping = [Thread(target=one.stop) for one in self._http_servers]
        stopping.append(Thread(target=self._store_maintainer.stop))
        for thread in stopping:
            thread.start()
        for thread in stopping:
            thread.join()
        self._hub.stop()
        self._context.watchdog.stop()
        self._context.connection_pool.close()

    def _configuration_snapshot(self) -> ConfigurationSnapshot:
        return ConfigurationSnapshot(
            self._configuration_cache.current,
            self._configuration_cache.age_s(),
            self._forwarding.revoke_ms / _MS_PER_S - _REVOKE_MARGIN_S,
            _MAX_DENIAL_AGE_S,
        )

    def _is_ready(self) -> bool:
        has_data = (
            self._configuration_cache.current is not None
            and not self._context.server_registry.is_empty
        )
        return has_data and not self._leaving.is_set()

    def _list_live_addresses(self, data_centre: str) -> tuple[str, ...]:
        live = self._membership.live_entries()
        if not self._is_ready():
            live = tuple(one for one in live if one.name != self._settings.name)
        return tuple(one.http for one in live)

    def _refresh_metrics(self) -> None:
        age_s = min(self._configuration_cache.age_s(), 1e6)
        self._metrics.configuration_age_seconds.set(age_s)
        self._metrics.configuration_version.set(self._configuration_cache.version)
        self._metrics.live_entries.set(len(self._membership.live_entries()))
        self._metrics.request_body_bytes.set(self._bodies.used_bytes)
        self._metrics.set_rate_limits(self._context.rate_limits.list_limits())
        self._metrics.set_quarantines(self._crash_evidence.list_quarantined())

    def _on_server_list(
        self, backends: tuple[Backend, ...], removed: tuple[Backend, ...]
    ) -> None:
        for backend in backends:
            if backend.is_leaving:
                self._crash_evidence.record_leaving(backend.incarnation)
        self._context.server_registry.set_listed(backends)
        for backend in removed:
            self._context.connection_pool.close_server(backend.incarnation)
            self._context.liveness.remove_server(backend.instance)
            self._crash_evidence.record_server_end(backend.incarnation, cause="removed")

    def _on_message(self, link: Link, message: Message) -> None:
        match message:
            case EntryHeartbeat():
                self._membership.on_heartbeat(message)
            case AgentHeartbeat() | LoadsReply():
                self._load_poller.on_report(link, message)
            case ManifestRequest():
                self._membership.on_configuration_request(link, message)
            case ManifestObject():
                self._membership.on_configuration(message)
            case _:
                log.warning(
                    "message-unexpected", message=type(message).__struct_config__.tag
                )

    def _on_tick(self, now: float) -> None:
        self._crash_evidence.settle_completions()
        self._server_list.on_tick()
        self._membership.on_tick(now)
        self._log_stalls(now)
        self._context.server_registry.end_expired_backoffs()
        if now - self._refresh_at >= _REFRESH_INTERVAL_S:
            self._refresh_at = now
            self._context.server_registry.refresh_unreported()
            self._context.connection_pool.close_unusable()
            self._context.rate_limits.retain(
                self._context.server_registry.known_incarnations
            )
            self._move_slow_streams()
        self._load_poller.on_tick(now)

    def _move_slow_streams(self) -> None:
        """Let streams on slow ranks resume elsewhere.

        One slow rank would hold up all the streams of its group.
        """
        slow = frozenset(self._context.server_registry.avoided_instances())
        if slow and (moved := self._context.watchdog.move_slow_streams(slow)):
            servers_log.info("streams-moved", servers=sorted(slow), streams=moved)

    def _log_stalls(self, now: float) -> None:
        """Log when all servers of a service stall together, and when they resume."""
        for service, tracker in self._context.liveness.items():
            streams = self._context.server_registry.in_flight_requests(service)
            idle_s = tracker.idle_s(now)
            if tracker.update_stalled(stream_count=streams, now=now):
                event = "service-silent" if tracker.is_stalled else "service-heard"
                servers_log.info(
                    event, service=service, streams=streams, quiet_s=round(idle_s, 2)
                )
