"""What an entry keeps of its requests: stories, counts against goals, metrics."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from kingcupwheel.burn.counter import BurnCounter
from kingcupwheel.burn.goals import BurnGoals
from kingcupwheel.entry.outcome_counter import OutcomeCounter
from kingcupwheel.manifest.schema import Goals
from kingcupwheel.metrics.events import EventMetrics
from kingcupwheel.trace.events import ManifestChanged
from kingcupwheel.trace.recorder import Recorder
from kingcupwheel.trace.shipper import BatchShipper


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from kingcupwheel.manifest.compiled_manifest import CompiledManifest
    from kingcupwheel.metrics.client import Metrics
    from kingcupwheel.platform.client import PlatformClient
    from kingcupwheel.settings.schema import Settings


class EntryTelemetry:
    """The recording parts of one entry, started and stopped together.

    ``traces_retention_s`` is asked each time for how long the platform keeps traces.
    """

    def __init__(
        self,
        settings: Settings,
        client: PlatformClient,
        metrics: Metrics,
        *,
        traces_retention_s: Callable[[], float],
    ) -> None:
        self.recorder = Recorder(
            settings.name,
            limit=settings.entry.traces,
            listener=EventMetrics(metrics, settings.role),
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
        """Begin to write batches."""
        self._shipper.start()

    def stop(self) -> None:
        """Write what is left and close."""
        self._shipper.stop()
        self._metrics.close()

    def set_manifest(
        self, in_force: CompiledManifest, request_ids: Iterable[str]
    ) -> None:
        """Take up a new manifest, and note it in the requests under way."""
        self.outcome_counter.set_goals(in_force)
        for request_id in request_ids:
            self.recorder.record(request_id, ManifestChanged(in_force.version))
