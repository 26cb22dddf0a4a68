"""Metrics derived from trace events.

Traces and metrics come from the same events, so they can't contradict each other.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from kingcupwheel.metrics.metric_names import CounterName
from kingcupwheel.metrics.metric_names import TimerName
from kingcupwheel.trace.events import AttemptResumed
from kingcupwheel.trace.events import AttemptRetried
from kingcupwheel.trace.events import ClaimRecorded
from kingcupwheel.trace.events import RequestFinished
from kingcupwheel.trace.events import RequestPlaced
from kingcupwheel.trace.events import ResendJoined
from kingcupwheel.trace.events import ServerDied


if TYPE_CHECKING:
    from kingcupwheel.metrics.statsd_client import MetricsClient
    from kingcupwheel.settings.schema import Role
    from kingcupwheel.trace.events import AnyEvent


class TraceEventMetrics:
    """Counts the trace events of one process; thread-safe, never blocks.

    A recorder calls it for each event. ``Finished`` events are counted for agents only;
    the outcome counter of an entry counts final outcomes.
    """

    def __init__(self, metrics: MetricsClient, role: Role) -> None:
        self._metrics = metrics
        self._finished_counter = CounterName.RUNS if role.value == "agent" else None

    def __call__(self, event: AnyEvent) -> None:
        """Update the metric of ``event``, if it has one."""
        match event:
            case RequestPlaced(waited_s=waited_s):
                self._metrics.record_duration(TimerName.QUEUE_WAIT, waited_s)
            case AttemptRetried():
                self._metrics.increment(CounterName.RETRIES)
            case AttemptResumed():
                self._metrics.increment(CounterName.RESUMES)
            case ResendJoined():
                self._metrics.increment(CounterName.JOINS)
            case ClaimRecorded():
                self._metrics.increment(CounterName.CLAIMS)
            case ServerDied():
                self._metrics.increment(CounterName.ATTEMPTS_LOST)
            case RequestFinished(outcome) if self._finished_counter:
                self._metrics.increment(self._finished_counter, label=outcome)
