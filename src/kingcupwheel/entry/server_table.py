"""Table of backend servers, with their state from their agents' heartbeats."""

from __future__ import annotations

from threading import Lock
from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.decisions.rate_limits import RateLimits
from kingcupwheel.decisions.server_notices import ServerNotices


if TYPE_CHECKING:
    from kingcupwheel.messages.membership import AgentHeartbeat
    from kingcupwheel.platform.client import Instance
    from kingcupwheel.settings.schema import Timings


class AgentRestarted(NamedTuple):
    """The agent at ``address`` has restarted; earlier incarnations have ended."""

    address: str
    incarnation: str


class LinkSilent(NamedTuple):
    """Nothing was received for ``silence_s``; the link has to be replaced."""

    address: str


class AgentTimedOut(NamedTuple):
    """Nothing was received for ``give_up_s``; its attempts are abandoned."""

    address: str


LivenessEvent = AgentRestarted | LinkSilent | AgentTimedOut


class Server:
    """State of one backend server and its agent; guarded by the table's lock."""

    def __init__(self, instance: Instance) -> None:
        self.instance = instance
        self.last_heartbeat: AgentHeartbeat | None = None
        self.last_heard_at = 0.0
        self.first_heard_at = 0.0
        self.link_replaced_at = 0.0
        self.in_flight = 0
        # Attempts in ``in_flight`` that were sent to an incarnation that has ended.
        self.ended_incarnation_in_flight = 0
        self.in_flight_at_heartbeat = 0
        self.suspect_count = 0
        self.is_listed = True
        self.is_timed_out = False

    @property
    def name(self) -> str:
        """Name of the instance."""
        return self.instance.name

    @property
    def current_in_flight(self) -> int:
        """Number of this entry's attempts at the current incarnation.

        Attempts at an ended incarnation are not counted: until they are abandoned here,
        a restarted server would look full and get no requests while it is idle.
        """
        return max(0, self.in_flight - self.ended_incarnation_in_flight)

    @property
    def is_leaving(self) -> bool:
        """Whether the platform's list or the agent's heartbeat says that it is leaving.

        Either is sufficient: the platform's list lags, and an agent that is paused
        while leaving can't send heartbeats.
        """
        return self.instance.leaving or (
            self.last_heartbeat is not None and self.last_heartbeat.leaving
        )

    @property
    def known_heartbeat(self) -> AgentHeartbeat:
        """Latest heartbeat; only for servers that have sent one."""
        assert self.last_heartbeat is not None, "server has not sent a heartbeat"
        return self.last_heartbeat

    @property
    def is_draining(self) -> bool:
        """Whether it is to get no more requests for good."""
        return self.is_leaving or not self.is_listed

    @property
    def is_in_service(self) -> bool:
        """Whether new requests may be placed on it."""
        is_server_up = self.last_heartbeat is not None and self.last_heartbeat.server_up
        return (
            is_server_up
            and self.is_listed
            and not self.is_leaving
            and not self.is_timed_out
        )


