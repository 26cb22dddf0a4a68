"""Dispatches an entry's incoming messages; runs on the hub's thread, never blocks."""

from __future__ import annotations

import logging
import time
from time import monotonic
from typing import TYPE_CHECKING

import msgspec

from kingcupwheel.entry.attempt_inboxes import AgentGone
from kingcupwheel.entry.attempt_inboxes import AttemptKey
from kingcupwheel.entry.attempt_inboxes import LinkReplaced
from kingcupwheel.entry.server_table import AgentRestarted
from kingcupwheel.entry.server_table import AgentTimedOut
from kingcupwheel.entry.server_table import LinkSilent
from kingcupwheel.link.links import IncomingLink
from kingcupwheel.link.links import OutgoingLink
from kingcupwheel.messages.attempts import AttemptAccepted
from kingcupwheel.messages.attempts import AttemptEnd
from kingcupwheel.messages.attempts import AttemptRefused
from kingcupwheel.messages.attempts import AttemptUnknown
from kingcupwheel.messages.attempts import ResponseData
from kingcupwheel.messages.attempts import ResponseHead
from kingcupwheel.messages.attempts import RunningAttempts
from kingcupwheel.messages.attempts import TombstoneReply
from kingcupwheel.messages.membership import AgentHeartbeat
from kingcupwheel.messages.membership import Hello
from kingcupwheel.messages.membership import InstanceInfo
from kingcupwheel.messages.membership import InstancesReply
from kingcupwheel.messages.membership import InstancesRequest
from kingcupwheel.messages.membership import ManifestObject
from kingcupwheel.messages.membership import ManifestRequest
from kingcupwheel.messages.membership import PeerHeartbeat
from kingcupwheel.messages.membership import ShareHeartbeat
from kingcupwheel.messages.membership import StatusReply
from kingcupwheel.messages.membership import StatusRequest
from kingcupwheel.messages.traces import BurnRequest
from kingcupwheel.messages.traces import TraceRequest
from kingcupwheel.platform.client import Instance


if TYPE_CHECKING:
    from kingcupwheel.burn.burn_counter import BurnCounter
    from kingcupwheel.entry.allowance_balancer import AllowanceBalancer
    from kingcupwheel.entry.context import EntryContext
    from kingcupwheel.entry.manifest_fetcher import ManifestFetcher
    from kingcupwheel.entry.membership import Membership
    from kingcupwheel.entry.server_table import LivenessEvent
    from kingcupwheel.link.links import Link
    from kingcupwheel.manifest.synchronizer import ManifestSynchronizer
    from kingcupwheel.messages.base import Message

logger = logging.getLogger("kingcupwheel.entry")


