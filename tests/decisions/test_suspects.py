from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from kingcupwheel.decisions.suspects import QUARANTINE_S
from kingcupwheel.decisions.suspects import SUSPECT_S
from kingcupwheel.decisions.suspects import Clear
from kingcupwheel.decisions.suspects import Quarantined
from kingcupwheel.decisions.suspects import ServerLife
from kingcupwheel.decisions.suspects import Suspect
from kingcupwheel.decisions.suspects import Suspects


def test_two_deaths_quarantine_a_request_and_one_more_run_is_tried_later() -> None:
    """A request crashes each server that runs it, and its caller sends it again.

    Its second death makes it refused; when that lapses it runs once more, alone.
    """
    suspects = Suspects()
    suspects.died("crasher", ServerLife("server-0", "a"), 0.0)
    assert suspects.verdict("crasher", 1.0) == Suspect(1)

    suspects.died("crasher", ServerLife("server-1", "a"), 2.0)
    assert suspects.verdict("crasher", 3.0) == Quarantined(2, QUARANTINE_S - 1.0)
    assert isinstance(suspects.verdict("crasher", 3.0 + QUARANTINE_S), Suspect)

    suspects.died("crasher", ServerLife("server-2", "a"), 4.0 + QUARANTINE_S)
    assert isinstance(suspects.verdict("crasher", 5.0 + QUARANTINE_S), Quarantined)


def test_a_bystander_is_cleared_by_finishing_or_by_time() -> None:
    """An innocent request ran beside a crasher.

    Once it has finished elsewhere the old death is not held against it again, however
    often agents and peers go on telling of it.
    """
    suspects = Suspects()
    for name in ("finished", "waited"):
        suspects.heard(name, "server-0", 1, 0.0)
    suspects.cleared("finished")
    suspects.heard("finished", "server-0", 1, 1.0)
    suspects.heard_from_peer("finished", "entry-1", 1, 2.0)

    assert suspects.verdict("finished", 3.0) == Clear()
    assert suspects.verdict("waited", 3.0) == Suspect(1)
    assert suspects.verdict("waited", SUSPECT_S + 1.0) == Clear()
    suspects.heard("waited", "server-1", 1, SUSPECT_S + 2.0)
    assert suspects.verdict("waited", SUSPECT_S + 3.0) == Suspect(1)


@given(
    tellings=st.lists(
        st.tuples(st.sampled_from(["agent", "peer", "own"]), st.integers(0, 2)),
        min_size=1,
        max_size=30,
    )
)
def test_one_death_told_by_many_and_often_is_one_death(
    tellings: list[tuple[str, int]],
) -> None:
    suspects = Suspects()
    for kind, number in tellings:
        match kind:
            case "agent":
                suspects.heard("bystander", "server-0", 1, float(number))
            case "peer":
                suspects.heard_from_peer("bystander", f"entry-{number}", 1, 0.0)
            case "own":
                suspects.died("bystander", ServerLife("server-0", "a"), 0.0)
    assert suspects.verdict("bystander", 3.0) == Suspect(1)
    assert suspects.counts(3.0) == (("bystander", 1),)


def test_memory_is_bounded() -> None:
    suspects = Suspects(limit=10)
    for number in range(100):
        suspects.died(f"f{number}", ServerLife("server-0", "a"), 0.0)
    assert len(suspects) == 10
