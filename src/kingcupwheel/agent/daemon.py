"""The agent daemon: all requests to its backend server pass through it."""

from __future__ import annotations

import logging
import secrets
from functools import partial
from threading import Event
from time import monotonic
from typing import TYPE_CHECKING

from kingcupwheel.agent.answer_store import AnswerStore
from kingcupwheel.agent.attempt_handler import AttemptHandler
from kingcupwheel.agent.attempt_runner import AttemptRunner
from kingcupwheel.agent.attempt_table import AttemptTable
from kingcupwheel.agent.crash_table import CrashTable
from kingcupwheel.agent.drain_tracker import DrainTracker
from kingcupwheel.agent.entry_links import EntryLinks
from kingcupwheel.agent.exceptions import MissingServerError
from kingcupwheel.agent.exceptions import WrongRoleError
from kingcupwheel.agent.heartbeat import HeartbeatBuilder
from kingcupwheel.agent.heartbeat import ServerProbe
from kingcupwheel.agent.manifest_follower import ManifestFollower
from kingcupwheel.agent.map_service_manager import MapServiceManager
from kingcupwheel.link.hub import MessageHub
from kingcupwheel.messages.attempts import RunningAttempts
from kingcupwheel.messages.expertmaps import MapOrder
from kingcupwheel.messages.expertmaps import MapReply
from kingcupwheel.messages.membership import Hello
from kingcupwheel.messages.membership import ManifestObject
from kingcupwheel.messages.membership import ManifestRequest
from kingcupwheel.messages.membership import StatusReply
from kingcupwheel.messages.membership import StatusRequest
from kingcupwheel.messages.traces import TraceRequest
from kingcupwheel.metrics.metered_platform_client import MeteredPlatformClient
from kingcupwheel.metrics.metric_names import CounterName
from kingcupwheel.metrics.statsd_client import MetricsClient
from kingcupwheel.metrics.trace_event_metrics import TraceEventMetrics
from kingcupwheel.plugins.registries import load_builtin_plugins
from kingcupwheel.plugins.registries import platform_clients
from kingcupwheel.plugins.registries import server_adapters
from kingcupwheel.settings.schema import Role
from kingcupwheel.trace.batch_shipper import BatchShipper
from kingcupwheel.trace.recorder import TraceRecorder
from kingcupwheel.utils.machine_memory import limit_to_machine


if TYPE_CHECKING:
    from kingcupwheel.link.links import Link
    from kingcupwheel.manifest.schema import ServerGroup
    from kingcupwheel.messages.base import Message
    from kingcupwheel.settings.schema import Settings

logger = logging.getLogger("kingcupwheel.agent")

_INCARNATION_BYTES = 8
# The end of an answer is kept for longer than the record that its attempt ran, so that
# a late copy of the dispatch can still join it.
_END_RETENTION_RATIO = 1.5
# A dispatch sent before the entry learned of the drain is still refused as ``not-run``
# instead of getting no reply.
_MIN_DRAIN_HEARTBEATS = 3.0


