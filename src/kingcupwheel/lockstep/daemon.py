"""Agent daemon of a rank: executes orders, sends loads, coordinates map changes."""

from __future__ import annotations

import os
from functools import partial
from queue import Empty
from queue import Full
from queue import Queue
from threading import Event
from threading import Lock
from threading import Thread
from time import monotonic
from typing import TYPE_CHECKING

from kingcupwheel.entry.http_server import HttpServer
from kingcupwheel.link.hub import MessageHub
from kingcupwheel.lockstep.agent_client import AgentClient
from kingcupwheel.lockstep.branch_aggregator import BranchAggregator
from kingcupwheel.lockstep.coordinator import Coordinator
from kingcupwheel.lockstep.load_aggregator import LoadAggregator
from kingcupwheel.lockstep.order_executor import OrderExecutor
from kingcupwheel.lockstep.roster import PairedServer
from kingcupwheel.messages.lockstep import BranchReply
from kingcupwheel.messages.lockstep import BranchRequest
from kingcupwheel.messages.lockstep import RankStateReply
from kingcupwheel.messages.lockstep import RankStateRequest
from kingcupwheel.messages.membership import AgentHeartbeat
from kingcupwheel.messages.membership import BackendLoad
from kingcupwheel.messages.membership import Hello
from kingcupwheel.messages.membership import LoadsRequest
from kingcupwheel.platform.configuration import CONFIGURATION_KIND
from kingcupwheel.platform.configuration import CONFIGURATION_NAME
from kingcupwheel.platform.configuration import decode_configuration
from kingcupwheel.platform.object_store import ObjectStore
from kingcupwheel.platform.rank_client import RankClient
from kingcupwheel.platform.server_entries import SERVERS_KIND
from kingcupwheel.platform.server_entries import decode_server
from kingcupwheel.telemetry.json_logs import lines_of
from kingcupwheel.telemetry.metrics import MetricsApp
from kingcupwheel.telemetry.metrics import RankMetrics


if TYPE_CHECKING:
    from collections.abc import Mapping

    from kingcupwheel.forwarding.configuration import EngineShape
    from kingcupwheel.link.links import Link
    from kingcupwheel.messages.base import Message
    from kingcupwheel.settings.schema import RankSettings
    from kingcupwheel.settings.schema import Settings

log = lines_of("process")

# Requests waiting for execution; a coordinator has at most one in flight.
_MAX_QUEUED_REQUESTS = 16
# Interval of heartbeats with this server's load. Half of it would show a burst 0.1 s
# sooner and double the traffic between data centres.
_LOAD_INTERVAL_S = 0.25
# How long an entry is sent heartbeats after its last Hello message.
_ENTRY_TTL_S = 4.0
_TICK_INTERVAL_S = 0.05
# Each reader of the metrics takes one connection; further ones are refused.
_MAX_METRICS_CONNECTIONS = 8


