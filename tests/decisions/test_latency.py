from __future__ import annotations

from random import Random

from kingcupwheel.decisions.latency import LatencyBound


def test_the_bound_holds_for_most_prompts_of_any_size_and_follows_a_change() -> None:
    draw = Random(1)
    bound = LatencyBound()
    assert bound.bound_s(100.0) == 0.0

    kept = 0
    for _ in range(500):
        size = draw.uniform(10.0, 2000.0)
        latency_s = size / 1000 + draw.uniform(0.1, 0.5)
        kept += latency_s <= bound.bound_s(size)
        bound.saw(latency_s, size)
    assert kept > 375
    assert bound.bound_s(100.0) < 0.7
    assert bound.bound_s(2000.0) > 2.2

    for _ in range(200):
        bound.saw(4.0, draw.uniform(10.0, 2000.0))
    assert 3.9 < bound.bound_s(1000.0) < 4.5
