"""Thread that writes a process's trace events to the platform."""

from __future__ import annotations

import logging
import random
import secrets
import time
from threading import Event
from threading import Thread
from typing import TYPE_CHECKING

from kingcupwheel.metrics.metric_names import CounterName
from kingcupwheel.metrics.metric_names import GaugeName
from kingcupwheel.platform.errors import Conflict
from kingcupwheel.platform.errors import RateLimited
from kingcupwheel.platform.errors import Rejected
from kingcupwheel.platform.errors import Unavailable
from kingcupwheel.trace.batch_sweeper import BatchSweeper
from kingcupwheel.trace.batches import MAX_BATCH_PERIOD_S
from kingcupwheel.trace.outbox import DeleteBatch
from kingcupwheel.trace.outbox import Outbox
from kingcupwheel.trace.outbox import WriteBatch


if TYPE_CHECKING:
    from collections.abc import Callable

    from kingcupwheel.metrics.statsd_client import MetricsClient
    from kingcupwheel.platform.client import PlatformClient
    from kingcupwheel.trace.recorder import TraceRecorder

logger = logging.getLogger("kingcupwheel.trace")

_INCARNATION_BYTES = 4
_POLL_INTERVAL_S = 0.5
# Expired batches that their writers no longer know wait this long for deletion. With
# 1,370 processes a sweep of about five calls then runs every 16 s.
_SWEEP_INTERVAL_S = 6 * 3600.0
_MAX_FIRST_SWEEP_DELAY_S = 1800.0
# A graceful stop must not hang while the platform is down. Events not written by then
# are lost; timelines report the missing batch.
_FLUSH_TIMEOUT_S = 3.0


class BatchShipper:
    """Writes batches and deletes expired ones; ``retention_s`` is called each time.

    While the platform is down, events wait within the bounds of ``Outbox``.
    """

    def __init__(
        self,
        recorder: TraceRecorder,
        client: PlatformClient,
        *,
        period_s: float,
        retention_s: Callable[[], float],
        metrics: MetricsClient | None = None,
    ) -> None:
        self._recorder = recorder
        self._client = client
        self._retention_s = retention_s
        self._metrics = metrics
        self._outbox = Outbox(
            recorder.process,
            incarnation=secrets.token_hex(_INCARNATION_BYTES),
            period_s=min(period_s, MAX_BATCH_PERIOD_S),
            now=time.monotonic(),
        )
        self._stop_requested = Event()
        self._sweeper = BatchSweeper(client, recorder.process)
        self._is_marked = False
        # Processes that start together, as after an outage, sweep at different times.
        self._next_sweep_at = time.monotonic() + random.uniform(
            0, _MAX_FIRST_SWEEP_DELAY_S
        )
        self._thread = Thread(target=self._run, name="trace-batches", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread and write pending events, within ``_FLUSH_TIMEOUT_S``."""
        self._stop_requested.set()
        if self._thread.is_alive():
            self._thread.join()
        self._flush()

    def _run(self) -> None:
        while not self._stop_requested.wait(_POLL_INTERVAL_S):
            try:
                self._run_once()
            except Exception:
                logger.exception("Writing or deleting a trace batch failed.")

    def _run_once(self) -> None:
        self._collect_events()
        now = time.monotonic()
        call = self._outbox.plan_call(
            now=now, time_s=time.time(), retention_s=self._retention_s()
        )
        match call:
            case WriteBatch():
                self._write_batch(call)
            case DeleteBatch():
                self._delete_batch(call)
            case None:
                self._sweep_if_due(now)

    def _write_batch(self, call: WriteBatch) -> bool:
        # Comes before the first batch: batches of a process without a marker would
        # never be swept. A failed marker counts as the failed call, so that there is
        # only one call at a time during an outage.
        self._is_marked = self._is_marked or self._sweeper.create_marker()
        if not self._is_marked:
            self._outbox.postpone_call(now=time.monotonic())
            return False
        result = self._client.create(call.key, call.value)
        now = time.monotonic()
        if result.is_ok():
            self._outbox.confirm_write(version=result.ok, now=now)
            return True
        match result.error:
            # The key contains a random incarnation, so an existing object was written
            # by this process and its confirmation was lost.
            case Conflict(_, version):
                self._outbox.confirm_write(version=version, now=now)
                return True
            case RateLimited(retry_after_s):
                self._outbox.postpone_call(now=now, min_delay_s=retry_after_s)
            case Unavailable(detail):
                logger.warning(
                    "Could not write batch %s; retrying: %s.", call.key, detail
                )
                self._outbox.postpone_call(now=now)
            case Rejected(_, detail):
                logger.error("Platform rejected batch %s: %s.", call.key, detail)
                self._outbox.drop_rejected(detail, now=now)
        return False

    def _delete_batch(self, call: DeleteBatch) -> None:
        result = self._client.delete(call.key, version=call.version)
        now = time.monotonic()
        match result.error if result.is_error() else None:
            # The versions of earlier incarnations' batches are unknown; the conflict
            # contains the current one, 0 if the batch is already deleted.
            case Conflict(_, version) if version:
                self._outbox.set_found_version(version=version, now=now)
            case None | Conflict():
                self._outbox.confirm_deletion(now=now)
            case RateLimited(retry_after_s):
                self._outbox.postpone_call(now=now, min_delay_s=retry_after_s)
            case Unavailable() | Rejected():
                self._outbox.postpone_call(now=now)

    def _sweep_if_due(self, now: float) -> None:
        if now < self._next_sweep_at:
            return
        self._outbox.schedule_deletions(self._sweeper.find_batches())
        self._next_sweep_at = now + _SWEEP_INTERVAL_S * random.uniform(0.8, 1.2)

    def _collect_events(self) -> None:
        lost_count = self._outbox.add_events(self._recorder.drain())
        if self._metrics is not None:
            self._metrics.set_gauge(
                GaugeName.TRACE_BYTES_WAITING, self._outbox.pending_bytes
            )
            if lost_count:
                self._metrics.increment(
                    CounterName.TRACE_EVENTS_LOST, amount=lost_count
                )

    def _flush(self) -> None:
        self._collect_events()
        end = time.monotonic() + _FLUSH_TIMEOUT_S
        while time.monotonic() < end and (call := self._outbox.plan_flush()):
            if not self._write_batch(call):
                return
