"""Calls to the store that nobody waits for: registering, asking again, tidying up."""

from __future__ import annotations

import random
from threading import Event
from threading import Thread
from typing import TYPE_CHECKING

from kingcupwheel.forwarding.entrymembership import ENTRIES_KIND
from kingcupwheel.forwarding.storewatch import adopt_configuration
from kingcupwheel.platform.configuration import CONFIGURATION_KIND
from kingcupwheel.platform.configuration import CONFIGURATION_NAME
from kingcupwheel.telemetry.json_logs import lines_of


if TYPE_CHECKING:
    from kingcupwheel.forwarding.configurationcache import ConfigurationCache
    from kingcupwheel.forwarding.entrymembership import EntryMembership
    from kingcupwheel.messages.membership import EntryInfo
    from kingcupwheel.platform.object_store import ObjectStore

log = lines_of("store")

# Knowledge of the configuration that is older is asked for anew, in seconds. Watches
# and peers keep it younger; a slow store or a connection that went silent do not, and
# what is left until keys are refused is then one slow answer's time.
CONFIGURATION_REFRESH_AGE_S = 2.6
# Each entry asks when its knowledge is this much less old, at most: one that asks tells
# the others with its next heartbeat, so among many few have to.
_REFRESH_AGE_JITTER_S = 0.9
_POLL_INTERVAL_S = 0.2
# Between two tries to register or to list the entries, in seconds.
_RETRY_INTERVAL_S = 1.0


class StoreMaintainer:
    """One thread beside the followers of the store."""

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
        """End the thread, so that it does not register an entry that leaves."""
        self._stopping.set()
        self._thread.join(_RETRY_INTERVAL_S)

    def _run(self) -> None:
        registered = known = False
        while not self._stopping.is_set():
            registered = registered or self._membership.register(self._store)
            known = known or self._load_entries()
            self._refresh_configuration()
            for told in self._membership.take_expired():
                self._remove_expired(told)
            done = registered and known
            self._stopping.wait(_POLL_INTERVAL_S if done else _RETRY_INTERVAL_S)

    def _load_entries(self) -> bool:
        listed = self._store.list_objects(ENTRIES_KIND)
        if listed.is_ok():
            self._membership.add_stored(listed.ok.objects)
        return bool(listed.is_ok())

    def _refresh_configuration(self) -> None:
        """Ask the store itself once watches and peers have told nothing for long.

        Failure: the store takes many times its usual time, or a watch's connection has
        gone silent. Symptom: requests with keys are refused though a call would be
        answered in time.
        """
        age_s = self._configuration_cache.age_s()
        if self._configuration_cache.current is None or age_s < self._refresh_age_s:
            return
        self._refresh_age_s = (
            CONFIGURATION_REFRESH_AGE_S - random.random() * _REFRESH_AGE_JITTER_S
        )
        asked_at = self._configuration_cache.now()
        found = self._store.read(CONFIGURATION_KIND, CONFIGURATION_NAME)
        if found.is_ok() and found.ok is not None:
            adopt_configuration(
                self._configuration_cache, found.ok.body, asked_at, source="store"
            )
            log.info("asked-again", age_s=round(age_s, 2))

    def _remove_expired(self, told: EntryInfo) -> None:
        """Take an entry that is gone for good out of the store."""
        found = self._store.read(ENTRIES_KIND, told.name)
        if found.is_error() or found.ok is None:
            return
        removed = self._store.delete(
            ENTRIES_KIND, told.name, revision=found.ok.revision
        )
        log.info("entry-removed", name=told.name, removed=removed.is_ok())
