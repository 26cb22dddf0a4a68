"""The entry daemon on the users' platform: its parts, their start and their stop."""

from __future__ import annotations

import os
from threading import Event
from time import monotonic
from typing import TYPE_CHECKING

from kingcupwheel.decisions.stopping import Stopping
from kingcupwheel.entry.dispatchers import Dispatchers
from kingcupwheel.entry.gateway import HttpServer
from kingcupwheel.entry.servers import ServerTable
from kingcupwheel.forwarding.admitting import Knowledge
from kingcupwheel.forwarding.application import ForwardApplication
from kingcupwheel.forwarding.calls import ServerCalls
from kingcupwheel.forwarding.caretaking import Caretaker
from kingcupwheel.forwarding.connections import Connections
from kingcupwheel.forwarding.context import ForwardContext
from kingcupwheel.forwarding.currency import Currency
from kingcupwheel.forwarding.following import ConfigurationFollower
from kingcupwheel.forwarding.following import StoreFollower
from kingcupwheel.forwarding.following import configuration_pace
from kingcupwheel.forwarding.following import servers_pace
from kingcupwheel.forwarding.greeting import AgentGreeter
from kingcupwheel.forwarding.guards import Budget
from kingcupwheel.forwarding.guards import Guards
from kingcupwheel.forwarding.neighbours import Neighbours
from kingcupwheel.forwarding.pages import AddressesPage
from kingcupwheel.forwarding.pages import ReadyPage
from kingcupwheel.forwarding.plannedstop import PlannedStop
from kingcupwheel.forwarding.pulse import Pulses
from kingcupwheel.forwarding.serverbook import ServerBook
from kingcupwheel.forwarding.serverlist import ServersFollower
from kingcupwheel.forwarding.watchdog import Watchdog
from kingcupwheel.link.hub import MessageHub
from kingcupwheel.messages.membership import AgentHeartbeat
from kingcupwheel.messages.membership import EntryHeartbeat
from kingcupwheel.messages.membership import EntryInfo
from kingcupwheel.messages.membership import LoadsReply
from kingcupwheel.messages.membership import ManifestObject
from kingcupwheel.messages.membership import ManifestRequest
from kingcupwheel.platform.object_store import ObjectStore
from kingcupwheel.plugins.kernel import load_placements
from kingcupwheel.telemetry.json_logs import lines_of
from kingcupwheel.telemetry.metrics import EntryMetrics
from kingcupwheel.telemetry.metrics import MetricsApp


if TYPE_CHECKING:
    from kingcupwheel.forwarding.backends import Backend
    from kingcupwheel.link.links import Link
    from kingcupwheel.messages.base import Message
    from kingcupwheel.settings.schema import ForwardingSettings
    from kingcupwheel.settings.schema import Settings

log = lines_of("process")
servers = lines_of("servers")

# Threads for pages that are answered at once.
_PAGE_THREADS = 2
_PAGE_CONNECTIONS = 200
# Between two looks at servers' loads and links, in seconds.
_TICK_S = 0.1
_REFRESH_S = 0.5
# Taken off the time within which a key must stop working: a store that is about to
# forget its history answers watches for up to a second without news.
_REVOKE_MARGIN_S = 1.3
# A denial of a route or key needs knowledge no older than two watches and a slow
# answer.
_DENYING_S = 3.6
_MS = 1000.0


