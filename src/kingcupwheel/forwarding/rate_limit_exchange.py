"""Rate limits of servers: recorded from answers, exchanged with the other entries."""

from __future__ import annotations

from time import monotonic
from typing import TYPE_CHECKING

from kingcupwheel.decisions.rate_limits import LimitReport
from kingcupwheel.messages.membership import ServerLimitReport
from kingcupwheel.telemetry.json_logs import lines_of


if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

    from kingcupwheel.decisions.limit_shares import EntryFleet
    from kingcupwheel.decisions.rate_limits import LimitChange
    from kingcupwheel.entry.placement_tickets import Reservation
    from kingcupwheel.entry.server_table import ServerTable

log = lines_of("servers")


class RateLimitExchange:
    """Keeps the server table's rate limits up to date; thread-safe."""

    def __init__(self, servers: ServerTable) -> None:
        self._servers = servers
        self._has_changed = False

    def update_fleet(self, fleet: EntryFleet) -> None:
        """Replace the entries that share the limits."""
        with self._servers.lock:
            self._servers.rate_limits.update_fleet(fleet)

    def record_answer(
        self,
        reservation: Reservation,
        rate: float | None,
        *,
        sent_at: float,
        request_id: str,
    ) -> None:
        """Record the limit in an answer to a request sent at ``sent_at``."""
        now = monotonic()
        incarnation = reservation.incarnation
        with self._servers.lock:
            change = self._servers.rate_limits.record_answer(
                incarnation, rate, sent_at=sent_at, now=now
            )
        if change is not None:
            self._has_changed = True
            _log_change(incarnation, change, id=request_id, age_s=now - sent_at)

    def record_reports(
        self, peer: str, reports: Iterable[ServerLimitReport], max_transit_s: float
    ) -> None:
        """Record a peer's reports, at most ``max_transit_s`` seconds old."""
        now = monotonic()
        for one in reports:
            report = LimitReport(
                one.incarnation, one.rate, one.sent_age_s, one.received_age_s
            )
            with self._servers.lock:
                change = self._servers.rate_limits.record_report(
                    report, max_transit_s=max_transit_s, now=now
                )
            if change is not None:
                _log_change(
                    one.incarnation, change, peer=peer, age_s=one.received_age_s
                )

    def list_reports(self, *, observed_since: float) -> tuple[ServerLimitReport, ...]:
        """Return what this entry's heartbeats report, observed since then."""
        with self._servers.lock:
            found = self._servers.rate_limits.list_reports(
                monotonic(), observed_since=observed_since
            )
        return tuple(ServerLimitReport(*one) for one in found)

    def list_limits(self) -> tuple[tuple[str, float, float], ...]:
        """Return incarnation, limit and own share (requests/s) of limited servers."""
        with self._servers.lock:
            return self._servers.rate_limits.list_limits(monotonic())

    def take_changed(self) -> bool:
        """Return whether an answer changed a limit since the last call."""
        changed, self._has_changed = self._has_changed, False
        return changed

    def may_send(self, reservation: Reservation) -> bool:
        """Return whether the server's limit, if any, allows the send now.

        The limit may have become known after the reservation, or the permit may have
        expired while a connection was opened.
        """
        with self._servers.lock:
            rate = self._servers.rate_limits.get_rate(reservation.incarnation)
        if rate is None:
            return True
        expires_at = reservation.permit_expires_at
        return expires_at is not None and monotonic() < expires_at

    def retain(self, incarnations: Collection[str]) -> None:
        """Drop the limits of servers that have been unlisted for long."""
        with self._servers.lock:
            forgotten = self._servers.rate_limits.retain(incarnations, monotonic())
        for incarnation in forgotten:
            log.info("limit-forgotten", server=incarnation)


def _log_change(
    incarnation: str, change: LimitChange, *, age_s: float, **source: str
) -> None:
    log.info(
        "limit-lifted" if change.rate is None else "limit-named",
        server=incarnation,
        per_s=change.rate,
        before=change.before,
        age_s=round(age_s, 3),
        **source,
    )
