"""What an entry knows of the agents it uses, from their heartbeats."""

from __future__ import annotations

from threading import Lock
from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.decisions.server_notices import ServerNotices


if TYPE_CHECKING:
    from kingcupwheel.messages.membership import AgentHeartbeat
    from kingcupwheel.platform.client import Instance
    from kingcupwheel.settings.schema import Timings


class AgentRestarted(NamedTuple):
    """The agent at ``address`` lives anew; earlier lives are over."""

    address: str
    incarnation: str


class LinkSilent(NamedTuple):
    """Nothing was heard for a while: the link has to be replaced."""

    address: str


class AgentTimedOut(NamedTuple):
    """Nothing was heard for so long that its attempts are given up."""

    address: str


LivenessEvent = AgentRestarted | LinkSilent | AgentTimedOut


class Server:
    """One backend server's agent as seen from here; guarded by the table's lock."""

    def __init__(self, instance: Instance) -> None:
        self.instance = instance
        self.last_heartbeat: AgentHeartbeat | None = None
        self.last_heard_at = 0.0
        self.first_heard_at = 0.0
        self.link_replaced_at = 0.0
        self.in_flight = 0
        # Those of ``in_flight`` that a life that is over was given.
        self.ended_incarnation_in_flight = 0
        self.in_flight_at_heartbeat = 0
        self.suspect_count = 0
        self.is_listed = True
        self.is_timed_out = False

    @property
    def name(self) -> str:
        """The instance's name."""
        return self.instance.name

    @property
    def current_in_flight(self) -> int:
        """How many attempts of this entry its present life has.

        Failure: a server starts anew while its last life's attempts are not yet given
        up here. Symptom: it looks full, and gets nothing while it idles.
        """
        return max(0, self.in_flight - self.ended_incarnation_in_flight)

    @property
    def is_leaving(self) -> bool:
        """Whether the platform or the agent itself says that it leaves.

        Either is enough: the platform's list lags, and an agent that is paused while
        leaving can't tell.
        """
        return self.instance.leaving or (
            self.last_heartbeat is not None and self.last_heartbeat.leaving
        )

    @property
    def known_heartbeat(self) -> AgentHeartbeat:
        """The latest heartbeat of a server that was heard."""
        assert self.last_heartbeat is not None, (
            "only servers that were heard are placed on"
        )
        return self.last_heartbeat

    @property
    def is_draining(self) -> bool:
        """Whether it is to get nothing ever again."""
        return self.is_leaving or not self.is_listed

    @property
    def is_in_service(self) -> bool:
        """Whether new work may go there."""
        up = self.last_heartbeat is not None and self.last_heartbeat.server_up
        return up and self.is_listed and not self.is_leaving and not self.is_timed_out


class ServerTable:
    """The agents this entry keeps links to, by address; safe from any thread."""

    def __init__(self, timings: Timings) -> None:
        self._timings = timings
        self._by_address: dict[str, Server] = {}
        self._lock = Lock()
        self._notices = ServerNotices()
        self._checked_at: float | None = None

    @property
    def lock(self) -> Lock:
        """Guards the servers that ``of_group`` returns."""
        return self._lock

    @property
    def notices(self) -> ServerNotices:
        """What servers said of themselves; read and changed under ``lock`` only."""
        return self._notices

    def set_instances(
        self, instances: tuple[Instance, ...], now: float
    ) -> tuple[str, ...]:
        """Use just ``instances`` from now on; return addresses no longer used.

        A server with attempts under way stays known, so that nobody is cut off, and
        gets no new work: it left the list, or another entry's subset has it now.
        """
        wanted = {instance.address: instance for instance in instances}
        with self._lock:
            for address, instance in wanted.items():
                self._add_or_update(address, instance, now)
            for address, server in self._by_address.items():
                server.is_listed = address in wanted
            dropped = [
                address
                for address, server in self._by_address.items()
                if address not in wanted and server.in_flight == 0
            ]
            for address in dropped:
                del self._by_address[address]
        return tuple(dropped)

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
        """Know the agent at least until ``end_visit``, without placing work there."""
        with self._lock:
            if instance.address not in self._by_address:
                self._add_or_update(instance.address, instance, now)
            self._by_address[instance.address].in_flight += 1

    def remove_reference(self, address: str) -> None:
        """End one ``visit``."""
        with self._lock:
            server = self._by_address.get(address)
            if server is not None:
                server.in_flight = max(0, server.in_flight - 1)

    def record_heartbeat(
        self, address: str, heartbeat: AgentHeartbeat, now: float
    ) -> AgentRestarted | None:
        """Take in a heartbeat; tell if it is from a new life of the agent."""
        with self._lock:
            server = self._by_address.get(address)
            if server is None:
                return None
            before = server.last_heartbeat
            server.last_heartbeat = heartbeat
            restarted = (
                before is not None and before.incarnation != heartbeat.incarnation
            )
            if restarted:
                server.ended_incarnation_in_flight = server.in_flight
            server.in_flight_at_heartbeat = server.current_in_flight
            if before is None or restarted:
                server.first_heard_at = now
            self._record_activity(server, now)
        return AgentRestarted(address, heartbeat.incarnation) if restarted else None

    def is_current_incarnation(self, address: str, incarnation: str) -> bool:
        """Return whether this life of the server there is not known to be over."""
        with self._lock:
            server = self._by_address.get(address)
            if server is None or server.last_heartbeat is None:
                return True
            return server.last_heartbeat.incarnation == incarnation

    def release_attempt(
        self, address: str, incarnation: str, *, is_suspect: bool
    ) -> None:
        """End one attempt that was placed on this life of the server."""
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
        """Note any other sign of life from the agent."""
        with self._lock:
            server = self._by_address.get(address)
            if server is not None:
                self._record_activity(server, now)

    def _record_activity(self, server: Server, now: float) -> None:
        server.last_heard_at = now
        server.is_timed_out = False

    def check_liveness(self, now: float) -> tuple[LivenessEvent, ...]:
        """Return the links that went silent; called about every heartbeat.

        When this process itself was paused, everybody seems silent at once. The time
        not lived is added to each last sign of life; otherwise a pause here would give
        up answers that are alive over there.
        """
        with self._lock:
            self._compensate_own_pause(now)
            findings = [
                self._check_server(server, now) for server in self._list_servers()
            ]
        return tuple(finding for finding in findings if finding is not None)

    def _list_servers(self) -> tuple[Server, ...]:
        return tuple(self._by_address.values())

    def _compensate_own_pause(self, now: float) -> None:
        last, self._checked_at = self._checked_at, now
        if last is None or now - last <= self._timings.silence_s / 2:
            return
        for server in self._by_address.values():
            server.last_heard_at += now - last
            server.link_replaced_at += now - last

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
        """Return the group's servers; read them under ``lock`` only."""
        return tuple(s for s in self._list_servers() if s.instance.group == group)

    @property
    def servers(self) -> tuple[Server, ...]:
        """Every server known."""
        with self._lock:
            return self._list_servers()

    def find_by_name(self, name: str) -> Server | None:
        """Return the server with that instance name."""
        with self._lock:
            return next((s for s in self._list_servers() if s.name == name), None)

    def find_by_address(self, address: str) -> Server | None:
        """Return the server at that address."""
        return self._by_address.get(address)

    @property
    def addresses(self) -> tuple[str, ...]:
        """The addresses of all agents in use."""
        return tuple(self._by_address)