class RankDaemon:
    """The agent process of one rank; ``start`` returns once it accepts requests."""

    def __init__(self, settings: Settings) -> None:
        assert settings.rank is not None, "the settings must have a rank section"
        self._settings = settings
        self._rank: RankSettings = settings.rank
        self._metrics = RankMetrics()
        self._store = ObjectStore(
            settings.platform.url,
            on_limit=partial(self._metrics.record_response_limit, "store"),
        )
        self._client = self._create_rank_client()
        self._executor = OrderExecutor(self._client, self._metrics)
        self._requests: Queue[tuple[Link, RankStateRequest]] = Queue(
            _MAX_QUEUED_REQUESTS
        )
        self._hello_at_by_entry: dict[Link, float] = {}
        self._shape: EngineShape | None = None
        self._servers_by_agent: dict[str, PairedServer] = {}
        self._lock = Lock()
        self._stopping = Event()
        self._hub = MessageHub(
            listen=settings.listen,
            on_message=self._on_message,
            on_tick=self._on_tick,
            tick_s=_TICK_INTERVAL_S,
        )
        self._agent_client = AgentClient(self._hub)
        self._branch_aggregator = BranchAggregator(self._hub)
        self._load_aggregator = LoadAggregator(settings.name, self._hub)
        self._coordinator = Coordinator(
            self._create_rank_client(),
            self._agent_client,
            self._metrics,
            find_servers=self._find_servers,
            shape=self._find_shape,
        )
        self._metrics_server = self._make_metrics_server()
        self._executor_thread = Thread(
            target=self._serve_requests, name="carrier", daemon=True
        )

    def _create_rank_client(self) -> RankClient:
        return RankClient(
            f"http://{self._rank.server}",
            partial(self._metrics.record_response_limit, "rank"),
        )

    def _make_metrics_server(self) -> HttpServer | None:
        if not self._rank.metrics:
            return None
        return HttpServer(
            MetricsApp(self._metrics.registry),
            listen=self._rank.metrics,
            threads=1,
            connections=_MAX_METRICS_CONNECTIONS,
            name=f"{self._settings.name}-page",
        )

    def start(self) -> None:
        """Start the metrics server, the message hub and the threads."""
        if self._metrics_server is not None:
            self._metrics_server.bind()
            self._metrics_server.start()
        self._hub.start()
        self._executor_thread.start()
        self._coordinator.start()
        log.info("started", pid=os.getpid(), server=self._rank.server)

    def reload(self, settings: Settings) -> None:
        """Apply the settings that may change at run time."""
        log.info("reloaded", log_level=settings.log_level.value)

    def stop(self, requested_at: float | None = None) -> None:
        """Finish the change in progress, so that no pass stays held, then stop."""
        log.info("leaving")
        self._coordinator.stop()
        self._stopping.set()
        self._executor_thread.join()
        self._hub.stop()
        if self._metrics_server is not None:
            self._metrics_server.stop()
        log.info("stopped")

    def _on_message(self, link: Link, message: Message) -> None:
        match message:
            case RankStateRequest():
                self._enqueue(link, message)
            case BranchRequest():
                self._branch_aggregator.forward_request(link, message, monotonic())
            case RankStateReply() if self._branch_aggregator.handle_reply(message):
                pass
            case RankStateReply() | BranchReply():
                self._agent_client.handle_reply(message)
            case LoadsRequest():
                self._load_aggregator.subscribe(link, message, monotonic())
            case AgentHeartbeat():
                self._load_aggregator.handle_heartbeat(link, message, monotonic())
            case Hello():
                with self._lock:
                    self._hello_at_by_entry[link] = monotonic()
            case _:
                log.warning(
                    "message-unexpected", message=type(message).__struct_config__.tag
                )

    def _on_tick(self, now: float) -> None:
        self._branch_aggregator.on_tick(now)
        self._load_aggregator.on_tick(now)

    def _enqueue(self, link: Link, request: RankStateRequest) -> None:
        try:
            self._requests.put_nowait((link, request))
        except Full:
            log.warning("question-dropped", number=request.number)

    def _serve_requests(self) -> None:
        """Execute requests one by one; between them send heartbeats to entries."""
        load_sent_at = 0.0
        while not self._stopping.is_set():
            wait_s = max(0.0, load_sent_at + _LOAD_INTERVAL_S - monotonic())
            try:
                link, request = self._requests.get(
                    timeout=min(wait_s, _LOAD_INTERVAL_S) or 0.001
                )
            except Empty:
                load_sent_at = monotonic()
                self._send_load(load_sent_at)
                continue
            self._hub.send(link, self._executor.execute(request))

    def _send_load(self, now: float) -> None:
        with self._lock:
            for link in [
                one
                for one, at in self._hello_at_by_entry.items()
                if now - at > _ENTRY_TTL_S
            ]:
                del self._hello_at_by_entry[link]
            links = tuple(self._hello_at_by_entry)
        if not links:
            return
        result = self._client.fetch_state()
        if result.is_error():
            return
        state = result.ok
        load = BackendLoad(state.running, state.waiting, 0, 0.0, 0.0, 0.0, state.pace)
        heartbeat = AgentHeartbeat(
            name=self._rank.server,
            group=self._rank.service,
            data_centre="",
            incarnation="",
            token=0,
            load=load,
            leaving=False,
            server_up=state.is_open,
            manifest_version=0,
            crashed=(),
            started_at_ms=state.born_ms,
        )
        for link in links:
            self._hub.send(link, heartbeat)

    def _find_servers(self) -> Mapping[str, PairedServer]:
        """Return the servers of this service by the address of their agent.

        Returns the previous result while the store is unavailable: a held pass can't
        wait for it.
        """
        listed = self._store.list_objects(SERVERS_KIND, stale=True)
        if listed.is_error():
            log.warning("store-lost", kind=SERVERS_KIND, why=str(listed.error))
            return self._servers_by_agent
        port = self._settings.listen.rpartition(":")[2]
        found: dict[str, PairedServer] = {}
        for stored in listed.ok.objects:
            decoded = decode_server(stored)
            if decoded.is_ok() and decoded.ok.service == self._rank.service:
                server = decoded.ok
                agent = f"{server.address.rpartition(':')[0]}:{port}"
                found[agent] = PairedServer(server.address, server.data_centre)
        self._servers_by_agent = found
        return found

    def _find_shape(self) -> EngineShape | None:
        """Return the engine's shape; cached, since it does not change."""
        if self._shape is None:
            found = self._store.read(CONFIGURATION_KIND, CONFIGURATION_NAME)
            if found.is_error() or found.ok is None:
                return None
            decoded = decode_configuration(found.ok.body)
            if decoded.is_error():
                log.error("configuration-refused", why=decoded.error)
                return None
            self._shape = decoded.ok.find_engine(self._rank.service)
        return self._shape
