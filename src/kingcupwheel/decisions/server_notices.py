"""What servers said of themselves, by the life of a server that said it. Pure.

Failure: a server asks for rest, and looks idle because nothing runs there. Symptom: it
draws the requests that it wanted to be spared, turns them away, and their callers wait
for another send or are refused. Failure: a server says that it leaves before the list
does. Symptom: requests reach it that are cut when it goes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

# The longest rest that is kept, in seconds. A server that names a longer one by mistake
# is asked again after it, and asks for rest again if it meant it.
MAX_BACKOFF_S = 120.0
# A life that is off the list is remembered for so long, in seconds: an entry that was
# overwritten or has lapsed comes back with the same life.
ABSENT_RETENTION_S = 60.0
# Lives remembered at most; a bound for memory only.
MAX_INCARNATIONS = 4096


class _Notice:
    """What one life said; ``absent_at`` is since when it is off the list."""

    __slots__ = ("absent_at", "is_leaving", "backoff_until")

    def __init__(self) -> None:
        self.is_leaving = False
        self.backoff_until: float | None = None
        self.absent_at: float | None = None


class ServerNotices:
    """Keeps what servers asked for; guarded by its owner, times are monotonic."""

    def __init__(self) -> None:
        self._notice_by_incarnation: dict[str, _Notice] = {}

    def __len__(self) -> int:
        return len(self._notice_by_incarnation)

    def record_backoff(self, incarnation: str, duration_s: float, now: float) -> bool:
        """Note that a server asks for rest; return whether that is news.

        A shorter wish does not end an earlier one: answers overtake each other.
        """
        until = now + min(duration_s, MAX_BACKOFF_S)
        known = self.backoff_until(incarnation)
        if until <= now or (known is not None and until <= known):
            return False
        self._get_or_create(incarnation).backoff_until = until
        return True

    def record_leaving(self, incarnation: str) -> bool:
        """Note that a server says that it leaves; return whether that is news."""
        told = self._get_or_create(incarnation)
        is_news = not told.is_leaving
        told.is_leaving = True
        return is_news

    def is_leaving(self, incarnation: str) -> bool:
        """Return whether it said that it leaves, which holds until it is gone."""
        told = self._notice_by_incarnation.get(incarnation)
        return told is not None and told.is_leaving

    def backoff_until(self, incarnation: str) -> float | None:
        """Return when the rest it asked for ends or has ended, None without one."""
        told = self._notice_by_incarnation.get(incarnation)
        return None if told is None else told.backoff_until

    def is_backing_off(self, incarnation: str, now: float) -> bool:
        """Return whether it is to get nothing now for its rest's sake."""
        until = self.backoff_until(incarnation)
        return until is not None and now < until

    def accepts_requests(self, incarnation: str, now: float) -> bool:
        """Return whether a request may be sent to it now."""
        return not self.is_leaving(incarnation) and not self.is_backing_off(
            incarnation, now
        )

    def take_ended_backoffs(self, now: float) -> tuple[str, ...]:
        """Return, once, the lives whose rest is over."""
        found = tuple(
            life
            for life, told in self._notice_by_incarnation.items()
            if told.backoff_until is not None and told.backoff_until <= now
        )
        for life in found:
            if self._notice_by_incarnation[life].is_leaving:
                self._notice_by_incarnation[life].backoff_until = None
            else:
                del self._notice_by_incarnation[life]
        return found

    def retain(self, incarnations: Collection[str], now: float) -> tuple[str, ...]:
        """Forget lives that have been off the list for long; return them."""
        for life, told in self._notice_by_incarnation.items():
            if life in incarnations:
                told.absent_at = None
            elif told.absent_at is None:
                told.absent_at = now
        return self._remove(
            life
            for life, told in self._notice_by_incarnation.items()
            if told.absent_at is not None and now - told.absent_at >= ABSENT_RETENTION_S
        )

    def _remove(self, incarnations: Iterable[str]) -> tuple[str, ...]:
        found = tuple(incarnations)
        for life in found:
            del self._notice_by_incarnation[life]
        return found

    def _get_or_create(self, incarnation: str) -> _Notice:
        found = self._notice_by_incarnation.get(incarnation)
        if found is None:
            if len(self._notice_by_incarnation) >= MAX_INCARNATIONS:
                # The one that said something first.
                del self._notice_by_incarnation[next(iter(self._notice_by_incarnation))]
            found = self._notice_by_incarnation[incarnation] = _Notice()
        return found
