"""What an entry knows of the servers it sends to, as placement sees it.

Three sources: the platform's list (which servers there are), servers' answers (their
load when they answered) and the agents beside them (their load a few times a second).
"""

from __future__ import annotations

from threading import Lock
from time import monotonic
from typing import TYPE_CHECKING

import msgspec

from kingcupwheel.forwarding.addressclaims import AddressClaims
from kingcupwheel.manifest.schema import ServerGroup
from kingcupwheel.messages.membership import AgentHeartbeat
from kingcupwheel.messages.membership import BackendLoad
from kingcupwheel.platform.client import Instance
from kingcupwheel.telemetry.json_logs import lines_of


if TYPE_CHECKING:
    from collections.abc import Iterable

    from kingcupwheel.entry.dispatchers import Dispatchers
    from kingcupwheel.entry.servers import ServerTable
    from kingcupwheel.entry.tickets import Place
    from kingcupwheel.forwarding.backends import Backend
    from kingcupwheel.forwarding.heads import ReportedLoad
    from kingcupwheel.messages.membership import ReportedServerLoad

log = lines_of("servers")

# Requests that one entry keeps waiting for one service. They leave the queue in time or
# are refused; the bound is for memory and threads.
QUEUE = 64
# What an agent says of its server counts for so long, in seconds; after that the loads
# in answers are used again.
_AGENT_S = 1.0
# From this pace on a server counts as slow; below, its own reports waver.
SLOW_PACE = 1.25
# From this pace on it gets nothing, and streams on it go on elsewhere, unless over this
# part of the service's servers is as slow.
AVOIDED_PACE = 2.5
AVOIDED_SHARE = 0.25
# A server that was told to be warm has been up for this long, for placement's sake.
_LONG_UP_S = 3600.0


