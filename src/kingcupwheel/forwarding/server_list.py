"""Tracks the users' list of servers and the current incarnation of each."""

from __future__ import annotations

from threading import RLock
from time import monotonic
from typing import TYPE_CHECKING

from kingcupwheel.decisions.lapsed_servers import find_possibly_lapsed
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
    """Keeps the list of servers; removals after an outage are delayed; thread-safe.

    ``on_tick`` ends a delay in time, whatever the store does.
    """

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
        # Servers that may have lapsed although no outage is certain.
        self._held_until_by_instance: dict[str, float] = {}
        self._lock = RLock()

    def on_list(
        self,
        objects: tuple[StoredObject, ...],
        requested_at: float,
        *,
        outage_s: float,
        is_outage_certain: bool,
    ) -> None:
        """Handle the complete list."""
        held_until = monotonic() + REREGISTRATION_GRACE_S
        with self._lock:
            if outage_s > _MIN_OUTAGE_S and is_outage_certain:
                self._removals_held_until = held_until
            found = {stored.name: stored for stored in objects}
            for name in (*self._by_instance, *self._names_with_start):
                if name not in found:
                    self._mark_missing(name)
            if outage_s > _MIN_OUTAGE_S:
                self._log_missing(outage_s, is_outage_certain=is_outage_certain)
                if not is_outage_certain:
                    self._hold_possibly_lapsed(held_until)
            for stored in objects:
                self._record(stored)
            self._apply_changes()

    def on_tick(self) -> None:
        """Remove the servers whose delay is over; call it several times a second."""
        # Without the lock: most of the time there is none.
        if self._missing_since_by_instance:
            with self._lock:
                if self._find_due():
                    self._apply_changes()

    def on_changes(
        self, changes: tuple[ObjectChange, ...], requested_at: float
    ) -> None:
        """Handle added, changed and removed servers."""
        with self._lock:
            for change in changes:
                if change.is_removed:
                    self._mark_missing(change.object.name)
                else:
                    self._record(change.object)
            self._apply_changes()

    def _log_missing(self, outage_s: float, *, is_outage_certain: bool) -> None:
        if self._missing_since_by_instance:
            log.info(
                "servers-missing",
                servers=sorted(self._missing_since_by_instance),
                outage_s=round(outage_s, 2),
                is_outage_certain=is_outage_certain,
            )

    def _hold_possibly_lapsed(self, held_until: float) -> None:
        services = {name: one.service for name, one in self._by_instance.items()}
        for name in find_possibly_lapsed(services, self._missing_since_by_instance):
            self._held_until_by_instance.setdefault(name, held_until)

    def _record(self, stored: StoredObject) -> None:
        decoded = decode_server(stored)
        if decoded.is_error():
            self._drop_unreadable(stored, decoded.error)
            return
        found = decoded.ok
        self._forget_missing(stored.name)
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
        self._forget_missing(stored.name)
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

    def _forget_missing(self, name: str) -> None:
        self._missing_since_by_instance.pop(name, None)
        self._held_until_by_instance.pop(name, None)

    def _find_due(self) -> tuple[str, ...]:
        """Return the missing servers that are not kept any longer."""
        now = monotonic()
        if now < self._removals_held_until:
            return ()
        return tuple(
            name
            for name in self._missing_since_by_instance
            if now >= self._held_until_by_instance.get(name, 0.0)
        )

    def _apply_changes(self) -> None:
        """Remove missing servers, unless the store has only just recovered.

        Failure: registrations expire during an outage of the store, and their servers
        write them again up to two seconds after it. Symptom: a whole service has no
        server for that long, although all of them run.
        """
        removed, self._replaced = self._replaced, []
        for name in self._find_due():
            self._forget_missing(name)
            removed.append(self._by_instance.pop(name))
        for backend in removed:
            log.info("server-gone", server=backend.incarnation, address=backend.address)
        self._on_change(tuple(self._by_instance.values()), tuple(removed))
