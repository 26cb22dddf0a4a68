from __future__ import annotations

from kingcupwheel.decisions.stopping import Stopping


STOP = Stopping(100.0, 8.0)


def test_answers_end_in_the_last_sixth_of_the_grace() -> None:
    assert STOP.grace_s * 5 / 6 < STOP.answers_end_at - STOP.began_at
    assert STOP.stays_until < STOP.answers_end_at < STOP.ends_at
    assert STOP.ends_at < STOP.began_at + STOP.grace_s
