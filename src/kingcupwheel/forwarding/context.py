"""What request threads share: the parts of one entry on the users' platform."""

from __future__ import annotations

from time import monotonic
from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.telemetry.lines import lines_of


if TYPE_CHECKING:
    from kingcupwheel.entry.dispatchers import Dispatchers
    from kingcupwheel.entry.tickets import Place
    from kingcupwheel.forwarding.calls import ServerCalls
    from kingcupwheel.forwarding.connections import Connections
    from kingcupwheel.forwarding.currency import Currency
    from kingcupwheel.forwarding.guards import Guards
    from kingcupwheel.forwarding.heads import ReportedLoad
    from kingcupwheel.forwarding.pulse import Pulses
    from kingcupwheel.forwarding.serverbook import ServerBook
    from kingcupwheel.forwarding.watchdog import Watchdog
    from kingcupwheel.manifest.schema import ServerGroup
    from kingcupwheel.telemetry.metrics import EntryMetrics


log = lines_of("servers")


class ForwardContext(NamedTuple):
    """The shared parts; each is safe from any thread."""

    data_centre: str
    currency: Currency
    dispatchers: Dispatchers
    book: ServerBook
    calls: ServerCalls
    connections: Connections
    guards: Guards
    pulses: Pulses
    watchdog: Watchdog
    metrics: EntryMetrics

    def group_of(self, service: str) -> ServerGroup:
        """Return the group that a service's requests queue for."""
        return self.book.group_of(service)

    def saw_load(self, place: Place, load: ReportedLoad | None) -> None:
        """Take in the load that an answer told."""
        self.book.saw_load(place, load)

    def misdirected(self, place: Place) -> None:
        """Note that another life of a server has its address."""
        self.connections.forget(place.incarnation)
        self.book.misdirected(place)

    def turned_away(self, place: Place, service: str, *, streamed: bool) -> None:
        """Note that a server turned a request away: it is full, or its group closed."""
        group = self.book.rank_group_of(place, service)
        if streamed and self.guards.is_closed(
            group, place.server, quiet_s=self.pulses.of(group).quiet_s(monotonic())
        ):
            log.info(
                "group-closed", service=service, group=group.name, server=place.server
            )
            self.book.closed(group)
        else:
            self.book.full(place)

    def heard_from(self, place: Place, service: str) -> None:
        """Note that a server sent a part of an answer."""
        group = self.book.rank_group_of(place, service)
        self.pulses.of(group).beat(place.server, monotonic())

    def is_better_off(self, place: Place, service: str, *, begun: bool) -> bool:
        """Return whether a stream of a silent server can go on elsewhere.

        Either the server is silent while others of its group go on, or the whole group
        stands still and another one goes on.

        Load: all callers come back at once when the power does, and first events take
        seconds at every server. Harm prevented: a request that has not ``begun`` at a
        full server that lives is ended, or read anew at another full one, though it was
        about to begin.
        """
        now = monotonic()
        group = self.book.rank_group_of(place, service)
        if self.pulses.of(group).others_live(place.server, now):
            return begun or not self.book.is_told_full(place, now)
        return self.book.goes_on_beside(group, now) and self.book.has_ample_room_beside(
            group
        )
