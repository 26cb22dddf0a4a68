"""The thread that brings a process's trace events to the platform."""

from __future__ import annotations

import logging
import secrets
import time
from threading import Event
from threading import Thread
from typing import TYPE_CHECKING

from kingcupwheel.platform.errors import Conflict
from kingcupwheel.platform.errors import RateLimited
from kingcupwheel.platform.errors import Rejected
from kingcupwheel.platform.errors import Unavailable
from kingcupwheel.trace.batches import MAX_PERIOD_S
from kingcupwheel.trace.batches import PREFIX
from kingcupwheel.trace.batches import parse_key
from kingcupwheel.trace.outbox import DeleteBatch
from kingcupwheel.trace.outbox import Outbox
from kingcupwheel.trace.outbox import WriteBatch


if TYPE_CHECKING:
    from collections.abc import Callable

    from kingcupwheel.platform.client import PlatformClient
    from kingcupwheel.trace.recorder import Recorder

logger = logging.getLogger("kingcupwheel.trace")

_LIFE_BYTES = 4
_TICK_S = 0.5
# A graceful stop must not hang on a platform that is down: what is not written by then
# is left to the story, which says that the batch is missing.
_STOP_S = 3.0


class BatchShipper:
    """Writes batches, deletes expired ones; ``retention_s`` is asked each time.

    A platform that is down costs nothing but waiting; see ``Outbox`` for the bounds.
    """

    def __init__(
        self,
        recorder: Recorder,
        client: PlatformClient,
        *,
        period_s: float,
        retention_s: Callable[[], float],
    ) -> None:
        self._recorder = recorder
        self._client = client
        self._retention_s = retention_s
        self._outbox = Outbox(
            recorder.process,
            life=secrets.token_hex(_LIFE_BYTES),
            period_s=min(period_s, MAX_PERIOD_S),
            now=time.monotonic(),
        )
        self._stopping = Event()
        self._adopted = False
        self._thread = Thread(target=self._run, name="trace-batches", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Write what waits, within a few seconds, and end the thread."""
        self._stopping.set()
        if self._thread.is_alive():
            self._thread.join()
        self._flush()

    def _run(self) -> None:
        while not self._stopping.wait(_TICK_S):
            try:
                self._turn()
            except Exception:
                logger.exception("Batch failed.")

    def _turn(self) -> None:
        self._outbox.add(self._recorder.drain())
        now = time.monotonic()
        call = self._outbox.call(
            now=now, at=time.time(), retention_s=self._retention_s()
        )
        match call:
            case WriteBatch():
                self._write(call)
            case DeleteBatch():
                self._delete(call)
            case None:
                self._adopt(now)

    def _write(self, call: WriteBatch) -> bool:
        result = self._client.create(call.key, call.value)
        now = time.monotonic()
        if result.is_ok():
            self._outbox.written(version=result.ok, now=now)
            return True
        match result.error:
            # The key holds a random life, so that an object found there is ours: the
            # write took effect and its confirmation was lost.
            case Conflict(_, version):
                self._outbox.written(version=version, now=now)
                return True
            case RateLimited(retry_after_s):
                self._outbox.failed(now=now, wait_s=retry_after_s)
            case Unavailable(detail):
                logger.warning("Batch %s waits: %s.", call.key, detail)
                self._outbox.failed(now=now)
            case Rejected(_, detail):
                logger.error("Batch %s was refused: %s.", call.key, detail)
                self._outbox.rejected(detail, now=now)
        return False

    def _delete(self, call: DeleteBatch) -> None:
        result = self._client.delete(call.key, version=call.version)
        now = time.monotonic()
        match result.error if result.is_error() else None:
            # The versions of earlier lives' batches are not known; the refusal names
            # the one found, 0 if the batch is gone.
            case Conflict(_, version) if version:
                self._outbox.found(version=version, now=now)
            case None | Conflict():
                self._outbox.deleted(now=now)
            case RateLimited(retry_after_s):
                self._outbox.failed(now=now, wait_s=retry_after_s)
            case Unavailable() | Rejected():
                self._outbox.failed(now=now)

    def _adopt(self, now: float) -> None:
        if self._adopted or now < self._outbox.next_call:
            return
        listed = self._client.keys(f"{PREFIX}{self._recorder.process}/")
        if listed.is_error():
            self._outbox.failed(now=now)
            return
        names = tuple(name for key in listed.ok if (name := parse_key(key)))
        self._outbox.remember(tuple(sorted(names, key=lambda name: name.since)))
        self._adopted = True

    def _flush(self) -> None:
        self._outbox.add(self._recorder.drain())
        end = time.monotonic() + _STOP_S
        while time.monotonic() < end and (call := self._outbox.flush()):
            if not self._write(call):
                return
