from __future__ import annotations

import pytest

from kingcupwheel.decisions.suspension import SuspensionDetector


def test_suspension_is_found_at_the_first_reading_after_it() -> None:
    detector = SuspensionDetector()
    detector.record_clocks(boottime=110.0, monotonic=10.0)
    detector.record_clocks(boottime=110.4, monotonic=10.4)
    assert detector.resumed_at == float("-inf")

    detector.record_clocks(boottime=115.8, monotonic=10.8)
    detector.record_clocks(boottime=116.2, monotonic=11.2)

    assert detector.resumed_at == 10.8


@pytest.mark.parametrize("waited_s", [0.2, 3.0])
def test_thread_that_waits_between_the_readings_is_not_suspended(
    waited_s: float,
) -> None:
    """Guards against reports that are left out on a busy machine."""
    detector = SuspensionDetector()
    detector.record_clocks(boottime=110.0, monotonic=10.0)

    detector.record_clocks(boottime=110.4, monotonic=10.4 + waited_s)
    detector.record_clocks(boottime=114.0, monotonic=14.0)

    assert detector.resumed_at == float("-inf")
