"""Exchange of evidence between entries, through lost heartbeats and restarts."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING
from typing import cast

import pytest
from freezegun import freeze_time

from kingcupwheel.decisions.suspicion_status import NotSuspected
from kingcupwheel.decisions.suspicion_status import Suspect
from kingcupwheel.entry.server_table import ServerTable
from kingcupwheel.forwarding.configuration_cache import ConfigurationCache
from kingcupwheel.forwarding.crash_attribution import LostRun
from kingcupwheel.forwarding.crash_evidence import CrashEvidence
from kingcupwheel.forwarding.entry_membership import EntryMembership
from kingcupwheel.forwarding.pending_completions import COMPLETION_SETTLE_S
from kingcupwheel.forwarding.pending_completions import Completion
from kingcupwheel.forwarding.rate_limit_exchange import RateLimitExchange
from kingcupwheel.messages.membership import CrashedRunReport
from kingcupwheel.messages.membership import EntryHeartbeat
from kingcupwheel.messages.membership import EntryInfo
from kingcupwheel.messages.membership import SuspicionReport
from kingcupwheel.settings.schema import Timings
from kingcupwheel.telemetry.metrics import EntryMetrics


if TYPE_CHECKING:
    from kingcupwheel.link.hub import MessageHub

FINGERPRINT = "f" * 32


class RecordingHub:
    """Keeps the heartbeats that are sent, and delivers nothing."""

    def __init__(self) -> None:
        self.sent: list[EntryHeartbeat] = []

    def send(self, _: object, message: EntryHeartbeat) -> None:
        self.sent.append(message)

    def reconnect(self, address: str) -> None:
        pass


class Member:
    """An entry's membership and evidence, and one peer of it."""

    def __init__(self) -> None:
        self.hub = RecordingHub()
        self.clock = ConfigurationCache()
        self.servers = ServerTable(Timings())
        self.evidence = CrashEvidence(
            "own", EntryMetrics().crash_events, is_alone=lambda: False
        )
        self.membership = EntryMembership(
            EntryInfo("own", "10.0.0.1:7000", "10.0.0.1:80", "dc-1"),
            cast("MessageHub", self.hub),
            self.clock,
            self.evidence,
            RateLimitExchange(self.servers),
        )

    def hear_peer(
        self,
        echo: float,
        *,
        incarnation: str = "a",
        suspicions: tuple[SuspicionReport, ...] = (),
    ) -> None:
        """Receive a heartbeat of the peer that echoes a reading of the own clock."""
        self.membership.on_heartbeat(
            EntryHeartbeat(
                sender=EntryInfo("peer", "10.0.0.2:7000", "10.0.0.2:80", "dc-1"),
                incarnation=incarnation,
                leaving=False,
                sent_at=5.0,
                echo=echo,
                version=0,
                age_s=-1.0,
                crashed=(),
                known_entries=(),
                echo_held_s=0.0,
                suspicions=suspicions,
                echo_incarnation=self.membership._incarnation,
            )
        )

    def next_heartbeat(self) -> EntryHeartbeat:
        """Return the next heartbeat that is sent to the peer."""
        self.hub.sent.clear()
        self.membership.announce_leaving()
        self.membership.on_tick(time.monotonic())
        return self.hub.sent[-1]

    def record_crash(self) -> None:
        now = time.monotonic()
        run = LostRun((FINGERPRINT,), "i-1", now, now, is_closed=True, is_suspect=False)
        self.evidence.record_lost_run(run)
        self.evidence.record_server_end("i-1", cause="refused")


def test_evidence_is_repeated_until_the_peer_has_confirmed_it() -> None:
    """Entries that are cut off from each other never hear what happened meanwhile.

    What is sent during the cut is lost, and after it only news are sent.
    """
    member = Member()
    member.hear_peer(0.0)
    before = member.next_heartbeat().sent_at
    member.hear_peer(before)
    member.record_crash()

    lost = [member.next_heartbeat() for _ in range(3)]
    member.hear_peer(before)
    after_cut = member.next_heartbeat()
    member.hear_peer(after_cut.sent_at)

    assert all(one.suspicions for one in (*lost, after_cut))
    assert member.next_heartbeat().suspicions == ()