class ForwardingDaemon:
    """One entry; ``start`` returns once callers are served."""

    def __init__(self, settings: Settings) -> None:
        assert settings.forwarding is not None, "checked by the caller"
        load_placements()
        self._settings = settings
        self._forwarding: ForwardingSettings = settings.forwarding
        self._leaving = Event()
        self._stopped = Event()
        self._refresh_at = 0.0
        self._store = ObjectStore(settings.platform.url)
        self._metrics = EntryMetrics()
        self._currency = Currency()
        self._hub = MessageHub(
            listen=settings.listen,
            on_message=self._on_message,
            on_tick=self._on_tick,
            tick_s=_TICK_S,
        )
        table = ServerTable(settings.timings)
        dispatchers = Dispatchers(table, data_centre=settings.data_centre)
        budget = Budget(
            self._forwarding.retry_share,
            self._forwarding.retry_floor,
            self._forwarding.retry_window_s,
        )
        self._guards = Guards(budget, lambda: self._neighbours.sharing)
        connections = Connections()
        self._context = ForwardContext(
            data_centre=settings.data_centre,
            currency=self._currency,
            dispatchers=dispatchers,
            book=ServerBook(table, dispatchers),
            calls=ServerCalls(connections),
            connections=connections,
            guards=self._guards,
            pulses=Pulses(),
            watchdog=Watchdog(),
            metrics=self._metrics,
        )
        self._greeter = AgentGreeter(
            settings,
            self._hub,
            self._context.book,
            self._currency,
            leaving=self._leaving.is_set,
        )
        me = EntryInfo(
            settings.name, settings.listen, settings.http, settings.data_centre
        )
        self._neighbours = Neighbours(me, self._hub, self._currency, self._guards)
        self._followers = self._make_followers()
        self._application = ForwardApplication(
            self._context,
            self._knowledge,
            name=settings.name,
            others_live=lambda: bool(self._neighbours.live()),
        )
        self._servers = self._make_servers()
        self._caretaker = Caretaker(self._store, self._currency, self._neighbours)

    def _make_followers(self) -> tuple[StoreFollower, ...]:
        clock = self._currency.now
        configuration = ConfigurationFollower(self._currency)
        listed = ServersFollower(self._on_servers)
        return (
            StoreFollower(
                self._store,
                configuration,
                clock,
                lambda: configuration_pace(self._neighbours.known),
            ),
            StoreFollower(
                self._store,
                listed,
                clock,
                lambda: servers_pace(
                    self._neighbours.known, self._forwarding.steady_ms / _MS
                ),
            ),
        )

    def _make_servers(self) -> tuple[HttpServer, ...]:
        settings = self._settings
        addresses = AddressesPage(self._addresses, self._forwarding.address_keep_s)
        pages = {
            self._forwarding.ready: ReadyPage(self._is_ready),
            self._forwarding.addresses: addresses,
        }
        if self._forwarding.metrics:
            refresh = self._refresh_metrics
            page = MetricsApp(self._metrics.registry, refresh)
            pages[self._forwarding.metrics] = page
        return (
            HttpServer(
                self._application,
                listen=settings.http,
                threads=settings.entry.threads,
                connections=settings.entry.connections,
                name=settings.name,
            ),
            *(
                HttpServer(
                    page,
                    listen=listen,
                    threads=_PAGE_THREADS,
                    connections=_PAGE_CONNECTIONS,
                    name=f"{settings.name}-page",
                )
                for listen, page in pages.items()
            ),
        )

    def start(self) -> None:
        """Bind, then start every part."""
        for server in self._servers:
            server.bind()
        self._hub.start()
        self._context.watchdog.start()
        for follower in self._followers:
            follower.start()
        self._caretaker.start()
        for server in self._servers:
            server.start()
        log.info("started", pid=os.getpid(), http=self._settings.http)

    def reload(self, settings: Settings) -> None:
        """Take over what may change while the process runs."""
        log.info("reloaded", log_level=settings.log_level.value)

    def stop(self, asked_at: float | None = None) -> None:
        """Stop gracefully: out of the directory, then finish what is in progress.

        Failure: callers keep this entry's address for some seconds after it has begun
        to leave. Symptom: their connections are refused, or a request that was read is
        cut. New requests are therefore taken while they can end in time, each on a
        connection that is closed after its answer, and refused afterwards.

        The grace counts from ``asked_at`` (monotonic), from now if it is not given.
        """
        began = monotonic() if asked_at is None else asked_at
        stopping = Stopping(began, self._forwarding.grace_s)
        self._leaving.set()
        self._application.stop(stopping)
        self._neighbours.leave()
        log.info("leaving", in_progress=self._application.in_progress)
        self._caretaker.stop()
        self._neighbours.withdraw(self._store)
        cut = PlannedStop(stopping, self._application, self._servers[0]).wait()
        for follower in self._followers:
            follower.stop()
        log.info("stopped", cut=cut, took_s=round(monotonic() - began, 2))

    def _knowledge(self) -> Knowledge:
        return Knowledge(
            self._currency.current,
            self._currency.age_s(),
            self._forwarding.revoke_ms / _MS - _REVOKE_MARGIN_S,
            _DENYING_S,
        )

    def _is_ready(self) -> bool:
        knows = self._currency.current is not None and not self._context.book.is_empty
        return knows and not self._leaving.is_set()

    def _addresses(self, data_centre: str) -> tuple[str, ...]:
        live = self._neighbours.live()
        if not self._is_ready():
            live = tuple(one for one in live if one.name != self._settings.name)
        return tuple(one.http for one in live)

    def _refresh_metrics(self) -> None:
        age_s = min(self._currency.age_s(), 1e6)
        self._metrics.configuration_age_seconds.set(age_s)
        self._metrics.configuration_version.set(self._currency.version)
        self._metrics.live_entries.set(len(self._neighbours.live()))

    def _on_servers(
        self, backends: tuple[Backend, ...], gone: tuple[Backend, ...]
    ) -> None:
        self._context.book.list_is(backends)
        for backend in gone:
            self._context.connections.forget(backend.life)
            self._context.pulses.forget(backend.instance)
            if not backend.leaving and not self._context.book.is_leaving(backend.life):
                self._guards.gone(backend.life)

    def _on_message(self, link: Link, message: Message) -> None:
        match message:
            case EntryHeartbeat():
                self._neighbours.on_beat(message)
            case AgentHeartbeat() | LoadsReply():
                self._greeter.told(link, message)
            case ManifestRequest():
                self._neighbours.on_wanted(link, message)
            case ManifestObject():
                self._neighbours.on_object(message)
            case _:
                log.warning("message-unexpected", message=type(message).__name__)

    def _on_tick(self, now: float) -> None:
        self._neighbours.on_tick(now)
        self._note_standstills(now)
        self._context.book.end_rests()
        if now - self._refresh_at >= _REFRESH_S:
            self._refresh_at = now
            self._context.book.refresh()
            self._evacuate()
        self._greeter.on_tick(now)

    def _evacuate(self) -> None:
        """Let streams on slow ranks go on elsewhere, so that they don't hold up all."""
        slow = frozenset(self._context.book.slow())
        if slow and (moved := self._context.watchdog.evacuate(slow)):
            servers.info("streams-moved", servers=sorted(slow), streams=moved)

    def _note_standstills(self, now: float) -> None:
        """Log when all servers of a service fall silent together, and go on."""
        for service, pulse in self._context.pulses.items():
            streams = self._context.book.in_flight(service)
            quiet_s = pulse.quiet_s(now)
            if pulse.turned(streams=streams, now=now):
                event = "service-silent" if pulse.stands_still else "service-heard"
                servers.info(
                    event, service=service, streams=streams, quiet_s=round(quiet_s, 2)
                )
