from __future__ import annotations

from random import Random

from kingcupwheel.decisions.first_byte_latency import FirstByteLatencyBound


def test_the_bound_holds_for_most_prompts_of_any_size_and_follows_a_change() -> None:
    rng = Random(1)
    bound = FirstByteLatencyBound()
    assert bound.bound_s(100.0, 0.0) == 0.0

    kept = 0
    for _ in range(500):
        size = rng.uniform(10.0, 2000.0)
        latency_s = size / 1000 + rng.uniform(0.1, 0.5)
        kept += latency_s <= bound.bound_s(size, 0.0)
        bound.record(latency_s, size, 0.0)
    assert kept > 375
    assert bound.bound_s(100.0, 0.0) < 0.7
    assert bound.bound_s(2000.0, 0.0) > 2.2

    for _ in range(200):
        bound.record(4.0, rng.uniform(10.0, 2000.0), 0.0)
    assert 3.9 < bound.bound_s(1000.0, 0.0) < 4.5


def test_a_bound_above_every_timeout_decays_without_samples() -> None:
    """After a stall, every request is refused and no sample corrects the bound.

    A group stalls for 4 s while ten streams wait for their first event; callers time
    out after 2 s.
    """
    bound = FirstByteLatencyBound()
    for _ in range(10):
        bound.record(4.0, 800.0, now=10.0)

    assert bound.bound_s(800.0, now=10.5) > 3.9
    assert bound.bound_s(800.0, now=12.5) < 1.0
    bound.record(0.2, 800.0, now=12.6)
    assert bound.bound_s(800.0, now=12.6) > 1.0
