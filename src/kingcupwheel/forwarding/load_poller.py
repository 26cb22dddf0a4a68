"""Polls the agents of engine servers for the loads of their servers."""

from __future__ import annotations

from time import monotonic
from typing import TYPE_CHECKING

from kingcupwheel.forwarding.load_aggregators import MAX_DIRECT_AGENTS
from kingcupwheel.forwarding.load_aggregators import LoadAggregators
from kingcupwheel.forwarding.silent_links import SilentLinks
from kingcupwheel.link.links import OutgoingLink
from kingcupwheel.messages.membership import AgentHeartbeat
from kingcupwheel.messages.membership import Hello
from kingcupwheel.messages.membership import LoadsReply
from kingcupwheel.messages.membership import LoadsRequest
from kingcupwheel.messages.membership import ReportedServerLoad
from kingcupwheel.telemetry.json_logs import lines_of


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Iterable

    from kingcupwheel.forwarding.backends import Backend
    from kingcupwheel.forwarding.configuration import Configuration
    from kingcupwheel.forwarding.configuration_cache import ConfigurationCache
    from kingcupwheel.forwarding.server_registry import ServerRegistry
    from kingcupwheel.link.hub import MessageHub
    from kingcupwheel.link.links import Link
    from kingcupwheel.settings.schema import Settings

log = lines_of("servers")

# Agents report loads for some seconds after a poll. At this interval one lost poll has
# no effect.
_POLL_INTERVAL_S = 1.0


class AgentLoadPoller:
    """Polls agents for loads; runs on the hub's thread.

    ``is_leaving`` returns whether this entry is shutting down.
    """

    def __init__(
        self,
        settings: Settings,
        hub: MessageHub,
        servers: ServerRegistry,
        configuration_cache: ConfigurationCache,
        *,
        is_leaving: Callable[[], bool],
    ) -> None:
        self._settings = settings
        self._hub = hub
        self._servers = servers
        self._configuration_cache = configuration_cache
        self._is_leaving = is_leaving
        self._polled_at = 0.0
        self._aggregators = LoadAggregators(settings.data_centre)
        self._silent_links = SilentLinks()
        # Those whose links were replaced and that have not answered since.
        self._silent_agents: set[str] = set()

    def on_report(self, link: Link, message: AgentHeartbeat | LoadsReply) -> None:
        """Record an agent's report of its own server, or of those of a data centre."""
        if isinstance(link, OutgoingLink):
            self._silent_links.record_heard(link.address, monotonic())
            self._silent_agents.discard(link.address)
        if isinstance(message, AgentHeartbeat):
            self._servers.apply_agent_reports((_report_from(message),))
            return
        if isinstance(link, OutgoingLink):
            self._aggregators.record_reply(link.address, monotonic())
        self._servers.apply_agent_reports(message.servers)

    def on_tick(self, now: float) -> None:
        """Poll the agents if the interval has passed."""
        current = self._configuration_cache.current
        if current is None or now - self._polled_at < _POLL_INTERVAL_S:
            return
        port = self._settings.listen.rpartition(":")[2]
        agents = _engine_agents(self._servers.backends, current, port)
        if not agents:
            # The list of servers is not loaded yet: retry at the next tick instead of
            # after the interval.
            return
        self._polled_at = now
        addresses = [one for found in agents.values() for one in found]
        self._silent_links.retain(addresses)
        self._silent_agents.intersection_update(addresses)
        if len(addresses) > MAX_DIRECT_AGENTS:
            queries = self._aggregators.queries(agents, now)
            self._replace_silent([one.aggregator for one in queries], now)
            for aggregator, members, interval_s in queries:
                self._hub.send(
                    OutgoingLink(aggregator, 0), LoadsRequest(members, interval_s)
                )
            return
        hello = self._hello(current)
        self._replace_silent(addresses, now)
        for address in addresses:
            self._hub.send(OutgoingLink(address, 0), hello)

    def _replace_silent(self, polled: Collection[str], now: float) -> None:
        for address in self._silent_links.take_silent(polled, now):
            if address not in self._silent_agents:
                self._silent_agents.add(address)
                log.info("link-replaced", agent=address)
            self._hub.reconnect(address)

    def _hello(self, current: Configuration) -> Hello:
        settings = self._settings
        return Hello(
            settings.name, settings.data_centre, current.version, "", self._is_leaving()
        )


def _engine_agents(
    backends: Iterable[Backend], current: Configuration, port: str
) -> dict[str, list[str]]:
    """Return the addresses of engine servers' agents by data centre."""
    found: dict[str, list[str]] = {}
    for backend in backends:
        service = current.services_by_name.get(backend.service)
        if service is not None and service.engine is not None:
            agent = f"{backend.address.rpartition(':')[0]}:{port}"
            found.setdefault(backend.data_centre, []).append(agent)
    return found


def _report_from(heartbeat: AgentHeartbeat) -> ReportedServerLoad:
    load = heartbeat.load
    return ReportedServerLoad(
        heartbeat.name,
        load.running,
        load.queued,
        load.pace,
        heartbeat.server_up,
        heartbeat.started_at_ms,
    )
