"""Follows the users' list of servers: which are there, and which life of each."""

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

# How long entries that vanished while the store was away may take to come back.
REREGISTRATION_GRACE_S = 2.2
# A store that failed for less was not away: no entry lapses in so short a time.
_MIN_OUTAGE_S = 1.0


class ServerListHandler:
    """Keeps the list of servers; what vanishes in an outage may take a while back."""

    kind = SERVERS_KIND

    def __init__(
        self, on_change: Callable[[tuple[Backend, ...], tuple[Backend, ...]], None]
    ) -> None:
        self._on_change = on_change
        self._by_instance: dict[str, Backend] = {}
        self._missing_since_by_instance: dict[str, float] = {}
        self._replaced: list[Backend] = []
        self._removals_held_until = 0.0

    def on_list(
        self, objects: tuple[StoredObject, ...], asked_at: float, *, away_s: float
    ) -> None:
        """Take in the whole list."""
        if away_s > _MIN_OUTAGE_S:
            self._removals_held_until = monotonic() + REREGISTRATION_GRACE_S
        found = {stored.name: stored for stored in objects}
        for name in tuple(self._by_instance):
            if name not in found:
                self._mark_missing(name)
        for stored in objects:
            self._record(stored)
        self._apply_changes()

    def on_changes(self, changes: tuple[ObjectChange, ...], asked_at: float) -> None:
        """Take in what changed."""
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
        if known is not None and found.life != known.life:
            if found.is_before(known):
                log.info("former-life-ignored", server=found.life, known=known.life)
                return
            log.info("server-reborn", server=found.life, before=known.life)
            self._replaced.append(known)
        self._by_instance[stored.name] = found

    def _drop_unreadable(self, stored: StoredObject, why: str) -> None:
        """Send nothing new to a server whose entry has been overwritten.

        Failure: another writer puts something else under a server's name. Symptom: what
        the server writes of itself, such as that it leaves, is not seen, and requests
        would go on reaching it. What it runs is finished; it writes its own entry anew
        with its next heartbeat and is used again then.
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
        if name in self._by_instance:
            self._missing_since_by_instance.setdefault(name, monotonic())

    def _apply_changes(self) -> None:
        """Believe what is missing, unless the store has only just come back.

        Failure: entries lapse while the store is away, and are written anew by their
        servers up to two seconds after its return. Symptom: a whole service has no
        server for that long, though all of them run.
        """
        gone, self._replaced = self._replaced, []
        if monotonic() >= self._removals_held_until:
            for name in tuple(self._missing_since_by_instance):
                del self._missing_since_by_instance[name]
                gone.append(self._by_instance.pop(name))
        for backend in gone:
            log.info("server-gone", server=backend.life, address=backend.address)
        self._on_change(tuple(self._by_instance.values()), tuple(gone))
