"""Tracks the users' list of servers and the current incarnation of each."""

from __future__ import annotations

from time import monotonic
from typing import TYPE_CHECKING

from kingcupwheel.platform.server_entries import SERVERS_KIND
from kingcupwheel.platform.server_entries import decode_server
from kingcupwheel.telemetry.json_logs import lines_of


if TYPE_CHECKING:
    from collections.abc import Callable

    from kingcupwheel.forwarding.backends import Backend
    from kingcupwheel.platform.object_store import ObjectChange
    from kingcupwheel.platform.object_store import StoredObject

log = lines_of("servers")

# Time in which servers that vanished in an outage may register again, in seconds.
REREGISTRATION_GRACE_S = 2.2
# A shorter failure is no outage: no registration expires in so short a time.
_MIN_OUTAGE_S = 1.0


class ServerListHandler:
    """Keeps the list of servers; removals after an outage are delayed."""

    kind = SERVERS_KIND

    def __init__(
        self, on_change: Callable[[tuple[Backend, ...], tuple[Backend, ...]], None]
    ) -> None:
        self._on_change = on_change
        self._by_instance: dict[str, Backend] = {}
        self._missing_since_by_instance: dict[str, float] = {}
        # Servers that say when they started do so in all that they write.
        self._names_with_start: set[str] = set()
        self._replaced: list[Backend] = []
        self._removals_held_until = 0.0

    def on_list(
        self, objects: tuple[StoredObject, ...], requested_at: float, *, outage_s: float
    ) -> None:
        """Handle the complete list."""
        if outage_s > _MIN_OUTAGE_S:
            self._removals_held_until = monotonic() + REREGISTRATION_GRACE_S
        found = {stored.name: stored for stored in objects}
        for name in (*self._by_instance, *self._names_with_start):
            if name not in found:
                self._mark_missing(name)
        for stored in objects:
            self._record(stored)
        self._apply_changes()

    def on_changes(
        self, changes: tuple[ObjectChange, ...], requested_at: float
    ) -> None:
        """Handle added, changed and removed servers."""
        for change in changes:
            if change.is_removed:
                self._mark_missing(change.object.name)
            else:
                self._record(change.object)
        self._apply_changes()

    def _record(self, stored: StoredObject) -> None:
        decoded = decode_server(stored)
        if decoded.is_error():
            self._drop_unreadable(stored, decoded.error)
            return
        found = decoded.ok
        self._missing_since_by_instance.pop(stored.name, None)
        known = self._by_instance.get(stored.name)
        if found.started_at_ms:
            self._names_with_start.add(stored.name)
        elif stored.name in self._names_with_start:
            self._drop_unreadable(stored, "it lacks the start that the server names")
            return
        if known is not None and found.incarnation != known.incarnation:
            if found.started_before(known):
                self._record_former(found, known)
                return
            log.info(
                "server-reborn", server=found.incarnation, before=known.incarnation
            )
            self._replaced.append(known)
        self._by_instance[stored.name] = found

    def _record_former(self, found: Backend, known: Backend) -> None:
        """Handle an entry that seems to be of a former incarnation of ``known``.

        It may be a late write of that one, or the server has started again after its
        clock was set back. If it says that it leaves, nothing more is sent to the
        server in either case: an incarnation that goes on writes its own entry with its
        next heartbeat.
        """
        log.info(
            "former-life-ignored",
            server=found.incarnation,
            known=known.incarnation,
            leaving=found.is_leaving,
        )
        if found.is_leaving:
            self._by_instance[known.instance] = known._replace(is_leaving=True)

    def _drop_unreadable(self, stored: StoredObject, why: str) -> None:
        """Stop sending requests to a server whose registration is unreadable.

        Failure: another writer overwrites the registration of a server. Symptom: what
        the server writes about itself, such as that it leaves, is not seen, and
        requests would still be sent to it. Its requests in progress finish. The server
        writes its registration again with its next heartbeat and is used again then.
        """
        known = self._by_instance.pop(stored.name, None)
        self._missing_since_by_instance.pop(stored.name, None)
        log.warning(
            "server-entry-unreadable",
            name=stored.name,
            revision=stored.revision,
            why=why,
            was_used=known is not None,
        )

    def _mark_missing(self, name: str) -> None:
        self._names_with_start.discard(name)
        if name in self._by_instance:
            self._missing_since_by_instance.setdefault(name, monotonic())

    def _apply_changes(self) -> None:
        """Remove missing servers, unless the store has only just recovered.

        Failure: registrations expire during an outage of the store, and their servers
        write them again up to two seconds after it. Symptom: a whole service has no
        server for that long, although all of them run.
        """
        removed, self._replaced = self._replaced, []
        if monotonic() >= self._removals_held_until:
            for name in tuple(self._missing_since_by_instance):
                del self._missing_since_by_instance[name]
                removed.append(self._by_instance.pop(name))
        for backend in removed:
            log.info("server-gone", server=backend.incarnation, address=backend.address)
        self._on_change(tuple(self._by_instance.values()), tuple(removed))
