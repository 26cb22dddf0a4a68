"""Splits each organisation's allowance over its entries by what they see of it.

The arithmetic is ``decisions.allowance_shares``; this module exchanges demands and
shares with the other entries of each organisation's set, about every heartbeat, for
organisations in use.
"""

from __future__ import annotations

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

# Demand below this part of an equal share is not told: nobody need lend or borrow then,
# and 43,000 organisations that each send a little would ride on every heartbeat. Both
# sides count an organisation that is not told as an equal share without demand.
_MIN_SHARED_DEMAND_FRACTION = 0.5
# An organisation without demand for so long is forgotten, here and in what is told to
# others: 43,000 of them, each on two entries, would otherwise ride on every heartbeat.
_IDLE_TIMEOUT_S = 60.0
_MIN_DEMAND = 1e-6


class _PeerState:
    """What another entry told last, and which of this entry's beats it has had."""

    def __init__(self, now: float) -> None:
        self.last_echo_at = now
        self.last_sent_at = -1.0
        self.report_by_organisation: dict[str, ShareReport] = {}


class AllowanceBalancer:
    """The shares of one entry; safe from any thread."""

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
        """Return the share to begin with: an equal part.

        Nothing is lent before there is demand, so that equal parts add up to the whole;
        an entry that has just started may add one such part until its peers have heard
        of it. Beginning with nothing would refuse every organisation's first burst.
        """
        now = monotonic()
        members = self._membership.members_for(organisation, now)
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
        """Take in what another entry tells; called on the hub's thread.

        An organisation not in use here takes part as well: its share is lent only by
        telling how little is wanted.
        """
        for report in heartbeat.shares:
            organisation = self._find_organisation(report.organisation)
            if organisation is not None and report.demand > _MIN_DEMAND:
                self._limiter.register_organisation(organisation)
        with self._lock:
            peer = self._peer_by_name.setdefault(heartbeat.name, _PeerState(now))
            peer.last_sent_at = heartbeat.sent_at
            if heartbeat.echo >= 0:
                peer.last_echo_at = max(peer.last_echo_at, heartbeat.echo)
            peer.report_by_organisation = {
                one.organisation: one for one in heartbeat.shares
            }

    def update_shares(self, now: float) -> None:
        """Work out every share anew and tell the others; about every heartbeat."""
        reports_by_peer: dict[str, list[ShareReport]] = {}
        for organisation, demand in self._limiter.list_demands(now):
            members = self._membership.members_for(organisation, now)
            if self._is_idle(organisation.name, demand, now):
                self._remove_organisation(organisation)
                continue
            if self._reset_if_unshared(organisation, demand, members):
                continue
            report = self._update_share(organisation, demand, members, now)
            for member in members:
                if member != self._name:
                    reports_by_peer.setdefault(member, []).append(report)
        # Those told before get one more message that names nothing, so that they don't
        # go on counting on what was true then.
        for peer in self._reported_peers | reports_by_peer.keys():
            self._send_heartbeat(peer, tuple(reports_by_peer.get(peer, ())), now)
        self._reported_peers = frozenset(reports_by_peer)

    def _reset_if_unshared(
        self, organisation: Organisation, demand: float, members: tuple[str, ...]
    ) -> bool:
        """Tell whether an equal share is enough here and at every other entry.

        Both go back to it by themselves. Until the slower one has, the sum may be over
        the allowance for a heartbeat, while neither needs half of what it holds.
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
        """Return what the other entries told last of the organisation."""
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
                # Left out of the set: the members count on this part being free.
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
            # Not in use there: it begins with an equal part as soon as it is.
            return PeerShare(0.0, 1.0 / max(1, member_count), False, age_s)
        return PeerShare(report.demand, report.held, report.wants_more, age_s)

    def _send_heartbeat(
        self, member: str, shares: tuple[ShareReport, ...], now: float
    ) -> None:
        address = self._membership.address_of(member)
        if not address:
            return
        with self._lock:
            echo = self._peer_by_name.setdefault(member, _PeerState(now)).last_sent_at
        self._send(
            OutgoingLink(address, 0), ShareHeartbeat(self._name, now, echo, shares)
        )
