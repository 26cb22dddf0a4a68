from __future__ import annotations

import pytest

from kingcupwheel.decisions.return_times import MAX_SPREAD_S
from kingcupwheel.decisions.return_times import ReturnTimes


def test_refused_callers_return_one_after_the_other() -> None:
    """Guards against callers that all return at once to one request's capacity."""
    times = ReturnTimes()

    found = [times.reserve(100.0, 2.0) for _ in range(4)]

    assert found == pytest.approx([100.0, 100.5, 101.0, 101.5])


def test_a_return_is_never_before_the_limit_allows_it() -> None:
    times = ReturnTimes()
    times.reserve(100.0, 2.0)

    assert times.reserve(130.0, 2.0) == 130.0


def test_a_flood_of_refusals_does_not_put_returns_off_for_ever() -> None:
    times = ReturnTimes()

    found = [times.reserve(100.0, 1.0) for _ in range(1000)]

    assert max(found) == 100.0 + MAX_SPREAD_S
