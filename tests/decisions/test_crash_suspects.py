from __future__ import annotations

from dataclasses import replace
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from kingcupwheel.decisions.candidates import PlacementRequest
from kingcupwheel.decisions.candidates import SelectedServer
from kingcupwheel.decisions.crash_suspects import QUARANTINE_S
from kingcupwheel.decisions.crash_suspects import SUSPECT_RETENTION_S
from kingcupwheel.decisions.crash_suspects import CrashSuspects
from kingcupwheel.decisions.crash_suspects import NotSuspected
from kingcupwheel.decisions.crash_suspects import Quarantined
from kingcupwheel.decisions.crash_suspects import ServerIncarnation
from kingcupwheel.decisions.crash_suspects import Suspect
from kingcupwheel.decisions.placement import TwoChoicesPolicy
from tests.decisions.builders import build_candidates


FIRST = ServerIncarnation("server-0", "a")
SECOND = ServerIncarnation("server-1", "a")


def test_two_crashes_quarantine_a_request_and_one_run_is_allowed_later() -> None:
    """A request that crashes each server that runs it is retried by its caller.

    It is refused after the second crash. After the quarantine it runs once more, apart
    from other suspects.
    """
    suspects = CrashSuspects()
    suspects.record_crash("crasher", FIRST, 0.0)
    assert suspects.get_status("crasher", 1.0) == Suspect(1)

    suspects.record_crash("crasher", SECOND, 2.0)
    assert suspects.get_status("crasher", 3.0) == Quarantined(2, QUARANTINE_S - 1.0)
    assert isinstance(suspects.get_status("crasher", 3.0 + QUARANTINE_S), Suspect)

    suspects.record_crash(
        "crasher", ServerIncarnation("server-2", "a"), 4.0 + QUARANTINE_S
    )
    assert isinstance(suspects.get_status("crasher", 5.0 + QUARANTINE_S), Quarantined)


def test_a_crashing_request_crashes_two_servers_and_no_other_is_refused() -> None:
    """Innocent requests are refused because they ran beside a crashing one.

    A crashing request runs beside four others; the server crashes and all are retried.
    As suspects they run on separate servers, so that the next crash has one possible
    cause, and the others finish and are cleared.
    """
    suspects = CrashSuspects()
    innocents = [f"innocent-{number}" for number in range(4)]
    servers = build_candidates(6)
    for fingerprint in ("crasher", *innocents):
        suspects.record_crash(fingerprint, FIRST, 0.0)

    for fingerprint in ("crasher", *innocents):
        assert suspects.get_status(fingerprint, 1.0) == Suspect(1)
        placed = TwoChoicesPolicy().place(
            servers, PlacementRequest(is_suspect=True), 1.0, Random(1)
        )
        assert isinstance(placed, SelectedServer)
        servers = [
            replace(one, running_suspects=one.running_suspects + 1)
            if one.name == placed.server
            else one
            for one in servers
        ]
    assert max(one.running_suspects for one in servers) == 1

    suspects.record_crash("crasher", SECOND, 2.0)
    for fingerprint in innocents:
        suspects.clear(fingerprint)
    assert isinstance(suspects.get_status("crasher", 3.0), Quarantined)
    assert {suspects.get_status(one, 3.0) for one in innocents} == {NotSuspected()}


def test_an_innocent_request_is_cleared_by_finishing_or_by_time() -> None:
    """Repeated reports of an old crash count against a cleared request.

    The request ran beside a crashing one and has finished elsewhere since.
    """
    suspects = CrashSuspects()
    for name in ("finished", "waited"):
        suspects.record_crash(name, FIRST, 0.0)
    suspects.clear("finished")
    suspects.record_crash("finished", FIRST, 1.0)
    suspects.record_crash_id("finished", FIRST.crash_id, 2.0)

    assert suspects.get_status("finished", 3.0) == NotSuspected()
    assert suspects.get_status("waited", 3.0) == Suspect(1)
    assert suspects.get_status("waited", SUSPECT_RETENTION_S + 1.0) == NotSuspected()
    suspects.record_crash("waited", SECOND, SUSPECT_RETENTION_S + 2.0)
    assert suspects.get_status("waited", SUSPECT_RETENTION_S + 3.0) == Suspect(1)


@given(
    crashes=st.lists(st.sampled_from([FIRST, SECOND]), max_size=6),
    gossip=st.lists(st.tuples(st.integers(0, 2), st.integers(0, 2)), max_size=20),
)
def test_a_crash_counts_once_however_often_it_is_reported(
    crashes: list[ServerIncarnation], gossip: list[tuple[int, int]]
) -> None:
    """One crash counts twice because several processes report it.

    Three entries learn of crashes from agents and gossip repeatedly. Two crashes that
    different entries learned of count as two at an entry that has received both.
    """
    entries = [CrashSuspects(), CrashSuspects(), CrashSuspects()]
    known: list[set[int]] = [set(), set(), set()]
    for number, incarnation in enumerate(crashes):
        entries[number % 3].record_crash("request", incarnation, 0.0)
        known[number % 3].add(incarnation.crash_id)
    for teller, listener in gossip:
        for fingerprint, crash_id in entries[teller].list_recent_crashes(1.0):
            entries[listener].record_crash_id(fingerprint, crash_id, 1.0)
        known[listener] |= known[teller]
    for entry, expected in zip(entries, known, strict=True):
        match entry.get_status("request", 2.0):
            case NotSuspected():
                assert not expected
            case Suspect(crash_count=count) | Quarantined(crash_count=count):
                assert count == len(expected)


def test_the_number_of_fingerprints_is_bounded() -> None:
    suspects = CrashSuspects(max_fingerprints=10)
    for number in range(100):
        suspects.record_crash(f"f{number}", FIRST, 0.0)
    assert len(suspects) == 10