class ServerBook:
    """Feeds the server table; safe from any thread."""

    def __init__(self, servers: ServerTable, dispatchers: Dispatchers) -> None:
        self._servers = servers
        self._dispatchers = dispatchers
        self._backends_by_address: dict[str, Backend] = {}
        self._groups_by_service: dict[str, ServerGroup] = {}
        self._agent_heard_at: dict[str, float] = {}
        self._slow_at: dict[str, float] = {}
        self._listed: tuple[Backend, ...] = ()
        self._claims = AddressClaims()
        # Held while a list is taken over, so that an older one never follows a newer.
        self._listing = Lock()
        self._lock = Lock()

    @property
    def is_empty(self) -> bool:
        """Whether no server is known."""
        return not self._backends_by_address

    @property
    def backends(self) -> tuple[Backend, ...]:
        """The servers as last listed."""
        return tuple(self._backends_by_address.values())

    def in_flight(self, service: str) -> int:
        """Return how many requests this entry has under way at a service's servers."""
        with self._servers.lock:
            return sum(one.in_flight for one in self._servers.of_group(service))

    def group_of(self, service: str) -> ServerGroup:
        """Return the group that a service's requests queue for."""
        with self._lock:
            found = self._groups_by_service.get(service)
        return found or ServerGroup(name=service, queue=QUEUE)

    def list_is(self, backends: tuple[Backend, ...]) -> None:
        """Use just these servers from now on."""
        with self._listing:
            self._listed = backends
            self._apply(monotonic())

    def _apply(self, now: float) -> None:
        """Use the servers listed last, less those whose claim was refuted."""
        with self._lock:
            before = self._backends_by_address
            by_address = self._claims.holders(self._listed, before, now)
            self._backends_by_address = by_address
            self._groups_by_service = _groups(by_address.values())
        self._servers.keep(tuple(map(_instance, by_address.values())), now)
        for address, backend in by_address.items():
            known = before.get(address)
            if known is None or known.life != backend.life:
                self._new_life(backend, now)
        for service in {backend.service for backend in by_address.values()}:
            self._dispatchers.pump(service)

    def _new_life(self, backend: Backend, now: float) -> None:
        self._servers.heard(backend.address, _beat(backend, _load(0, 0)), now)
        self._heard(backend, _load(0, 0), now)
        if backend.cold_s <= 0.0:
            # Placement gives a server that has just started little at first, for its
            # caches; the platform says that this one is not slow.
            with self._servers.lock:
                server = self._servers.by_address(backend.address)
                if server is not None:
                    server.first_heard_at = now - _LONG_UP_S
        self._dispatchers.restarted(backend.service, backend.instance)

    def saw_load(self, place: Place, load: ReportedLoad | None) -> None:
        """Take in the load that an answer told."""
        now = monotonic()
        backend = self._living(place)
        agent_at = self._agent_heard_at.get(place.address, float("-inf"))
        if backend is not None and load is not None and now - agent_at > _AGENT_S:
            running = max(0, load.running - 1)
            self._heard(backend, _load(running, load.waiting), now)

    def full(self, place: Place) -> None:
        """Note that a server turned a request away for want of room."""
        backend = self._living(place)
        if backend is not None:
            self._heard(backend, _load(backend.places, 0), monotonic())

    def _living(self, place: Place) -> Backend | None:
        """Return the server of a place unless that life of it is over.

        An answer may come late, when its server has started anew under the same name;
        what it tells of its load and room is of the former life.
        """
        backend = self._backends_by_address.get(place.address)
        if backend is None or backend.life != place.incarnation:
            return None
        return backend

    def is_told_full(self, place: Place, now: float) -> bool:
        """Return whether its agent says that the server has no place free.

        Word of a moment ago only: a request that has had no answer yet may then be
        waiting there, and the server is not the worse for it.
        """
        agent_at = self._agent_heard_at.get(place.address, float("-inf"))
        server = self._servers.by_address(place.address)
        if now - agent_at > _AGENT_S or server is None or server.beat is None:
            return False
        load = server.beat.load
        return load.running + load.queued >= load.capacity

    def rests(self, place: Place, for_s: float, request_id: str) -> None:
        """Send nothing to a server for the time that it asked for."""
        now = monotonic()
        life = place.incarnation
        with self._servers.lock:
            is_news = self._servers.notices.record_backoff(life, for_s, now)
        if is_news:
            log.info("rest-asked", server=life, for_s=round(for_s, 3), id=request_id)

    def leaves(self, place: Place, request_id: str) -> bool:
        """Send nothing to a server that says that it leaves; return if that is news."""
        life = place.incarnation
        with self._servers.lock:
            is_news = self._servers.notices.record_leaving(life)
        if is_news:
            log.info("server-leaves", server=life, id=request_id)
        return is_news

    def is_leaving(self, life: str) -> bool:
        """Return whether that life of a server said that it leaves."""
        with self._servers.lock:
            return self._servers.notices.is_leaving(life)

    def may_send(self, place: Place) -> bool:
        """Return whether the life that a place is on may get a request now."""
        with self._servers.lock:
            return self._servers.notices.accepts_requests(
                place.incarnation, monotonic()
            )

    def end_rests(self) -> None:
        """Use servers again whose rest is over."""
        with self._servers.lock:
            ended = self._servers.notices.take_ended_backoffs(monotonic())
        if not ended:
            return
        for life in ended:
            log.info("rest-ended", server=life)
        for service in tuple(self._groups_by_service):
            self._dispatchers.pump(service)

    def _forget_notices(self, now: float) -> None:
        lives = {one.life for one in tuple(self._backends_by_address.values())}
        with self._servers.lock:
            forgotten = self._servers.notices.retain(lives, now)
        for life in forgotten:
            log.info("notice-forgotten", server=life)

    def closed(self, service: str) -> None:
        """Note that all servers of a service turn requests away for now.

        Requests wait in the queue. A server whose agent says that it is up is used
        again at once, the others when they are next looked at.
        """
        now = monotonic()
        for backend in tuple(self._backends_by_address.values()):
            if backend.service == service:
                self._heard(backend, _load(0, 0), now, up=False)

    def misdirected(self, place: Place) -> None:
        """Note that a server says that another one has its address.

        Nothing goes there under that name for a while; another entry that names the
        address may be right.
        """
        backend = self._living(place)
        if backend is None or backend.instance != place.server:
            return
        now = monotonic()
        log.info("claim-refuted", server=backend.life, address=backend.address)
        with self._listing:
            self._claims.refute(backend, now)
            self._apply(now)

    def agents_say(self, told: Iterable[ReportedServerLoad]) -> None:
        """Take in what the agents beside servers say."""
        now = monotonic()
        services: set[str] = set()
        for one in told:
            backend = self._backends_by_address.get(one.address)
            if backend is not None:
                self._agent_says(backend, one, now)
                services.add(backend.service)
        for service in services:
            self._dispatchers.pump(service)

    def _agent_says(
        self, backend: Backend, told: ReportedServerLoad, now: float
    ) -> None:
        address = backend.address
        if told.born_ms and backend.born_ms:
            if told.born_ms < backend.born_ms:
                # On its way since before the server started anew.
                return
            if told.born_ms > backend.born_ms:
                backend = self._reborn(backend, told.born_ms, now)
        self._agent_heard_at[address] = now
        if told.pace >= AVOIDED_PACE:
            self._slow_at[address] = now
        up = told.up and not self._avoided(backend, now)
        load = BackendLoad(told.running, told.queued, 0, 0.0, 0.0, 0.0, told.pace)
        self._heard(backend, load, now, up=up)

    def _reborn(self, backend: Backend, born_ms: int, now: float) -> Backend:
        """Know a server's new life by its agent's word, ahead of the list."""
        found = backend._replace(born_ms=born_ms)
        log.info("server-reborn", server=found.life, before=backend.life)
        with self._lock:
            self._backends_by_address[backend.address] = found
        self._new_life(found, now)
        return found

    def _avoided(self, backend: Backend, now: float) -> bool:
        """Return whether nothing goes to a slow server while the others have room.

        Load: one rank of a group is many times slower. Harm prevented: what runs on it
        holds up every pass, so each request given to it costs all streams of the group;
        with none it takes part in no pass of its own. Never more than a quarter of a
        service's servers, or the rest is overrun.
        """
        if backend.address not in self._slow_at:
            return False
        slow = {
            address
            for address, at in self._slow_at.items()
            if now - at <= _AGENT_S and address in self._backends_by_address
        }
        of_service = sum(
            one.service == backend.service for one in self._backends_by_address.values()
        )
        return backend.address in slow and len(slow) <= of_service * AVOIDED_SHARE

    def slow(self) -> tuple[str, ...]:
        """Return the instances that are avoided for being slow."""
        now = monotonic()
        return tuple(
            backend.instance
            for backend in tuple(self._backends_by_address.values())
            if self._avoided(backend, now)
        )

    def refresh(self) -> None:
        """Keep servers without an agent's word in use: they are on the list.

        What their last answers told is out of date after a second; what this entry has
        under way there is not.
        """
        now = monotonic()
        for address, backend in tuple(self._backends_by_address.items()):
            agent_at = self._agent_heard_at.get(address, float("-inf"))
            if now - agent_at > _AGENT_S:
                server = self._servers.by_address(address)
                if server is not None:
                    told = _load(min(server.own_in_flight, backend.places), 0)
                    self._heard(backend, told, now)
        self._forget_notices(now)
        for service in self._groups_by_service:
            self._dispatchers.pump(service)

    def _heard(
        self, backend: Backend, told: BackendLoad, now: float, *, up: bool = True
    ) -> None:
        current = self._backends_by_address.get(backend.address)
        if current is None or current.life != backend.life:
            return
        load = msgspec.structs.replace(
            told, capacity=places_at_pace(backend.places, told.pace)
        )
        self._servers.heard(backend.address, _beat(backend, load, up=up), now)


