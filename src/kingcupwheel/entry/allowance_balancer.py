"""Splits each organisation's allowance over its entries by their demand.

``decisions.allowance_shares`` computes the shares. This module exchanges demands and
shares with the other entries of each organisation's set, about every heartbeat, for
organisations with recent demand.
"""

from __future__ import annotations

import secrets
from threading import Lock
from time import monotonic
from typing import TYPE_CHECKING

from kingcupwheel.decisions.allowance_shares import PeerShare
from kingcupwheel.decisions.allowance_shares import Share
from kingcupwheel.decisions.allowance_shares import compute_next_share
from kingcupwheel.link.links import OutgoingLink
from kingcupwheel.messages.membership import ShareHeartbeat
from kingcupwheel.messages.membership import ShareReport


if TYPE_CHECKING:
    from collections.abc import Callable

    from kingcupwheel.entry.membership import Membership
    from kingcupwheel.entry.request_limiter import RequestLimiter
    from kingcupwheel.manifest.schema import Organisation
    from kingcupwheel.messages.base import Message

# Demand below this fraction of an equal share is not reported: no entry needs to lend
# or borrow then, and 43,000 organisations with little demand would be reported on every
# heartbeat. Both sides count an unreported organisation as an equal share without
# demand.
_MIN_SHARED_DEMAND_FRACTION = 0.5
# Time without demand after which an organisation is removed here and from the reports:
# 43,000 of them, each on two entries, would otherwise be reported on every heartbeat.
_IDLE_TIMEOUT_S = 60.0
_MIN_DEMAND = 1e-6
_INCARNATION_BYTES = 4


class _PeerState:
    """Last reports of another entry.

    ``last_sent_at`` is that entry's clock in its last heartbeat, to be echoed to it
    with its ``incarnation``; ``last_echo_at`` is when the last heartbeat that it echoed
    was sent from here.
    """

    def __init__(self, now: float) -> None:
        self.last_echo_at = now
        self.last_sent_at = -1.0
        self.incarnation = ""
        self.report_by_organisation: dict[str, ShareReport] = {}


