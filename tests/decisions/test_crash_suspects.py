from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kingcupwheel.decisions.candidates import PlacementRequest
from kingcupwheel.decisions.candidates import SelectedServer
from kingcupwheel.decisions.crash_suspects import QUARANTINE_SHARED_CRASHES
from kingcupwheel.decisions.crash_suspects import QUARANTINES_S
from kingcupwheel.decisions.crash_suspects import SUSPECT_RETENTION_S
from kingcupwheel.decisions.crash_suspects import TRIAL_SPREAD_S
from kingcupwheel.decisions.crash_suspects import CrashSuspects
from kingcupwheel.decisions.crashed_runs import CORRELATED_CRASH_S
from kingcupwheel.decisions.crashed_runs import CrashedRun
from kingcupwheel.decisions.crashed_runs import ServerIncarnation
from kingcupwheel.decisions.crashed_runs import earliest_start
from kingcupwheel.decisions.crashed_runs import separate_runs
from kingcupwheel.decisions.placement import TwoChoicesPolicy
from kingcupwheel.decisions.suspicion_status import Held
from kingcupwheel.decisions.suspicion_status import NotSuspected
from kingcupwheel.decisions.suspicion_status import Quarantined
from kingcupwheel.decisions.suspicion_status import Suspect
from tests.decisions.builders import build_candidates


RUN_S = 0.1


def crashed_run(number: int, ended_at: float, *, run_s: float = RUN_S) -> CrashedRun:
    crash_id = ServerIncarnation(f"server-{number}", "a").crash_id
    return CrashedRun(crash_id, ended_at - run_s, ended_at)


def test_two_crashes_quarantine_a_request_and_one_run_is_allowed_later() -> None:
    """A request that crashes each server that runs it is retried by its caller.

    It is refused after the second crash. After the quarantine it runs once more, apart
    from other suspects; each further crash makes the quarantine longer.
    """
    suspects = CrashSuspects()
    suspects.record_crash("crasher", crashed_run(0, 0.0), 0.0)
    assert isinstance(suspects.get_status("crasher", 1.0), Suspect)

    now = 2.0
    for number, quarantine_s in enumerate(QUARANTINES_S, start=1):
        suspects.record_crash("crasher", crashed_run(number, now), now)
        status = suspects.get_status("crasher", now + 1.0)
        assert isinstance(status, Quarantined)
        assert (
            quarantine_s - 1.0
            <= status.remaining_s
            <= quarantine_s - 1.0 + TRIAL_SPREAD_S
        )
        now += quarantine_s + TRIAL_SPREAD_S
        assert isinstance(suspects.begin_run("crasher", now), Suspect)
        assert isinstance(suspects.begin_run("crasher", now), Quarantined)
        now += RUN_S


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
        suspects.record_crash(fingerprint, crashed_run(0, 0.0), 0.0)

    for fingerprint in ("crasher", *innocents):
        assert isinstance(suspects.get_status(fingerprint, 1.0), Suspect)
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

    suspects.record_crash("crasher", crashed_run(1, 2.0), 2.0)
    for fingerprint in innocents:
        suspects.record_success(fingerprint, 2.0, 2.0)
    assert isinstance(suspects.get_status("crasher", 3.0), Quarantined)
    assert {suspects.get_status(one, 3.0) for one in innocents} == {NotSuspected()}


def test_an_innocent_request_is_cleared_by_finishing_or_by_time() -> None:
    """Repeated reports of an old crash count against a cleared request.

    The request ran beside a crashing one and has finished elsewhere since.
    """
    suspects = CrashSuspects()
    first = crashed_run(0, 0.0)
    for name in ("finished", "waited"):
        suspects.record_crash(name, first, 0.0)
    suspects.record_success("finished", 0.5, 0.5)
    suspects.record_crash("finished", first, 1.0)
    suspects.record_crash("finished", first, 2.0)

    assert suspects.get_status("finished", 3.0) == NotSuspected()
    assert isinstance(suspects.get_status("waited", 3.0), Suspect)
    assert suspects.get_status("waited", SUSPECT_RETENTION_S + 1.0) == NotSuspected()


