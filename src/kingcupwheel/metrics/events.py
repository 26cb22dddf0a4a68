"""Metrics from the events of traces.

What is told of one request is what is counted of all: one place turns events into
metrics, so that a story and a graph can't disagree.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from kingcupwheel.metrics.names import Count
from kingcupwheel.metrics.names import Duration
from kingcupwheel.trace.events import Claimed
from kingcupwheel.trace.events import Finished
from kingcupwheel.trace.events import Joined
from kingcupwheel.trace.events import Placed
from kingcupwheel.trace.events import Resumed
from kingcupwheel.trace.events import Retried
from kingcupwheel.trace.events import ServerDied


if TYPE_CHECKING:
    from kingcupwheel.metrics.client import Metrics
    from kingcupwheel.settings.schema import Role
    from kingcupwheel.trace.events import AnyEvent


class EventMetrics:
    """Counts events of one process; safe from any thread, never blocks.

    A recorder calls it for each event. An entry's final outcomes are counted by its
    outcome counter, an agent's ends of attempts here.
    """

    def __init__(self, metrics: Metrics, role: Role) -> None:
        self._metrics = metrics
        self._ended = Count.RUNS if role.value == "agent" else None

    def __call__(self, event: AnyEvent) -> None:
        """Count ``event`` if it has a metric."""
        match event:
            case Placed(waited_s=waited_s):
                self._metrics.duration(Duration.QUEUE_WAIT, waited_s)
            case Retried():
                self._metrics.count(Count.RETRIES)
            case Resumed():
                self._metrics.count(Count.RESUMES)
            case Joined():
                self._metrics.count(Count.JOINS)
            case Claimed():
                self._metrics.count(Count.CLAIMS)
            case ServerDied():
                self._metrics.count(Count.ATTEMPTS_LOST)
            case Finished(outcome) if self._ended:
                self._metrics.count(self._ended, by=outcome)
