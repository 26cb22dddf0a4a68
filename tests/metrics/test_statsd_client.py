from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import pytest

from kingcupwheel.metrics.metric_names import CounterName
from kingcupwheel.metrics.metric_names import GaugeName
from kingcupwheel.metrics.metric_names import TimerName
from kingcupwheel.metrics.statsd_client import MetricsClient
from kingcupwheel.settings.schema import StatsdSettings


if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture
def receiver() -> Iterator[socket.socket]:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
        udp.bind(("127.0.0.1", 0))
        udp.settimeout(10)
        yield udp


def test_metric_names_contain_the_process_and_are_sanitized(
    receiver: socket.socket,
) -> None:
    port = receiver.getsockname()[1]
    metrics = MetricsClient(
        StatsdSettings(host="127.0.0.1", port=port), process="entry.1"
    )
    metrics.increment(CounterName.REFUSALS, label="queue full:x")
    metrics.set_gauge(GaugeName.MANIFEST_VERSION, 3)
    metrics.record_duration(TimerName.FIRST_BYTE, 0.25)

    assert [receiver.recv(512) for _ in range(3)] == [
        b"kingcupwheel.entry_1.refusals.queue_full_x:1|c",
        b"kingcupwheel.entry_1.manifest_version:3|g",
        b"kingcupwheel.entry_1.first_byte:250.000000|ms",
    ]
    metrics.close()


def test_client_without_a_host_or_after_close_sends_nothing_and_does_not_fail() -> None:
    for settings in (StatsdSettings(), StatsdSettings(host="no such host")):
        metrics = MetricsClient(settings, process="entry-1")
        metrics.increment(CounterName.REQUESTS, label="ran")
        metrics.close()
        metrics.set_gauge(GaugeName.MANIFEST_VERSION, 1)
