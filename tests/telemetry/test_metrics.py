from __future__ import annotations

import re
from pathlib import Path

from kingcupwheel.telemetry.metrics import EntryMetrics
from kingcupwheel.telemetry.metrics import MetricsApp
from kingcupwheel.telemetry.metrics import RankMetrics


OPERATIONS_PAGE = Path(__file__).resolve().parents[2] / "docs" / "OPERATIONS.md"


def test_the_operations_page_documents_every_metric() -> None:
    rows = dict(
        re.findall(
            r"^\| `(kingcupwheel_\w+)` \| (.+) \|$", OPERATIONS_PAGE.read_text(), re.M
        )
    )
    metrics = {
        f"{metric.name}_total"
        if metric.type == "counter"
        else metric.name: metric.documentation
        for registry in (EntryMetrics().registry, RankMetrics().registry)
        for metric in registry.collect()
    }

    assert rows == metrics


def test_metrics_are_served_as_text() -> None:
    metrics = EntryMetrics()
    metrics.record_answer("app", 200, "whole", 0.12)
    started: list[str] = []

    body = b"".join(
        MetricsApp(metrics.registry)({}, lambda status, _: started.append(status))
    ).decode()

    assert started == ["200 OK"]
    assert (
        'kingcupwheel_answers_total{how="whole",service="app",status="200"} 1.0' in body
    )
    assert 'kingcupwheel_answer_seconds_bucket{le="0.15",service="app"} 1.0' in body
