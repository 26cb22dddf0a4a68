"""Registry of the links to entries and their liveness."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from kingcupwheel.link.links import Link


class _EntryLink(NamedTuple):
    entry_name: str
    last_received_at: float
    last_hello_at: float | None


class EntryLinks:
    """Entry names and times of the last messages by link.

    An entry that replaces a link sends its name on the new one. A Hello requests
    heartbeats for ``hello_ttl_s``; a link is dropped after ``silence_timeout_s``
    without a message.
    """

    def __init__(self, *, hello_ttl_s: float, silence_timeout_s: float) -> None:
        self._hello_ttl_s = hello_ttl_s
        self._silence_timeout_s = silence_timeout_s
        self._by_link: dict[Link, _EntryLink] = {}
        self._last_check_at: float | None = None

    def record_message(self, link: Link, *, now: float) -> None:
        """Record that a message arrived on the link."""
        entry_link = self._by_link.get(link)
        if entry_link is None:
            self._by_link[link] = _EntryLink("", now, None)
        else:
            self._by_link[link] = entry_link._replace(last_received_at=now)

    def record_hello(self, link: Link, entry_name: str, *, now: float) -> None:
        """Record a Hello that arrived on the link."""
        self._by_link[link] = _EntryLink(entry_name, now, now)

    def list_heartbeat_links(self, *, now: float) -> list[Link]:
        """Return the links that requested heartbeats; safe from any thread."""
        return [
            link
            for link, entry_link in tuple(self._by_link.items())
            if entry_link.last_hello_at is not None
            and now - entry_link.last_hello_at <= self._hello_ttl_s
        ]

    def list_older_links(self, link: Link) -> list[Link]:
        """Return the other links of the entry whose name arrived on ``link``."""
        entry_link = self._by_link.get(link)
        if entry_link is None or not entry_link.entry_name:
            return []
        return [
            other
            for other, other_entry_link in self._by_link.items()
            if other != link and other_entry_link.entry_name == entry_link.entry_name
        ]

    def remove_silent_links(self, *, now: float) -> list[Link]:
        """Remove and return the links that were silent for too long.

        Called about every heartbeat. If this process itself was paused, every link
        seems silent although its messages only wait to be read. The pause is added to
        the time of each last message; otherwise the agent would resume and cancel all
        attempts, whose callers are still connected.
        """
        self._discount_own_pause(now)
        silent = [
            link
            for link, entry_link in self._by_link.items()
            if now - entry_link.last_received_at > self._silence_timeout_s
        ]
        for link in silent:
            del self._by_link[link]
        return silent

    def _discount_own_pause(self, now: float) -> None:
        last, self._last_check_at = self._last_check_at, now
        if last is None or now - last <= self._hello_ttl_s:
            return
        for link, entry_link in self._by_link.items():
            received_at = entry_link.last_received_at + (now - last)
            self._by_link[link] = entry_link._replace(
                last_received_at=min(now, received_at)
            )