class AgentDaemon:
    """Agent process; ``stop`` is a graceful stop, ``close`` aborts running attempts."""

    def __init__(self, settings: Settings) -> None:
        load_builtin_plugins()
        if settings.role is not Role.AGENT:
            raise WrongRoleError(settings.role.value)
        if settings.server is None:
            raise MissingServerError
        timings = settings.timings
        self._settings = settings
        self._metrics = MetricsClient(settings.statsd, process=settings.name)
        self._recorder = TraceRecorder(
            settings.name,
            max_requests=settings.agent.traces,
            listener=TraceEventMetrics(self._metrics, settings.role),
        )
        self._entry_links = EntryLinks(
            hello_ttl_s=timings.gone_s, silence_timeout_s=timings.give_up_s
        )
        self._hub = MessageHub(
            listen=settings.listen, on_message=self._on_message, on_tick=self._on_tick
        )
        attempt_table = AttemptTable(
            incarnation=secrets.token_hex(_INCARNATION_BYTES),
            capacity=settings.agent.concurrency,
            queue_limit=settings.agent.queue,
            token_s=timings.token_s,
            requests_bytes=limit_to_machine(settings.agent.requests_bytes),
        )
        self._store = AnswerStore(
            limit_bytes=settings.agent.answers_bytes,
            end_retention_s=_END_RETENTION_RATIO * attempt_table.ended_retention_s,
            send=self._hub.send,
        )
        adapter = server_adapters.get(settings.server.adapter)(settings.server)
        self._runner = AttemptRunner(
            name=settings.name,
            attempt_table=attempt_table,
            store=self._store,
            adapter=adapter,
            crash_table=CrashTable(),
            recorder=self._recorder,
            on_server_crash=self._send_crash_heartbeat,
            on_resend=partial(self._metrics.increment, CounterName.RESENDS),
        )
        self._handler = AttemptHandler(
            name=settings.name,
            runner=self._runner,
            store=self._store,
            entry_links=self._entry_links,
            recorder=self._recorder,
            send=self._hub.send,
        )
        self._probe = ServerProbe(adapter, self._runner, period_s=timings.heartbeat_s)
        client = MeteredPlatformClient(
            platform_clients.get(settings.platform.client)(settings.platform),
            self._metrics,
        )
        self._manifest_follower = ManifestFollower(
            client,
            group=settings.group,
            send=self._hub.send,
            on_group_changed=self._on_group_changed,
        )
        self._map_services = MapServiceManager(
            hub=self._hub,
            platform=client,
            name=settings.name,
            group=settings.group,
            server=settings.server,
        )
        self._shipper = BatchShipper(
            self._recorder,
            client,
            period_s=timings.trace_batch_s,
            retention_s=lambda: self._manifest_follower.traces_retention_s,
            metrics=self._metrics,
        )
        self._heartbeat_builder = HeartbeatBuilder(
            settings,
            self._runner,
            self._probe,
            manifest_version=lambda: self._manifest_follower.version,
        )
        self._next_heartbeat_at = 0.0
        self._drain = DrainTracker(
            min_duration_s=_MIN_DRAIN_HEARTBEATS * timings.heartbeat_s,
            ack_timeout_s=timings.give_up_s,
        )
        self._leave_requested = Event()
        self._drained = Event()

    @property
    def port(self) -> int:
        """The port that entries connect to."""
        return self._hub.port

    @property
    def incarnation(self) -> str:
        """The random id of this run of the process."""
        return self._runner.attempt_table.incarnation

    def start(self) -> None:
        """Start serving."""
        self._probe.start()
        self._manifest_follower.start()
        self._shipper.start()
        self._hub.start()
        logger.info("Serving on port %d.", self.port)

    def set_concurrency(self, concurrency: int) -> None:
        """Limit concurrent attempts to the group's limit, or the settings' if lower."""
        limit = min(concurrency, self._settings.agent.concurrency)
        with self._runner.lock:
            self._runner.attempt_table.set_capacity(limit)
        self._runner.advance()

    def leave(self) -> None:
        """Begin a graceful stop: finish running attempts, refuse others; idempotent."""
        self._leave_requested.set()

    def wait_drained(self, timeout_s: float) -> bool:
        """Wait until the graceful stop is complete; return whether it is."""
        return self._drained.wait(timeout_s)

    def reload(self, settings: Settings) -> None:
        """Log the reload; the caller has already set the log level."""
        logger.info("Settings reloaded; log level %s.", settings.log_level.value)

    def stop(self, requested_at: float | None = None) -> None:
        """Stop gracefully: return once running attempts ended and were delivered.

        The wait has no timeout; it depends only on the progress of running attempts.
        """
        self.leave()
        self._drained.wait()
        self.close()
        logger.info("Stopped.")

    def close(self) -> None:
        """Close the sockets at once; attempts still running are aborted."""
        self._probe.stop()
        self._manifest_follower.stop()
        self._map_services.stop()
        self._shipper.stop()
        self._hub.stop()
        self._metrics.close()

    def _on_message(self, link: Link, message: Message) -> None:
        now = monotonic()
        self._entry_links.record_message(link, now=now)
        match message:
            case Hello():
                self._on_hello(link, message, now)
            case TraceRequest(request_id):
                self._hub.send(link, self._recorder.build_reply(request_id))
            case StatusRequest():
                self._hub.send(link, self._build_status())
            case ManifestRequest(key):
                self._hub.send(link, self._manifest_follower.get_object(key))
            case ManifestObject():
                self._manifest_follower.receive_object(message)
            case MapOrder() | MapReply():
                self._map_services.on_message(link, message)
            case _:
                self._handler.handle(link, message)

    def _on_hello(self, link: Link, hello: Hello, now: float) -> None:
        is_known = link in self._entry_links.list_heartbeat_links(now=now)
        self._entry_links.record_hello(link, hello.name, now=now)
        self._manifest_follower.record_version(
            link, hello.manifest_version, hello.manifest_digest
        )
        if not is_known:
            self._hub.send(link, self._heartbeat_builder.build(now=now))

    def _build_status(self) -> StatusReply:
        settings = self._settings
        return StatusReply(
            settings.name,
            settings.role.value,
            settings.data_centre,
            self._manifest_follower.version,
            self._runner.attempt_table.is_leaving,
        )

    def _on_group_changed(self, group: ServerGroup) -> None:
        self.set_concurrency(group.concurrency)
        self._map_services.update_group(group)

    def _on_tick(self, now: float) -> None:
        if self._leave_requested.is_set() and not self._drain.has_begun:
            self._begin_drain(now)
        if now >= self._next_heartbeat_at:
            self._next_heartbeat_at = now + self._settings.timings.heartbeat_s
            self._send_heartbeats(now)
            self._store.expire(now=now)
            self._handler.handle_lost_links(
                self._entry_links.remove_silent_links(now=now)
            )
        self._map_services.on_tick(now)
        self._runner.advance()
        if self._drain.has_begun and self._is_drained(now):
            self._drained.set()

    def _send_heartbeats(self, now: float) -> None:
        heartbeat = self._heartbeat_builder.build(now=now)
        for link in self._entry_links.list_heartbeat_links(now=now):
            self._hub.send(link, heartbeat)
        for link, attempt_keys in self._store.list_unfinished_by_link().items():
            self._hub.send(link, RunningAttempts(tuple(attempt_keys)))

    def _send_crash_heartbeat(self) -> None:
        now = monotonic()
        heartbeat = self._heartbeat_builder.build(now=now)
        for link in self._entry_links.list_heartbeat_links(now=now):
            self._hub.send(link, heartbeat)

    def _begin_drain(self, now: float) -> None:
        self._drain.begin(now=now)
        with self._runner.lock:
            refusals = self._runner.attempt_table.begin_leaving(now=now)
        self._runner.report_refusals(refusals)
        self._next_heartbeat_at = now
        logger.info(
            "Draining; %d attempts running.",
            len(self._runner.attempt_table.running_dispatches),
        )

    def _is_drained(self, now: float) -> bool:
        return self._drain.is_complete(
            is_busy=bool(
                self._runner.attempt_table.running_dispatches
                or self._store.list_unfinished_by_link()
            ),
            undelivered_count=self._store.undelivered_count,
            now=now,
        )
