"""Background calls to the store: registration, refresh and removal of dead entries."""

from __future__ import annotations

import random
from threading import Event
from threading import Thread
from typing import TYPE_CHECKING

from kingcupwheel.forwarding.entry_membership import ENTRIES_KIND
from kingcupwheel.forwarding.store_watcher import adopt_configuration
from kingcupwheel.platform.configuration import CONFIGURATION_KIND
from kingcupwheel.platform.configuration import CONFIGURATION_NAME
from kingcupwheel.telemetry.json_logs import lines_of


if TYPE_CHECKING:
    from kingcupwheel.forwarding.configuration_cache import ConfigurationCache
    from kingcupwheel.forwarding.entry_membership import EntryMembership
    from kingcupwheel.messages.membership import EntryInfo
    from kingcupwheel.platform.object_store import ObjectStore

log = lines_of("store")

# Age from which the configuration is read from the store again, in seconds. Watches
# and peers usually confirm it earlier, but not when the store is slow or a connection
# has gone silent. The time left until keys are refused covers one slow answer.
CONFIGURATION_REFRESH_AGE_S = 2.6
# Largest random reduction of that age, in seconds. An entry that reads the store
# informs the others with its next heartbeat, so in a large fleet few have to read it.
_REFRESH_AGE_JITTER_S = 0.9
_POLL_INTERVAL_S = 0.2
# Between two attempts to register or to list the entries, in seconds.
_RETRY_INTERVAL_S = 1.0


class StoreMaintainer:
    """Thread that registers this entry, refreshes data and removes dead entries."""

    def __init__(
        self,
        store: ObjectStore,
        configuration_cache: ConfigurationCache,
        membership: EntryMembership,
    ) -> None:
        self._store = store
        self._configuration_cache = configuration_cache
        self._membership = membership
        self._stopping = Event()
        self._refresh_age_s = CONFIGURATION_REFRESH_AGE_S
        self._thread = Thread(target=self._run, name="caretaker", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread, so that it does not register an entry that leaves."""
        self._stopping.set()
        self._thread.join(_RETRY_INTERVAL_S)

    def _run(self) -> None:
        is_registered = has_listed = False
        while not self._stopping.is_set():
            is_registered = is_registered or self._membership.register(self._store)
            has_listed = has_listed or self._load_entries()
            self._refresh_configuration()
            for entry in self._membership.take_expired():
                self._remove_expired(entry)
            done = is_registered and has_listed
            self._stopping.wait(_POLL_INTERVAL_S if done else _RETRY_INTERVAL_S)

    def _load_entries(self) -> bool:
        listed = self._store.list_objects(ENTRIES_KIND)
        if listed.is_ok():
            self._membership.add_stored(listed.ok.objects)
        return bool(listed.is_ok())

    def _refresh_configuration(self) -> None:
        """Read the store if neither a watch nor a peer has confirmed the version.

        Failure: the store takes many times its usual time, or a watch's connection has
        gone silent. Symptom: requests with keys are refused although a read would be
        answered in time.
        """
        age_s = self._configuration_cache.age_s()
        if self._configuration_cache.current is None or age_s < self._refresh_age_s:
            return
        self._refresh_age_s = (
            CONFIGURATION_REFRESH_AGE_S - random.random() * _REFRESH_AGE_JITTER_S
        )
        requested_at = self._configuration_cache.now()
        found = self._store.read(CONFIGURATION_KIND, CONFIGURATION_NAME)
        if found.is_ok() and found.ok is not None:
            adopt_configuration(
                self._configuration_cache, found.ok.body, requested_at, source="store"
            )
            log.info("asked-again", age_s=round(age_s, 2))

    def _remove_expired(self, entry: EntryInfo) -> None:
        """Delete an expired entry from the store."""
        found = self._store.read(ENTRIES_KIND, entry.name)
        if found.is_error() or found.ok is None:
            return
        removed = self._store.delete(
            ENTRIES_KIND, entry.name, revision=found.ok.revision
        )
        log.info("entry-removed", name=entry.name, removed=removed.is_ok())
