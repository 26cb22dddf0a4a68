from __future__ import annotations

import re
from pathlib import Path

from kingcupwheel.metrics.metric_names import DESCRIPTION_BY_METRIC
from kingcupwheel.metrics.metric_names import CounterName
from kingcupwheel.metrics.metric_names import GaugeName
from kingcupwheel.metrics.metric_names import TimerName
from kingcupwheel.utils.text_logs import PREFIX_BY_LOGGER


ROOT = Path(__file__).parents[2]
PAGE = ROOT / "docs" / "operators" / "metrics-and-logs.md"
ROW = re.compile(r"^\| `([^`]+)` \| ([^|]+) \| ([^|]+) \|$", re.MULTILINE)
KIND_BY_CLASS = {CounterName: "counter", GaugeName: "gauge", TimerName: "timer"}


def test_operators_page_lists_exactly_the_described_metrics() -> None:
    listed = {
        (name, kind.strip(), text.strip())
        for name, kind, text in ROW.findall(PAGE.read_text())
        if kind.strip() in KIND_BY_CLASS.values()
    }
    known = {
        (metric.value, KIND_BY_CLASS[type(metric)], text)
        for metric, text in DESCRIPTION_BY_METRIC.items()
    }

    assert set(DESCRIPTION_BY_METRIC) == {*CounterName, *GaugeName, *TimerName}
    assert listed == known


def test_every_metric_is_used_in_the_code() -> None:
    sources = (
        path for path in ROOT.glob("src/**/*.py") if path.name != "metric_names.py"
    )
    code = "\n".join(path.read_text() for path in sources)
    members = [f"{type(item).__name__}.{item.name}" for item in DESCRIPTION_BY_METRIC]

    assert [member for member in members if not re.search(rf"{member}\b", code)] == []


def test_operators_page_lists_every_log_prefix() -> None:
    listed = {
        (name, prefix.strip()) for name, prefix, _ in ROW.findall(PAGE.read_text())
    }

    assert set(PREFIX_BY_LOGGER.items()) <= listed