def test_evidence_right_after_what_is_confirmed_is_reported_by_a_busy_process(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against evidence that is never sent and yet counts as confirmed.

    The thread is suspended between two readings of the clock, and what changed in so
    much time after the confirmed heartbeat would seem to be part of it.
    """
    member = Member()
    member.hear_peer(0.0)
    member.hear_peer(member.next_heartbeat().sent_at)
    member.record_crash()
    list_reports = member.evidence.list_reports

    def list_late(changed_since: float) -> tuple[SuspicionReport, ...]:
        time.sleep(0.1)
        return list_reports(changed_since)

    monkeypatch.setattr(member.evidence, "list_reports", list_late)

    assert member.next_heartbeat().suspicions


def test_limit_observed_before_a_suspension_is_not_reported(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an age that does not count the suspended time."""
    suspended_s = 0.0
    member = Member()
    monkeypatch.setattr(member.clock, "_clock", lambda: time.monotonic() + suspended_s)
    limits = member.servers.rate_limits
    member.hear_peer(0.0)
    member.next_heartbeat()
    now = time.monotonic()
    limits.record_answer("i-1", 1.0, sent_at=now, now=now)
    assert member.next_heartbeat().limits

    suspended_s = 5.0

    assert member.next_heartbeat().limits == ()
    now = time.monotonic()
    limits.record_answer("i-1", 1.0, sent_at=now, now=now)
    assert member.next_heartbeat().limits


def test_a_restarted_peer_gets_what_its_former_process_had_confirmed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against evidence that a restarted peer never gets."""
    with freeze_time() as paused:
        member = Member()
        monkeypatch.setattr(member.clock, "_clock", lambda: time.monotonic())
        member.hear_peer(0.0)
        member.record_crash()
        # A thread that is suspended between readings of the two clocks may repeat what
        # is confirmed.
        paused.tick(0.001)
        confirmed = member.next_heartbeat().sent_at
        member.hear_peer(confirmed)
        assert member.next_heartbeat().suspicions == ()

        member.hear_peer(confirmed, incarnation="b")

        assert member.next_heartbeat().suspicions


@pytest.mark.parametrize("has_echo", [False, True])
def test_a_report_counts_once_its_transit_time_is_bounded(*, has_echo: bool) -> None:
    """A report that lay at a frozen peer makes one event look like two."""
    member = Member()
    report = SuspicionReport(FINGERPRINT, (CrashedRunReport(1, 0.2, 0.1),))

    echo = member.clock.now() if has_echo else 0.0
    member.hear_peer(echo, suspicions=(report,))

    status = member.evidence.get_status([FINGERPRINT])
    assert isinstance(status, Suspect if has_echo else NotSuspected)


@pytest.mark.parametrize("is_alive", [True, False])
def test_an_answer_without_a_length_counts_only_if_its_server_is_alive(
    *, is_alive: bool
) -> None:
    """A part goes on crashing servers, since each crash counts as a whole answer.

    The machine is busy, and the probe of the server has no answer when the time is up
    within which others are found dead.
    """
    member = Member()
    member.record_crash()
    now = time.monotonic()
    run = LostRun((FINGERPRINT,), "i-2", now, now, is_closed=True, is_suspect=False)
    completion = Completion(now, (FINGERPRINT,), "i-2", "r-2", run)
    member.evidence.record_completion(completion)
    if is_alive:
        member.evidence.record_server_alive("i-2")
    time.sleep(COMPLETION_SETTLE_S + 0.05)
    member.evidence.settle_completions()

    status = member.evidence.get_status([FINGERPRINT])
    assert isinstance(status, NotSuspected if is_alive else Suspect)
