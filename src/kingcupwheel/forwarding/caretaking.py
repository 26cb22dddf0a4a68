"""Calls to the store that nobody waits for: registering, asking again, tidying up."""

from __future__ import annotations

import random
from threading import Event
from threading import Thread
from typing import TYPE_CHECKING

from kingcupwheel.forwarding.following import adopt
from kingcupwheel.forwarding.neighbours import ENTRIES_KIND
from kingcupwheel.platform.configuration import CONFIGURATION_KIND
from kingcupwheel.platform.configuration import CONFIGURATION_NAME
from kingcupwheel.telemetry.json_logs import lines_of


if TYPE_CHECKING:
    from kingcupwheel.forwarding.currency import Currency
    from kingcupwheel.forwarding.neighbours import Neighbours
    from kingcupwheel.messages.membership import EntryInfo
    from kingcupwheel.platform.object_store import ObjectStore

log = lines_of("store")

# Knowledge of the configuration that is older is asked for anew, in seconds. Watches
# and peers keep it younger; a slow store or a connection that went silent do not, and
# what is left until keys are refused is then one slow answer's time.
ASK_AGAIN_S = 2.6
# Each entry asks when its knowledge is this much less old, at most: one that asks tells
# the others with its next heartbeat, so among many few have to.
_ASK_SPREAD_S = 0.9
_LOOK_S = 0.2
# Between two tries to register or to list the entries, in seconds.
_TRY_AGAIN_S = 1.0


class Caretaker:
    """One thread beside the followers of the store."""

    def __init__(
        self, store: ObjectStore, currency: Currency, neighbours: Neighbours
    ) -> None:
        self._store = store
        self._currency = currency
        self._neighbours = neighbours
        self._stopping = Event()
        self._ask_again_s = ASK_AGAIN_S
        self._thread = Thread(target=self._run, name="caretaker", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread, so that it does not register an entry that leaves."""
        self._stopping.set()
        self._thread.join(_TRY_AGAIN_S)

    def _run(self) -> None:
        registered = known = False
        while not self._stopping.is_set():
            registered = registered or self._neighbours.register(self._store)
            known = known or self._know_entries()
            self._ask_again()
            for told in self._neighbours.take_dead():
                self._remove(told)
            done = registered and known
            self._stopping.wait(_LOOK_S if done else _TRY_AGAIN_S)

    def _know_entries(self) -> bool:
        listed = self._store.list_objects(ENTRIES_KIND)
        if listed.is_ok():
            self._neighbours.know(listed.ok.objects)
        return bool(listed.is_ok())

    def _ask_again(self) -> None:
        """Ask the store itself once watches and peers have told nothing for long.

        Failure: the store takes many times its usual time, or a watch's connection has
        gone silent. Symptom: requests with keys are refused though a call would be
        answered in time.
        """
        age_s = self._currency.age_s()
        if self._currency.current is None or age_s < self._ask_again_s:
            return
        self._ask_again_s = ASK_AGAIN_S - random.random() * _ASK_SPREAD_S
        asked_at = self._currency.now()
        found = self._store.read(CONFIGURATION_KIND, CONFIGURATION_NAME)
        if found.is_ok() and found.ok is not None:
            adopt(self._currency, found.ok.body, asked_at, source="store")
            log.info("asked-again", age_s=round(age_s, 2))

    def _remove(self, told: EntryInfo) -> None:
        """Take an entry that is gone for good out of the store."""
        found = self._store.read(ENTRIES_KIND, told.name)
        if found.is_error() or found.ok is None:
            return
        removed = self._store.delete(
            ENTRIES_KIND, told.name, revision=found.ok.revision
        )
        log.info("entry-removed", name=told.name, removed=removed.is_ok())
