"""Telemetry of an entry: traces, service level counts and metrics."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from kingcupwheel.burn.burn_counter import BurnCounter
from kingcupwheel.burn.goals import BurnGoals
from kingcupwheel.entry.outcome_counter import OutcomeCounter
from kingcupwheel.manifest.schema import Goals
from kingcupwheel.metrics.trace_event_metrics import TraceEventMetrics
from kingcupwheel.trace.batch_shipper import BatchShipper
from kingcupwheel.trace.events import ManifestChanged
from kingcupwheel.trace.recorder import TraceRecorder


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from kingcupwheel.manifest.compiled_manifest import CompiledManifest
    from kingcupwheel.metrics.statsd_client import MetricsClient
    from kingcupwheel.platform.client import PlatformClient
    from kingcupwheel.settings.schema import Settings


class EntryTelemetry:
    """Recorder, counters and trace shipper of one entry.

    ``traces_retention_s`` returns for how many seconds the platform keeps traces.
    """

    def __init__(
        self,
        settings: Settings,
        client: PlatformClient,
        metrics: MetricsClient,
        *,
        traces_retention_s: Callable[[], float],
    ) -> None:
        self.recorder = TraceRecorder(
            settings.name,
            max_requests=settings.entry.traces,
            listener=TraceEventMetrics(metrics, settings.role),
        )
        self.burn_counter = BurnCounter(
            settings.name, BurnGoals(0, Goals(), {}, {}), now=time.time()
        )
        self.outcome_counter = OutcomeCounter(self.burn_counter, metrics)
        self._metrics = metrics
        self._shipper = BatchShipper(
            self.recorder,
            client,
            period_s=settings.timings.trace_batch_s,
            retention_s=traces_retention_s,
            metrics=metrics,
        )

    def start(self) -> None:
        """Start shipping batches of traces."""
        self._shipper.start()

    def stop(self) -> None:
        """Ship the remaining traces and close the metrics client."""
        self._shipper.stop()
        self._metrics.close()

    def set_manifest(
        self, manifest: CompiledManifest, request_ids: Iterable[str]
    ) -> None:
        """Apply a new manifest and record the change in traces of ``request_ids``."""
        self.outcome_counter.set_goals(manifest)
        for request_id in request_ids:
            self.recorder.record(request_id, ManifestChanged(manifest.version))
