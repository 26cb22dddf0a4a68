from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from kingcupwheel.metrics.metered_platform_client import MeteredPlatformClient
from kingcupwheel.metrics.metric_names import CounterName
from kingcupwheel.metrics.metric_names import TimerName
from kingcupwheel.metrics.statsd_client import MetricsClient
from kingcupwheel.metrics.trace_event_metrics import TraceEventMetrics
from kingcupwheel.settings.schema import Role
from kingcupwheel.settings.schema import StatsdSettings
from kingcupwheel.trace.events import AttemptRetried
from kingcupwheel.trace.recorder import TraceRecorder
from tests.trace.builders import AGENT_EVENTS
from tests.trace.builders import ENTRY_EVENTS
from tests.trace.builders import MemoryPlatform


if TYPE_CHECKING:
    from kingcupwheel.trace.events import AnyEvent


class RecordingMetricsClient(MetricsClient):
    """A metrics client that keeps calls instead of sending them."""

    def __init__(self) -> None:
        super().__init__(StatsdSettings(), process="entry-1")
        self.counts: list[tuple[CounterName, str]] = []
        self.durations: list[TimerName] = []

    def increment(self, name: CounterName, *, label: str = "", amount: int = 1) -> None:
        self.counts.append((name, label))

    def record_duration(self, name: TimerName, duration_s: float) -> None:
        self.durations.append(name)


@pytest.mark.parametrize(
    ("role", "recorded", "counted"),
    [
        (
            Role.ENTRY,
            (*ENTRY_EVENTS, AttemptRetried(1, "full")),
            [(CounterName.RETRIES, "")],
        ),
        (Role.AGENT, AGENT_EVENTS, [(CounterName.RUNS, "ran")]),
    ],
)
def test_each_trace_event_is_counted_once(
    role: Role, recorded: tuple[AnyEvent, ...], counted: list[tuple[CounterName, str]]
) -> None:
    metrics = RecordingMetricsClient()
    recorder = TraceRecorder(
        "a", max_requests=10, listener=TraceEventMetrics(metrics, role)
    )
    for event in recorded:
        recorder.record("entry-1.1.aa", event)

    assert metrics.counts == counted
    assert metrics.durations == [TimerName.QUEUE_WAIT] * (role is Role.ENTRY)


def test_platform_calls_are_counted_and_conflicts_are_not_errors() -> None:
    metrics = RecordingMetricsClient()
    platform = MemoryPlatform()
    client = MeteredPlatformClient(platform, metrics)

    assert client.create("a", b"1").ok == 1
    assert client.create("a", b"2").is_error()
    platform.is_down = True
    assert client.read("a").is_error()

    calls = [
        (CounterName.PLATFORM_CALLS, kind) for kind in ("create", "create", "read")
    ]
    assert metrics.counts == [*calls, (CounterName.PLATFORM_ERRORS, "read")]
    assert metrics.durations == [TimerName.PLATFORM_CALL] * 3
