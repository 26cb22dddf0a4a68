from __future__ import annotations

from kingcupwheel.lockstep.rank_reports import RankState
from kingcupwheel.lockstep.stall_detector import STALL_TIMEOUT_S
from kingcupwheel.lockstep.stall_detector import StallDetector


def make_state(
    step: int, *, rank: int = 1, prepared: int = 2, running: int = 1
) -> RankState:
    return RankState(
        group="g",
        epoch=1,
        rank=rank,
        ranks=3,
        is_open=True,
        step=step,
        version=1,
        prepared=prepared,
        armed=0,
        held=None,
        running=running,
        waiting=0,
        pace=1.0,
    )


def is_stalled_after(*states: RankState, every_s: float = 0.2) -> bool:
    detector = StallDetector()
    return [detector.is_stalled(one, n * every_s) for n, one in enumerate(states)][-1]


def test_a_rank_without_passes_during_a_change_is_stalled() -> None:
    """All streams stop when the coordinator freezes between hold and release."""
    assert is_stalled_after(*[make_state(7)] * 4)


def test_a_rank_that_begins_passes_is_not_stalled() -> None:
    assert not is_stalled_after(*[make_state(step) for step in range(7, 12)])


def test_an_idle_rank_is_not_stalled() -> None:
    assert not is_stalled_after(*[make_state(7, running=0)] * 6)


def test_a_stall_without_a_pending_change_is_ignored() -> None:
    """After a crash of a rank the group forms again; there is no change to end."""
    assert not is_stalled_after(*[make_state(7, prepared=0)] * 6)


def test_higher_ranks_have_longer_timeouts() -> None:
    steps = [make_state(7, rank=2)] * 3

    assert not is_stalled_after(*steps, every_s=STALL_TIMEOUT_S)
    assert is_stalled_after(*steps, every_s=2 * STALL_TIMEOUT_S)
