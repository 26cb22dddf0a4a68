from __future__ import annotations

from kingcupwheel.lockstep.popularity import MIN_SAMPLE_CHOICES
from kingcupwheel.lockstep.popularity import ExpertPopularity


def make_counts(hot: int, choices: int = MIN_SAMPLE_CHOICES) -> list[float]:
    """Return counts of two layers of four experts, most for one of them."""
    counts = [choices * 0.1] * 4
    counts[hot] = choices * 0.7
    return counts * 2


def test_a_jump_replaces_the_estimate() -> None:
    """Callers change their kind of work within a second; the old demand is over."""
    found = ExpertPopularity(2, 4)
    found.add_sample([make_counts(0)])
    found.add_sample([make_counts(3)])

    assert found.has_jumped
    assert found.shares is not None
    assert round(found.shares[0][3], 2) == 0.7


def test_noise_changes_the_estimate_slightly() -> None:
    found = ExpertPopularity(2, 4)
    found.add_sample([make_counts(0)])
    noisy = [
        count * factor
        for count, factor in zip(make_counts(0), [0.9, 1.4] * 4, strict=True)
    ]
    found.add_sample([noisy])

    assert not found.has_jumped
    assert found.shares is not None
    assert 0.66 < found.shares[0][0] < 0.7


def test_a_small_sample_is_merged_into_the_next() -> None:
    found = ExpertPopularity(2, 4)

    assert not found.add_sample([make_counts(0, MIN_SAMPLE_CHOICES // 2)])
    assert found.add_sample([make_counts(0, MIN_SAMPLE_CHOICES)])


def make_tilted_counts(tilt: float) -> list[float]:
    """Return counts of a layer with a part of the work moved to the last expert."""
    return [MIN_SAMPLE_CHOICES * part for part in (0.4 - tilt, 0.3, 0.2, 0.1 + tilt)]


def test_a_small_shift_seen_on_all_ranks_is_a_jump() -> None:
    """With 72 ranks and little skew a shift moves only a thirtieth of the work.

    By its size it looks like noise, and the map would follow it only over a second. It
    is a jump because the requests of all ranks show it.
    """
    found = ExpertPopularity(1, 4)
    found.add_sample([make_tilted_counts(0.0)] * 9)
    found.add_sample(
        [make_tilted_counts(0.034 + 0.005 * (-1) ** number) for number in range(9)]
    )

    assert found.has_jumped
    assert found.sample_distance < 0.08
    assert found.shares is not None
    assert found.shares[0][3] > 0.13


def test_a_shift_seen_on_one_rank_is_not_a_jump() -> None:
    """A few requests of one kind that happen to run on one rank are noise."""
    found = ExpertPopularity(1, 4)
    found.add_sample([make_tilted_counts(0.0)] * 9)
    found.add_sample(
        [make_tilted_counts(0.31 if number == 4 else 0.0) for number in range(9)]
    )

    assert not found.has_jumped
    assert found.sample_distance > 0.06
