from __future__ import annotations

from random import Random

from kingcupwheel.decisions.latency import LatencyBound


def test_the_bound_holds_for_most_and_follows_a_change() -> None:
    draw = Random(1)
    bound = LatencyBound()
    assert bound.bound_s == 0.0

    kept = 0
    for _ in range(500):
        latency_s = draw.uniform(0.1, 0.5)
        kept += latency_s <= bound.bound_s
        bound.saw(latency_s)
    assert kept > 425

    for _ in range(40):
        bound.saw(2.0)
    assert 1.9 < bound.bound_s < 2.6