class AllowanceBalancer:
    """Shares of one entry in the organisations' allowances; thread-safe."""

    def __init__(
        self,
        name: str,
        limiter: RequestLimiter,
        membership: Membership,
        *,
        send: Callable[[OutgoingLink, Message], None],
        find_organisation: Callable[[str], Organisation | None],
    ) -> None:
        self._name = name
        self._incarnation = secrets.token_hex(_INCARNATION_BYTES)
        self._limiter = limiter
        self._membership = membership
        self._send = send
        self._find_organisation = find_organisation
        self._share_by_organisation: dict[str, Share] = {}
        self._used_at_by_organisation: dict[str, float] = {}
        self._peer_by_name: dict[str, _PeerState] = {}
        self._reported_peers: frozenset[str] = frozenset()
        self._lock = Lock()

    def get_initial_share(self, organisation: Organisation) -> float:
        """Return the initial share, equal for all entries of the organisation's set.

        No share is lent before there is demand, so equal shares add up to the
        allowance. An entry that has just started may exceed it by one equal share until
        its peers know of it. With an initial share of 0, every organisation's first
        burst would be refused.
        """
        now = monotonic()
        members = self._membership.list_members(organisation, now)
        with self._lock:
            share = self._get_share(organisation.name, len(members))
            self._used_at_by_organisation[organisation.name] = now
        return share.usable_fraction(max(1, len(members)))

    def _get_share(self, organisation: str, member_count: int) -> Share:
        known = self._share_by_organisation.get(organisation)
        if known is None:
            known = Share(held=1.0 / max(1, member_count))
            self._share_by_organisation[organisation] = known
        return known

    def handle_heartbeat(self, heartbeat: ShareHeartbeat, now: float) -> None:
        """Store the reports of another entry; called on the hub's thread.

        An organisation without requests here is registered as well, because its share
        is lent only if this entry reports its low demand.
        """
        for report in heartbeat.shares:
            organisation = self._find_organisation(report.organisation)
            if organisation is not None and report.demand > _MIN_DEMAND:
                self._limiter.register_organisation(organisation)
        with self._lock:
            peer = self._peer_by_name.setdefault(heartbeat.name, _PeerState(now))
            peer.last_sent_at = heartbeat.sent_at
            peer.incarnation = heartbeat.incarnation
            # After a restart of this machine the peer still echoes a reading of the
            # former process, whose clock says nothing of how long the peer is silent.
            if heartbeat.echo >= 0 and heartbeat.echo_incarnation == self._incarnation:
                peer.last_echo_at = max(peer.last_echo_at, heartbeat.echo)
            peer.report_by_organisation = {
                one.organisation: one for one in heartbeat.shares
            }

    def update_shares(self, now: float) -> None:
        """Compute all shares anew and report them to peers; about every heartbeat."""
        reports_by_peer: dict[str, list[ShareReport]] = {}
        for organisation, demand in self._limiter.list_demands(now):
            members = self._membership.list_members(organisation, now)
            if self._is_idle(organisation.name, demand, now):
                self._remove_organisation(organisation)
                continue
            if self._reset_if_unshared(organisation, demand, members):
                continue
            report = self._update_share(organisation, demand, members, now)
            for member in members:
                if member != self._name:
                    reports_by_peer.setdefault(member, []).append(report)
        # Peers that got reports before get one empty heartbeat, so that they don't keep
        # using outdated ones.
        for peer in self._reported_peers | reports_by_peer.keys():
            self._send_heartbeat(peer, tuple(reports_by_peer.get(peer, ())), now)
        self._reported_peers = frozenset(reports_by_peer)

    def _reset_if_unshared(
        self, organisation: Organisation, demand: float, members: tuple[str, ...]
    ) -> bool:
        """Reset to an equal share if it is enough here and at every other entry.

        Returns whether it was reset. Each entry resets on its own. Until the last one
        has, the sum may exceed the allowance for a heartbeat, while no entry needs half
        of its share.
        """
        name = organisation.name
        equal_share = 1.0 / max(1, len(members))
        if (
            demand >= _MIN_SHARED_DEMAND_FRACTION * equal_share
            or self._name not in members
        ):
            return False
        if self._has_peer_demand(name, equal_share):
            return False
        with self._lock:
            previous = self._get_share(name, len(members))
            share = previous._replace(held=equal_share, wants_more_since=None)
            self._share_by_organisation[name] = share
        self._limiter.set_share(
            organisation, share.usable_fraction(max(1, len(members)))
        )
        return True

    def _has_peer_demand(self, organisation: str, equal_share: float) -> bool:
        reports = self._list_peer_reports(organisation)
        return any(
            one.demand >= _MIN_SHARED_DEMAND_FRACTION * equal_share for one in reports
        )

    def _is_idle(self, organisation: str, demand: float, now: float) -> bool:
        reports = self._list_peer_reports(organisation)
        if demand > _MIN_DEMAND or any(one.demand > _MIN_DEMAND for one in reports):
            self._used_at_by_organisation[organisation] = now
        return (
            now - self._used_at_by_organisation.get(organisation, now) > _IDLE_TIMEOUT_S
        )

    def _list_peer_reports(self, organisation: str) -> list[ShareReport]:
        """Return the other entries' last reports of the organisation."""
        with self._lock:
            reports = [
                peer.report_by_organisation.get(organisation)
                for peer in self._peer_by_name.values()
            ]
        return [one for one in reports if one is not None]

    def _remove_organisation(self, organisation: Organisation) -> None:
        self._limiter.remove_organisation(organisation)
        with self._lock:
            self._share_by_organisation.pop(organisation.name, None)
            self._used_at_by_organisation.pop(organisation.name, None)

    def _update_share(
        self,
        organisation: Organisation,
        demand: float,
        members: tuple[str, ...],
        now: float,
    ) -> ShareReport:
        name = organisation.name
        with self._lock:
            previous = self._get_share(name, len(members))
            if self._name in members:
                peers = [
                    self._build_peer_share(member, name, len(members), now)
                    for member in members
                    if member != self._name
                ]
                share = compute_next_share(previous, demand, peers, now)
            else:
                # Not in the organisation's set: its members use this entry's share.
                share = previous._replace(held=0.0, wants_more_since=None)
            self._share_by_organisation[name] = share
        self._limiter.set_share(
            organisation, share.usable_fraction(max(1, len(members)))
        )
        return ShareReport(name, demand, share.held, share.wants_more)

    def _build_peer_share(
        self, member: str, organisation: str, member_count: int, now: float
    ) -> PeerShare:
        peer = self._peer_by_name.setdefault(member, _PeerState(now))
        report = peer.report_by_organisation.get(organisation)
        age_s = now - peer.last_echo_at
        if report is None:
            # No demand there: the peer starts with an equal share once there is some.
            return PeerShare(0.0, 1.0 / max(1, member_count), False, age_s)
        return PeerShare(report.demand, report.held, report.wants_more, age_s)

    def _send_heartbeat(
        self, member: str, shares: tuple[ShareReport, ...], now: float
    ) -> None:
        address = self._membership.find_address(member)
        if not address:
            return
        with self._lock:
            peer = self._peer_by_name.setdefault(member, _PeerState(now))
            heartbeat = ShareHeartbeat(
                self._name,
                now,
                peer.last_sent_at,
                shares,
                self._incarnation,
                peer.incarnation,
            )
        self._send(OutgoingLink(address, 0), heartbeat)