class ServerTable:
    """Servers whose agents this entry keeps links to, by address; thread-safe."""

    def __init__(self, timings: Timings) -> None:
        self._timings = timings
        self._by_address: dict[str, Server] = {}
        self._lock = Lock()
        self._notices = ServerNotices()
        self._rate_limits = RateLimits()
        self._checked_at: float | None = None

    @property
    def lock(self) -> Lock:
        """Lock for the servers that ``list_by_group`` returns."""
        return self._lock

    @property
    def notices(self) -> ServerNotices:
        """Servers' backoff and leaving notices; accessed only with ``lock`` held."""
        return self._notices

    @property
    def rate_limits(self) -> RateLimits:
        """Servers' rate limits; accessed only with ``lock`` held."""
        return self._rate_limits

    def set_instances(
        self, instances: tuple[Instance, ...], now: float
    ) -> tuple[str, ...]:
        """Replace the instances in use; return the addresses that were removed.

        A server that is no longer listed, or that has moved to another entry's subset,
        gets no new requests. It stays in the table until its attempts have ended, so
        that no answer is interrupted.
        """
        instance_by_address = {instance.address: instance for instance in instances}
        with self._lock:
            for address, instance in instance_by_address.items():
                self._add_or_update(address, instance, now)
            for address, server in self._by_address.items():
                server.is_listed = address in instance_by_address
            removed = [
                address
                for address, server in self._by_address.items()
                if address not in instance_by_address and server.in_flight == 0
            ]
            for address in removed:
                del self._by_address[address]
        return tuple(removed)

    def _add_or_update(self, address: str, instance: Instance, now: float) -> None:
        known = self._by_address.get(address)
        if known is None:
            server = Server(instance)
            server.last_heard_at = now
            server.link_replaced_at = now
            self._by_address[address] = server
            return
        known.instance = instance

    def add_reference(self, instance: Instance, now: float) -> None:
        """Keep the agent in the table until ``remove_reference``; place no requests."""
        with self._lock:
            if instance.address not in self._by_address:
                self._add_or_update(instance.address, instance, now)
            self._by_address[instance.address].in_flight += 1

    def remove_reference(self, address: str) -> None:
        """Remove a reference that ``add_reference`` added."""
        with self._lock:
            server = self._by_address.get(address)
            if server is not None:
                server.in_flight = max(0, server.in_flight - 1)

    def record_heartbeat(
        self, address: str, heartbeat: AgentHeartbeat, now: float
    ) -> AgentRestarted | None:
        """Record a heartbeat; return an event if the agent has restarted."""
        with self._lock:
            server = self._by_address.get(address)
            if server is None:
                return None
            previous = server.last_heartbeat
            server.last_heartbeat = heartbeat
            has_restarted = (
                previous is not None and previous.incarnation != heartbeat.incarnation
            )
            if has_restarted:
                server.ended_incarnation_in_flight = server.in_flight
            server.in_flight_at_heartbeat = server.current_in_flight
            if previous is None or has_restarted:
                server.first_heard_at = now
            self._record_activity(server, now)
        return AgentRestarted(address, heartbeat.incarnation) if has_restarted else None

    def is_current_incarnation(self, address: str, incarnation: str) -> bool:
        """Return whether the incarnation is the current one; True if unknown."""
        with self._lock:
            server = self._by_address.get(address)
            if server is None or server.last_heartbeat is None:
                return True
            return server.last_heartbeat.incarnation == incarnation

    def release_attempt(
        self, address: str, incarnation: str, *, is_suspect: bool
    ) -> None:
        """Release one attempt that was placed on this incarnation of the server."""
        with self._lock:
            server = self._by_address.get(address)
            if server is None:
                return
            server.in_flight = max(0, server.in_flight - 1)
            server.suspect_count = max(0, server.suspect_count - is_suspect)
            heartbeat = server.last_heartbeat
            if heartbeat is not None and heartbeat.incarnation != incarnation:
                server.ended_incarnation_in_flight = max(
                    0, server.ended_incarnation_in_flight - 1
                )

    def record_activity(self, address: str, now: float) -> None:
        """Record that a message other than a heartbeat arrived from the agent."""
        with self._lock:
            server = self._by_address.get(address)
            if server is not None:
                self._record_activity(server, now)

    def _record_activity(self, server: Server, now: float) -> None:
        server.last_heard_at = now
        server.is_timed_out = False

    def check_liveness(self, now: float) -> tuple[LivenessEvent, ...]:
        """Return the links that became silent; called about every heartbeat.

        When this process itself was paused, all agents seem silent at once. The length
        of the pause is added to the time of each agent's last message; otherwise the
        attempts of live agents would be abandoned.
        """
        with self._lock:
            self._compensate_own_pause(now)
            events = [
                self._check_server(server, now) for server in self._list_servers()
            ]
        return tuple(event for event in events if event is not None)

    def _list_servers(self) -> tuple[Server, ...]:
        return tuple(self._by_address.values())

    def _compensate_own_pause(self, now: float) -> None:
        last_checked_at, self._checked_at = self._checked_at, now
        if (
            last_checked_at is None
            or now - last_checked_at <= self._timings.silence_s / 2
        ):
            return
        for server in self._by_address.values():
            server.last_heard_at += now - last_checked_at
            server.link_replaced_at += now - last_checked_at

    def _check_server(self, server: Server, now: float) -> LivenessEvent | None:
        silent_s = now - server.last_heard_at
        if silent_s > self._timings.give_up_s and not server.is_timed_out:
            server.is_timed_out = True
            return AgentTimedOut(server.instance.address)
        since_replaced_s = now - server.link_replaced_at
        if min(silent_s, since_replaced_s) > self._timings.silence_s:
            server.link_replaced_at = now
            return LinkSilent(server.instance.address)
        return None

    def list_by_group(self, group: str) -> tuple[Server, ...]:
        """Return the group's servers; access them only with ``lock`` held."""
        return tuple(s for s in self._list_servers() if s.instance.group == group)

    @property
    def servers(self) -> tuple[Server, ...]:
        """All known servers."""
        with self._lock:
            return self._list_servers()

    def find_by_name(self, name: str) -> Server | None:
        """Return the server with this instance name, None if unknown."""
        with self._lock:
            return next((s for s in self._list_servers() if s.name == name), None)

    def find_by_address(self, address: str) -> Server | None:
        """Return the server at this address, None if unknown."""
        return self._by_address.get(address)

    @property
    def addresses(self) -> tuple[str, ...]:
        """Addresses of all known agents."""
        return tuple(self._by_address)
