"""At most one entry of a fleet runs a suspect at a time."""

from __future__ import annotations

from typing import NamedTuple

from hypothesis import given
from hypothesis import strategies as st

from kingcupwheel.decisions.crash_suspects import CrashSuspects
from kingcupwheel.decisions.crash_suspects import SuspicionRecord
from kingcupwheel.decisions.crashed_runs import CrashedRun
from kingcupwheel.decisions.suspicion_status import Held
from kingcupwheel.decisions.suspicion_status import Suspect
from kingcupwheel.decisions.trial_claims import CLAIM_SETTLE_S


KEY = "suspect"
ENTRIES = 6
STEP_S = 0.05
# A changed record leaves with the next early heartbeat and crosses the network.
MAX_DELAY_S = 0.4


class InTransit(NamedTuple):
    due_at: float
    receiver: int
    record: SuspicionRecord


class Claimants:
    """Entries that hear each other with a delay; ``begun`` are the trials."""

    def __init__(self, delays: list[float]) -> None:
        self.entries = [CrashSuspects(f"entry-{number}") for number in range(ENTRIES)]
        for entry in self.entries:
            entry.record_crash(KEY, CrashedRun(1, -1.0, -0.5), 0.0)
        self.begun: list[tuple[float, int]] = []
        self._delays = delays
        self._settles_at: dict[int, float] = {}
        self._sent_at = [-1.0] * ENTRIES
        self._transit: list[InTransit] = []

    def receive(self, now: float) -> None:
        for one in [one for one in self._transit if one.due_at <= now]:
            self._transit.remove(one)
            self.entries[one.receiver].merge(one.record, now)

    def begin_settled(self, now: float) -> None:
        settled = [one for one, at in self._settles_at.items() if now >= at]
        for number in settled:
            del self._settles_at[number]
            if self.entries[number].is_claimed(KEY, now):
                self.entries[number].hold_run(KEY, now, 10.0)
                self.begun.append((now, number))

    def arrive(self, number: int, now: float) -> None:
        if isinstance(self.entries[number].get_status(KEY, now), Suspect):
            self.entries[number].claim_run(KEY, now)
            self._settles_at[number] = now + CLAIM_SETTLE_S

    def report(self, now: float) -> None:
        for number, entry in enumerate(self.entries):
            for record in entry.list_changed(self._sent_at[number] + 1e-9):
                due_at = now + self._delays[number]
                self._transit += [
                    InTransit(due_at, other, record)
                    for other in range(ENTRIES)
                    if other != number
                ]
            self._sent_at[number] = now


def test_a_report_without_a_claim_does_not_end_the_trial_of_another() -> None:
    """An agent's repeated report lets equal requests run beside a trial."""
    suspects, agent = CrashSuspects(), CrashSuspects()
    for one in (suspects, agent):
        one.record_crash(KEY, CrashedRun(1, -1.0, -0.5), 0.0)
    suspects.begin_run(KEY, 0.0)

    for report in agent.list_changed(-1.0):
        suspects.merge(report, 0.1)

    assert isinstance(suspects.get_status(KEY, 0.2), Held)


@given(
    arrivals=st.lists(
        st.tuples(st.integers(0, ENTRIES - 1), st.integers(0, 20)),
        min_size=1,
        max_size=24,
    ),
    delays=st.lists(st.floats(0.05, MAX_DELAY_S), min_size=ENTRIES, max_size=ENTRIES),
)
def test_requests_that_arrive_everywhere_begin_one_trial(
    arrivals: list[tuple[int, int]], delays: list[float]
) -> None:
    """All entries begin a trial at the same moment, and each loses a server."""
    fleet = Claimants(delays)
    for step in range(100):
        now = step * STEP_S
        fleet.receive(now)
        fleet.begin_settled(now)
        for number, at in arrivals:
            if at == step:
                fleet.arrive(number, now)
        fleet.report(now)

    assert len(fleet.begun) == 1
