"""Aggregates the loads of a data centre's servers into one message per entry.

If 31 entries each receive the load of 72 agents four times a second, that is 9,000
messages a second: 290 at each entry and 120 at each agent. Traffic between data centres
costs by the byte, and the link and processor of an agent are needed for the maps of its
group. With one aggregating agent per data centre an entry receives twelve messages a
second.
"""

from __future__ import annotations

from threading import Lock
from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.link.links import OutgoingLink
from kingcupwheel.messages.membership import Hello
from kingcupwheel.messages.membership import LoadsReply
from kingcupwheel.messages.membership import ReportedServerLoad


if TYPE_CHECKING:
    from kingcupwheel.link.hub import MessageHub
    from kingcupwheel.link.links import Link
    from kingcupwheel.messages.membership import AgentHeartbeat
    from kingcupwheel.messages.membership import LoadsRequest

# Members send their load for four seconds after each Hello message.
_HELLO_INTERVAL_S = 1.0
# How long a member's load is forwarded without a new heartbeat.
_LOAD_TTL_S = 1.0
# How long an entry is sent loads without renewing its subscription.
_SUBSCRIPTION_TTL_S = 4.0


class _Subscription:
    def __init__(self) -> None:
        self.members: tuple[str, ...] = ()
        self.interval_s = 0.0
        self.renewed_at = 0.0
        self.sent_at = float("-inf")


class _MemberLoad(NamedTuple):
    load: ReportedServerLoad
    received_at: float


class LoadAggregator:
    """Collects members' loads and sends them to subscribed entries; thread-safe."""

    def __init__(self, name: str, hub: MessageHub) -> None:
        self._hub = hub
        self._hello = Hello(name, "", 0, "", leaving=False)
        self._subscriptions_by_link: dict[Link, _Subscription] = {}
        self._loads_by_member: dict[str, _MemberLoad] = {}
        self._hello_sent_at = float("-inf")
        self._lock = Lock()

    def subscribe(self, link: Link, message: LoadsRequest, now: float) -> None:
        """Create or renew the subscription of an entry."""
        with self._lock:
            subscription = self._subscriptions_by_link.setdefault(link, _Subscription())
            subscription.members = message.members
            subscription.interval_s = message.every_s
            subscription.renewed_at = now

    def handle_heartbeat(
        self, link: Link, heartbeat: AgentHeartbeat, now: float
    ) -> None:
        """Store the load from a member's heartbeat."""
        if not isinstance(link, OutgoingLink):
            return
        load = heartbeat.load
        server_load = ReportedServerLoad(
            heartbeat.name,
            load.running,
            load.queued,
            load.pace,
            heartbeat.server_up,
            heartbeat.started_at_ms,
        )
        with self._lock:
            self._loads_by_member[link.address] = _MemberLoad(server_load, now)

    def on_tick(self, now: float) -> None:
        """Send Hello messages and aggregated loads that are due."""
        with self._lock:
            for link in [
                one
                for one, subscription in self._subscriptions_by_link.items()
                if now - subscription.renewed_at > _SUBSCRIPTION_TTL_S
            ]:
                del self._subscriptions_by_link[link]
            subscriptions = tuple(self._subscriptions_by_link.items())
            loads_by_member = dict(self._loads_by_member)
        if not subscriptions:
            return
        if now - self._hello_sent_at >= _HELLO_INTERVAL_S:
            self._hello_sent_at = now
            for member in {
                one for _, subscription in subscriptions for one in subscription.members
            }:
                self._hub.send(OutgoingLink(member, 0), self._hello)
        for link, subscription in subscriptions:
            if now - subscription.sent_at >= subscription.interval_s:
                subscription.sent_at = now
                self._hub.send(
                    link, LoadsReply(_fresh_loads(subscription, loads_by_member, now))
                )


def _fresh_loads(
    subscription: _Subscription, loads_by_member: dict[str, _MemberLoad], now: float
) -> tuple[ReportedServerLoad, ...]:
    found = (
        loads_by_member[member]
        for member in subscription.members
        if member in loads_by_member
    )
    return tuple(one.load for one in found if now - one.received_at <= _LOAD_TTL_S)
