"""Bounded queue of accepted attempts that wait for server capacity."""

from __future__ import annotations

from bisect import insort
from itertools import count
from typing import TYPE_CHECKING
from typing import NamedTuple

from kingcupwheel.agent.attempts import get_attempt_key


if TYPE_CHECKING:
    from kingcupwheel.agent.attempts import AttemptKey
    from kingcupwheel.messages.attempts import Dispatch


class _QueueEntry(NamedTuple):
    """Queue entry that sorts by priority (highest first), then by arrival."""

    negated_priority: int
    arrival: int
    expires_at: float | None
    dispatch: Dispatch


class AttemptQueue:
    """Priority queue of at most ``limit`` attempts; equal priorities go by arrival.

    Low priorities may starve here until their deadline. The effect is small: the queue
    holds a few attempts, and the entry's queue ensures fairness between organisations.
    """

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._entries: list[_QueueEntry] = []
        self._arrivals = count()

    def __contains__(self, key: object) -> bool:
        return any(get_attempt_key(entry.dispatch) == key for entry in self._entries)

    @property
    def is_full(self) -> bool:
        """Whether the queue has reached its limit."""
        return len(self._entries) >= self._limit

    @property
    def dispatches(self) -> tuple[Dispatch, ...]:
        """The queued dispatches, next one first."""
        return tuple(entry.dispatch for entry in self._entries)

    def push(self, dispatch: Dispatch, *, now: float) -> int:
        """Add the dispatch; return the number of dispatches ahead of it."""
        deadline_s = dispatch.deadline_s
        expires_at = None if deadline_s is None else now + deadline_s
        entry = _QueueEntry(
            -dispatch.priority, next(self._arrivals), expires_at, dispatch
        )
        insort(self._entries, entry)
        return self._entries.index(entry)

    def pop(self) -> Dispatch | None:
        """Remove and return the next dispatch, or None."""
        return self._entries.pop(0).dispatch if self._entries else None

    def remove(self, key: AttemptKey) -> Dispatch | None:
        """Remove and return the attempt's dispatch, or None."""
        for position, entry in enumerate(self._entries):
            if get_attempt_key(entry.dispatch) == key:
                return self._entries.pop(position).dispatch
        return None

    def expire(self, *, now: float) -> list[Dispatch]:
        """Remove and return the dispatches past their deadline."""
        expired = [entry for entry in self._entries if _is_expired(entry, now)]
        self._entries = [
            entry for entry in self._entries if not _is_expired(entry, now)
        ]
        return [entry.dispatch for entry in expired]

    def clear(self) -> list[Dispatch]:
        """Remove and return all dispatches."""
        dispatches = [entry.dispatch for entry in self._entries]
        self._entries.clear()
        return dispatches


def _is_expired(entry: _QueueEntry, now: float) -> bool:
    return entry.expires_at is not None and now >= entry.expires_at