@given(
    crashes=st.lists(st.sampled_from([0, 1]), max_size=6),
    gossip=st.lists(st.tuples(st.integers(0, 2), st.integers(0, 2)), max_size=20),
)
def test_a_crash_counts_once_however_often_it_is_reported(
    crashes: list[int], gossip: list[tuple[int, int]]
) -> None:
    """One crash counts twice because several processes report it.

    Three entries learn of crashes from agents and gossip repeatedly. Two crashes that
    different entries learned of count as two at an entry that has received both.
    """
    entries = [CrashSuspects(), CrashSuspects(), CrashSuspects()]
    known: list[set[int]] = [set(), set(), set()]
    for number, server in enumerate(crashes):
        entries[number % 3].record_crash(
            "request", crashed_run(server, 2.0 * server), 0.0
        )
        known[number % 3].add(server)
    for teller, listener in gossip:
        for record in entries[teller].list_changed(0.0):
            entries[listener].merge(record, 1.0)
        known[listener] |= known[teller]
    for entry, expected in zip(entries, known, strict=True):
        match entry.get_status("request", 3.0):
            case NotSuspected():
                assert not expected
            case (
                Suspect(crash_count=count)
                | Quarantined(crash_count=count)
                | Held(crash_count=count)
            ):
                assert count == len(expected)


def test_the_number_of_fingerprints_is_bounded() -> None:
    suspects = CrashSuspects(max_keys=10)
    for number in range(100):
        suspects.record_crash(f"f{number}", crashed_run(0, 0.0), 0.0)
    assert len(suspects) == 10


@given(
    ends=st.lists(st.floats(0.0, CORRELATED_CRASH_S), min_size=2, max_size=16),
    sent=st.lists(st.floats(-5.0, CORRELATED_CRASH_S), min_size=16, max_size=16),
)
def test_servers_that_lose_power_together_count_as_one_crash(
    ends: list[float], sent: list[float]
) -> None:
    """A popular request that runs on all servers is refused after a power loss.

    Its runs end within half a second of each other, and some began on a server that was
    about to end when others had ended already.
    """
    suspects = CrashSuspects()
    for number, (ended_at, sent_at) in enumerate(zip(ends, sent, strict=False)):
        started_at = earliest_start(min(sent_at, ended_at), is_suspect=False)
        run = crashed_run(number, ended_at)._replace(started_at=started_at)
        suspects.record_crash("popular", run, 1.0)

    assert isinstance(suspects.get_status("popular", 1.0), Suspect)


@given(
    runs=st.lists(
        st.tuples(st.integers(0, 40), st.integers(0, 10)), min_size=1, max_size=12
    )
)
def test_separate_crashes_are_the_longest_chain_of_runs(
    runs: list[tuple[int, int]],
) -> None:
    """Crashes are counted as separate although their runs overlapped."""
    found = sorted(
        (CrashedRun(n, float(s), float(s + d)) for n, (s, d) in enumerate(runs)),
        key=lambda run: run.ended_at,
    )
    longest_by_end: list[int] = []
    for index, run in enumerate(found):
        before = [
            longest_by_end[earlier]
            for earlier in range(index)
            if found[earlier].ended_at < run.started_at
        ]
        longest_by_end.append(1 + max(before, default=0))

    assert len(separate_runs(found)) == max(longest_by_end)


@pytest.mark.parametrize("is_success_known_first", [True, False])
def test_a_run_that_completed_between_two_crashes_clears_the_first(
    *, is_success_known_first: bool
) -> None:
    """An entry that did not see the request complete refuses it after a second crash.

    It completed at another entry, whose report may come before or after the crashes'.
    """
    suspects, other = CrashSuspects(), CrashSuspects()
    first, second = crashed_run(0, 10.0), crashed_run(1, 12.0)
    other.record_success("popular", 11.0, 11.0)
    other.record_crash("popular", first, 11.5)
    reports = other.list_changed(0.0)

    if is_success_known_first:
        for report in reports:
            suspects.merge(report, 11.5)
    suspects.record_crash("popular", first, 12.0)
    suspects.record_crash("popular", second, 12.0)
    if not is_success_known_first:
        for report in reports:
            suspects.merge(report, 12.0)

    status = suspects.get_status("popular", 12.0)
    assert isinstance(status, Suspect)
    assert status.crash_count == 1