def places_at_pace(places: int, pace: float) -> int:
    """Return how many requests a server is given that takes ``pace`` times as long.

    Load: one rank of a group is slow for a while. Harm prevented: all ranks run each
    pass together, so what the slow one has to do itself holds up every stream of the
    group. With a place left it still takes what the others have no room for.
    """
    if pace <= SLOW_PACE:
        return places
    return max(1, int(places / (pace * pace)))


def _load(running: int, waiting: int) -> BackendLoad:
    return BackendLoad(running, waiting, 0, 0.0, 0.0, 0.0)


def _groups(backends: Iterable[Backend]) -> dict[str, ServerGroup]:
    places_by_service: dict[str, int] = {}
    for backend in backends:
        most = places_by_service.get(backend.service, 1)
        places_by_service[backend.service] = max(most, backend.places)
    return {
        service: ServerGroup(name=service, concurrency=places, queue=QUEUE)
        for service, places in places_by_service.items()
    }


def _instance(backend: Backend) -> Instance:
    return Instance(
        name=backend.instance,
        role="agent",
        group=backend.service,
        data_centre=backend.data_centre,
        address=backend.address,
        http="",
        leaving=backend.leaving,
    )


def _beat(backend: Backend, load: BackendLoad, *, up: bool = True) -> AgentHeartbeat:
    return AgentHeartbeat(
        name=backend.instance,
        group=backend.service,
        data_centre=backend.data_centre,
        incarnation=backend.life,
        token=0,
        load=load,
        leaving=backend.leaving,
        server_up=up,
        manifest_version=0,
        crashed=(),
    )
