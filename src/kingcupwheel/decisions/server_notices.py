"""Backoff and leaving notices that servers send, by server incarnation.

A server that requests a backoff runs nothing and therefore looks idle. Without these
notices it would attract requests and reject them, and their callers would wait for a
retry or be refused. A server may also announce that it leaves before the instance list
shows it; requests sent to it in between would be cut when it stops.
"""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

# A server that names a longer backoff by mistake gets requests again after this time,
# and repeats its notice if it meant it.
MAX_BACKOFF_S = 120.0
# How long an incarnation that is not listed is kept: an instance entry that was
# overwritten or has expired comes back with the same incarnation.
ABSENT_RETENTION_S = 60.0
# Bounds memory.
MAX_INCARNATIONS = 4096


class _Notice:
    """Notices of one incarnation; ``absent_at`` is when it was first found unlisted."""

    __slots__ = ("absent_at", "backoff_until", "is_leaving")

    def __init__(self) -> None:
        self.is_leaving = False
        self.backoff_until: float | None = None
        self.absent_at: float | None = None


class ServerNotices:
    """Notices of servers by incarnation; not thread-safe, times are monotonic."""

    def __init__(self) -> None:
        self._notice_by_incarnation: dict[str, _Notice] = {}

    def __len__(self) -> int:
        return len(self._notice_by_incarnation)

    def record_backoff(self, incarnation: str, duration_s: float, now: float) -> bool:
        """Record a requested backoff; return whether it extends the known one.

        Responses may arrive out of order, so a shorter backoff never replaces a longer.
        """
        until = now + min(duration_s, MAX_BACKOFF_S)
        known_until = self.backoff_until(incarnation)
        if until <= now or (known_until is not None and until <= known_until):
            return False
        self._get_or_create(incarnation).backoff_until = until
        return True

    def record_leaving(self, incarnation: str) -> bool:
        """Record that a server is leaving; return whether this was unknown."""
        notice = self._get_or_create(incarnation)
        is_new = not notice.is_leaving
        notice.is_leaving = True
        return is_new

    def is_leaving(self, incarnation: str) -> bool:
        """Return whether the server has announced that it leaves."""
        notice = self._notice_by_incarnation.get(incarnation)
        return notice is not None and notice.is_leaving

    def backoff_until(self, incarnation: str) -> float | None:
        """Return when its backoff ends or has ended, None without a backoff."""
        notice = self._notice_by_incarnation.get(incarnation)
        return None if notice is None else notice.backoff_until

    def is_backing_off(self, incarnation: str, now: float) -> bool:
        """Return whether its backoff is still in effect."""
        until = self.backoff_until(incarnation)
        return until is not None and now < until

    def accepts_requests(self, incarnation: str, now: float) -> bool:
        """Return whether requests may be sent to it now."""
        return not self.is_leaving(incarnation) and not self.is_backing_off(
            incarnation, now
        )

    def take_ended_backoffs(self, now: float) -> tuple[str, ...]:
        """Return the incarnations whose backoff has ended, each only once."""
        ended = tuple(
            incarnation
            for incarnation, notice in self._notice_by_incarnation.items()
            if notice.backoff_until is not None and notice.backoff_until <= now
        )
        for incarnation in ended:
            if self._notice_by_incarnation[incarnation].is_leaving:
                self._notice_by_incarnation[incarnation].backoff_until = None
            else:
                del self._notice_by_incarnation[incarnation]
        return ended

    def retain(self, incarnations: Collection[str], now: float) -> tuple[str, ...]:
        """Drop incarnations unlisted for ``ABSENT_RETENTION_S``; return them."""
        for incarnation, notice in self._notice_by_incarnation.items():
            if incarnation in incarnations:
                notice.absent_at = None
            elif notice.absent_at is None:
                notice.absent_at = now
        return self._remove(
            incarnation
            for incarnation, notice in self._notice_by_incarnation.items()
            if notice.absent_at is not None
            and now - notice.absent_at >= ABSENT_RETENTION_S
        )

    def _remove(self, incarnations: Iterable[str]) -> tuple[str, ...]:
        removed = tuple(incarnations)
        for incarnation in removed:
            del self._notice_by_incarnation[incarnation]
        return removed

    def _get_or_create(self, incarnation: str) -> _Notice:
        notice = self._notice_by_incarnation.get(incarnation)
        if notice is None:
            if len(self._notice_by_incarnation) >= MAX_INCARNATIONS:
                # Evicts the incarnation that was recorded first.
                del self._notice_by_incarnation[next(iter(self._notice_by_incarnation))]
            notice = self._notice_by_incarnation[incarnation] = _Notice()
        return notice