@pytest.mark.parametrize("is_given_up_first", [True, False])
def test_a_run_that_was_given_up_does_not_hide_a_later_one(
    *, is_given_up_first: bool
) -> None:
    """An entry tries a request again that the others refuse, and a server crashes.

    It had given up a run on the crashed server, which may have begun before the crash
    before, and took the two crashes for one.
    """
    first = crashed_run(0, 10.0)
    given_up = crashed_run(1, 14.0, run_s=8.0)
    crashed = crashed_run(1, 13.9)
    suspects = CrashSuspects()
    suspects.record_crash("crasher", first, 10.0)
    for run in (given_up, crashed) if is_given_up_first else (crashed, given_up):
        suspects.record_crash("crasher", run, 14.0)

    assert isinstance(suspects.get_status("crasher", 14.0), Quarantined)


def test_only_one_run_of_a_suspect_is_in_progress() -> None:
    """Many callers send a request that has crashed one server, and each crashes one."""
    suspects, other = CrashSuspects(), CrashSuspects()
    suspects.record_crash("suspect", crashed_run(0, 10.0), 10.0)
    other.record_crash("suspect", crashed_run(0, 10.0), 10.0)

    begun = suspects.begin_run("suspect", 11.0)
    for report in suspects.list_changed(0.0):
        other.merge(report, 11.0)

    assert isinstance(begun, Suspect)
    assert isinstance(suspects.begin_run("suspect", 11.1), Held)
    assert isinstance(other.begin_run("suspect", 11.1), Held)
    after = 11.0 + begun.probation_s
    assert isinstance(suspects.begin_run("suspect", after), Suspect)
    suspects.record_success("suspect", after, after)
    assert suspects.begin_run("suspect", after) == NotSuspected()


def test_a_crash_beside_other_requests_needs_one_more() -> None:
    """An innocent request's only run is beside the request that crashes its server.

    All its other runs wait for this one, so that none can complete meanwhile.
    """
    suspects = CrashSuspects(shared_crashes=QUARANTINE_SHARED_CRASHES)
    for number, end in ((0, 10.0), (1, 12.0)):
        for name in ("innocent", f"crasher-{number}"):
            suspects.record_crash(name, crashed_run(number, end), end)
    assert isinstance(suspects.get_status("innocent", 12.0), Suspect)

    suspects.record_crash("innocent", crashed_run(2, 14.0), 14.0)
    assert isinstance(suspects.get_status("innocent", 14.0), Quarantined)


def test_a_request_that_crashed_more_servers_explains_a_crash() -> None:
    """An innocent request is quarantined after it ran beside the same one twice."""
    suspects = CrashSuspects()
    for number, end in enumerate((10.0, 12.0, 14.0)):
        suspects.record_crash("crasher", crashed_run(number, end), end)
        if number:
            suspects.record_crash("innocent", crashed_run(number, end), end)

    assert isinstance(suspects.get_status("crasher", 14.0), Quarantined)
    assert isinstance(suspects.get_status("innocent", 14.0), Suspect)


def test_the_entries_try_a_quarantined_request_at_different_times() -> None:
    """All entries let a request run as its quarantine ends, and each loses a server."""
    released = set()
    for name in ("entry-1", "entry-2", "entry-3"):
        suspects = CrashSuspects(name)
        for number in (0, 1):
            suspects.record_crash("crasher", crashed_run(number, 2.0 * number), 2.0)
        status = suspects.get_status("crasher", 3.0)
        assert isinstance(status, Quarantined)
        released.add(status.remaining_s)

    assert len(released) == 3