class MessageHandler:
    """Handles incoming messages and sends heartbeats."""

    def __init__(
        self,
        context: EntryContext,
        membership: Membership,
        manifest_synchronizer: ManifestSynchronizer,
        manifest_fetcher: ManifestFetcher,
        burn_counter: BurnCounter,
        balancer: AllowanceBalancer,
    ) -> None:
        self._context = context
        self._membership = membership
        self._manifest_synchronizer = manifest_synchronizer
        self._manifest_fetcher = manifest_fetcher
        self._burn_counter = burn_counter
        self._balancer = balancer
        self._last_heartbeat_at = 0.0

    def on_message(self, link: Link, message: Message) -> None:
        """Handle one message."""
        match message, link:
            case AgentHeartbeat(), OutgoingLink(address):
                self._on_agent_heartbeat(address, message)
            case (
                AttemptAccepted()
                | ResponseHead()
                | ResponseData()
                | AttemptEnd()
                | AttemptRefused()
                | AttemptUnknown(),
                OutgoingLink(address),
            ):
                self._context.servers.record_activity(address, monotonic())
                key = AttemptKey(message.request_id, message.attempt)
                self._context.inboxes.deliver(key, message)
            case RunningAttempts(attempts), OutgoingLink(address):
                self._on_running_attempts(address, message, attempts)
            case TombstoneReply(claim_id), OutgoingLink(address):
                self._context.servers.record_activity(address, monotonic())
                self._context.inboxes.deliver_to_claim(claim_id, message)
            case _:
                self._on_peer_message(link, message)

    def _on_running_attempts(
        self,
        address: str,
        message: RunningAttempts,
        attempts: tuple[tuple[str, int], ...],
    ) -> None:
        self._context.servers.record_activity(address, monotonic())
        for request_id, attempt in attempts:
            self._context.inboxes.deliver(AttemptKey(request_id, attempt), message)

    def _on_peer_message(self, link: Link, message: Message) -> None:
        send = self._context.hub.send
        match message:
            case PeerHeartbeat():
                self._on_peer_heartbeat(link, message)
            case ManifestRequest(key):
                send(link, self._manifest_synchronizer.get_object(key))
            case ManifestObject():
                self._manifest_fetcher.put_object(message)
            case InstancesReply(instances):
                self._on_instances(instances)
            case ShareHeartbeat():
                self._balancer.handle_heartbeat(message, monotonic())
            case Hello():
                pass
            case _:
                self._on_request(link, message)

    def _on_request(self, link: Link, message: Message) -> None:
        send = self._context.hub.send
        match message:
            case TraceRequest(request_id):
                send(link, self._context.recorder.build_reply(request_id))
            case BurnRequest():
                send(link, self._burn_counter.build_reply(now=time.time()))
            case StatusRequest():
                send(link, self._build_status_reply())
            case InstancesRequest():
                send(link, self._build_instances_reply())
            case _:
                logger.warning(
                    "Message %s not expected.", type(message).__struct_config__.tag
                )

    def _on_agent_heartbeat(self, address: str, heartbeat: AgentHeartbeat) -> None:
        restart_event = self._context.servers.record_heartbeat(
            address, heartbeat, monotonic()
        )
        if restart_event is not None:
            self._on_liveness_event(restart_event)
        if heartbeat.suspicions:
            self._context.limiter.record_suspicions(heartbeat.suspicions)
        self._manifest_synchronizer.record_peer_version(
            heartbeat.manifest_version, "", address
        )
        self._context.dispatchers.place_waiting(heartbeat.group)

    def _on_peer_heartbeat(self, link: Link, heartbeat: PeerHeartbeat) -> None:
        self._membership.record_heartbeat(heartbeat, monotonic())
        if heartbeat.suspicions:
            self._context.limiter.record_suspicions(heartbeat.suspicions)
        if isinstance(link, OutgoingLink):
            address = link.address
        else:
            address = self._membership.find_address(heartbeat.name)
        self._manifest_synchronizer.record_peer_version(
            heartbeat.manifest_version, heartbeat.manifest_digest, address
        )
        # An entry that started during a platform outage is on no entry's list of
        # instances and gets no heartbeats. Without a reply it would never learn of the
        # manifest.
        if (
            isinstance(link, IncomingLink)
            and heartbeat.manifest_version < self._manifest_synchronizer.version
        ):
            self._context.hub.send(link, self._build_peer_heartbeat())

    def _on_instances(self, infos: tuple[InstanceInfo, ...]) -> None:
        if not self._membership.instances:
            instances = tuple(Instance(*msgspec.structs.astuple(one)) for one in infos)
            self._membership.set_instances(instances)

    def _build_instances_reply(self) -> InstancesReply:
        infos = tuple(InstanceInfo(*one) for one in self._membership.instances)
        return InstancesReply(infos)

    def _build_status_reply(self) -> StatusReply:
        settings = self._context.settings
        return StatusReply(
            settings.name,
            settings.role.value,
            settings.data_centre,
            self._manifest_synchronizer.version,
            self._context.leaving.is_set(),
        )

    def on_tick(self, now: float) -> None:
        """Check the liveness of agents; send heartbeats when they are due."""
        for event in self._context.servers.check_liveness(now):
            self._on_liveness_event(event)
        if now - self._last_heartbeat_at >= self._context.settings.timings.heartbeat_s:
            self._last_heartbeat_at = now
            self._balancer.update_shares(now)
            self._send_heartbeats()

    def _on_liveness_event(self, event: LivenessEvent) -> None:
        inboxes = self._context.inboxes
        match event:
            case LinkSilent(address):
                logger.warning("Link to %s timed out; reconnecting.", address)
                self._context.hub.reconnect(address)
                for inbox in inboxes.list_by_address(address):
                    inbox.put(LinkReplaced())
            case AgentTimedOut(address):
                logger.warning("Agent at %s timed out; ending its attempts.", address)
                for inbox in inboxes.list_by_address(address):
                    inbox.put(AgentGone("the server's instance does not answer"))
            case AgentRestarted(address, incarnation):
                self._on_restarted(address, incarnation)

    def _on_restarted(self, address: str, incarnation: str) -> None:
        # Only attempts of earlier incarnations are lost. A dispatch to the new one may
        # precede its first heartbeat.
        logger.warning("Agent at %s restarted.", address)
        for inbox in self._context.inboxes.list_by_address(address):
            if inbox.incarnation != incarnation:
                inbox.put(AgentGone("the agent restarted while it ran"))
        server = self._context.servers.find_by_address(address)
        if server is not None:
            self._context.dispatchers.reset_server_health(
                server.instance.group, server.name
            )

    def _send_heartbeats(self) -> None:
        context = self._context
        version, digest = (
            self._manifest_synchronizer.version,
            self._manifest_synchronizer.digest,
        )
        leaving = context.leaving.is_set()
        name, data_centre = context.settings.name, context.settings.data_centre
        hello = Hello(name, data_centre, version, digest, leaving)
        for address in context.servers.addresses:
            context.hub.send(OutgoingLink(address, 0), hello)
        heartbeat = self._build_peer_heartbeat()
        for peer in self._membership.peers:
            context.hub.send(OutgoingLink(peer.address, 0), heartbeat)

    def _build_peer_heartbeat(self) -> PeerHeartbeat:
        context = self._context
        return PeerHeartbeat(
            context.settings.name,
            context.settings.data_centre,
            self._manifest_synchronizer.version,
            self._manifest_synchronizer.digest,
            context.leaving.is_set(),
            crashed=(),
            suspicions=context.limiter.recent_suspicions,
        )

    def announce_leaving(self) -> None:
        """Announce to agents and peers on the next tick that this entry is leaving."""
        self._last_heartbeat_at = 0.0
