from __future__ import annotations

import time
from typing import TYPE_CHECKING
from typing import cast

from freezegun import freeze_time

from kingcupwheel.entry.allowance_balancer import AllowanceBalancer
from kingcupwheel.entry.refusals import Refusal
from kingcupwheel.entry.request_limiter import RequestLimiter
from kingcupwheel.manifest.schema import Allowance
from kingcupwheel.manifest.schema import Organisation
from kingcupwheel.messages.membership import ShareHeartbeat
from tests.burn.builders import build_caller_request


if TYPE_CHECKING:
    from freezegun.api import FrozenDateTimeFactory
    from freezegun.api import StepTickTimeFactory
    from freezegun.api import TickingDateTimeFactory

    from kingcupwheel.entry.membership import Membership
    from kingcupwheel.link.links import OutgoingLink
    from kingcupwheel.messages.base import Message

    Clock = FrozenDateTimeFactory | StepTickTimeFactory | TickingDateTimeFactory

ALLOWANCE = Allowance(work_per_s=1000.0, burst=1000.0, concurrency=1000)
ORGANISATION = Organisation(name="agency", key_digests=(), allowance=ALLOWANCE)
NAMES = ("entry-1", "entry-2")


class StubMembership:
    """Membership in which all entries are in the set; the address is the name."""

    def list_members(self, organisation: Organisation, now: float) -> tuple[str, ...]:
        return NAMES

    def find_address(self, name: str) -> str:
        return name


class Entry:
    """An entry on a machine whose clock counts from ``started_at``."""

    def __init__(
        self, name: str, network: EntryNetwork, *, started_at: float = 0.0
    ) -> None:
        self.started_at = started_at
        self.limiter = RequestLimiter(lambda one: self.balancer.get_initial_share(one))
        self.balancer = AllowanceBalancer(
            name,
            self.limiter,
            cast("Membership", StubMembership()),
            send=network.send,
            find_organisation=lambda _: ORGANISATION,
        )

    def try_admit(self) -> bool:
        request = build_caller_request()._replace(
            organisation=ORGANISATION, body=bytes(400)
        )
        admitted = self.limiter.admit(request)
        if isinstance(admitted, Refusal):
            return False
        self.limiter.settle_run(request, admitted, 200, is_complete=False)
        return True


class EntryNetwork:
    def __init__(self) -> None:
        self.message_count = 0
        self.entries = {name: Entry(name, self) for name in NAMES}
        self.now = 0.0
        self.is_partitioned = False
        self.unheard_name = ""

    def send(self, link: OutgoingLink, message: Message) -> None:
        self.message_count += 1
        is_lost = self.is_partitioned or (
            isinstance(message, ShareHeartbeat) and message.name == self.unheard_name
        )
        if not is_lost and isinstance(message, ShareHeartbeat):
            receiver = self.entries[link.address]
            receiver.balancer.handle_heartbeat(message, self.now - receiver.started_at)

    def run(
        self, clock: Clock, seconds: int, calls_per_s: dict[str, int]
    ) -> dict[str, int]:
        """Send each entry its calls per second; return how many it admitted."""
        admitted = dict.fromkeys(NAMES, 0)
        for _ in range(seconds):
            clock.tick(1.0)
            self.now = time.monotonic()
            for name, entry in self.entries.items():
                admitted[name] += sum(
                    entry.try_admit() for _ in range(calls_per_s[name])
                )
                entry.balancer.update_shares(self.now - entry.started_at)
        return admitted


def test_an_idle_entry_lends_its_share_and_has_it_back_when_callers_come() -> None:
    """Guards against an unused share at an idle entry and one that is not returned.

    A call takes 300 tokens and the organisation has 1,000 per second, so three calls
    per second in total. At first only one entry gets calls, then both get equally many.
    """
    with freeze_time() as clock:
        network = EntryNetwork()
        network.run(clock, 20, {"entry-1": 10, "entry-2": 0})
        admitted_while_lent = network.run(clock, 30, {"entry-1": 10, "entry-2": 0})
        network.run(clock, 20, {"entry-1": 10, "entry-2": 10})
        admitted_while_shared = network.run(clock, 30, {"entry-1": 10, "entry-2": 10})

    assert admitted_while_lent["entry-1"] > 0.8 * 30 * 1000 / 300
    assert sum(admitted_while_shared.values()) < 1.2 * 30 * 1000 / 300
    assert min(admitted_while_shared.values()) > 0.6 * max(
        admitted_while_shared.values()
    )


def test_organisation_without_demand_is_not_reported_on_every_heartbeat() -> None:
    with freeze_time() as clock:
        network = EntryNetwork()
        network.run(clock, 5, {"entry-1": 10, "entry-2": 0})
        network.run(clock, 60, {"entry-1": 0, "entry-2": 0})
        before = network.message_count
        network.run(clock, 20, {"entry-1": 0, "entry-2": 0})

        assert network.message_count == before


def test_entries_that_are_cut_off_from_each_other_keep_to_the_allowance() -> None:
    """Guards against exceeding the allowance during a network partition.

    One entry has borrowed before the partition; both have demand during it.
    """
    with freeze_time() as clock:
        network = EntryNetwork()
        network.run(clock, 30, {"entry-1": 10, "entry-2": 0})
        network.is_partitioned = True
        network.run(clock, 15, {"entry-1": 10, "entry-2": 10})
        admitted = network.run(clock, 30, {"entry-1": 10, "entry-2": 10})

    assert sum(admitted.values()) < 1.2 * 30 * 1000 / 300
    assert min(admitted.values()) > 0.6 * max(admitted.values())


def test_restarted_entry_adds_at_most_its_equal_share() -> None:
    """Guards against exceeding the allowance by more than one share for some seconds.

    One entry has borrowed the other's share. The other one is replaced by a new
    process, which starts with an equal share before the first one knows of it.
    """
    seconds = 10
    allowed = seconds * 1000 / 300
    with freeze_time() as clock:
        network = EntryNetwork()
        network.run(clock, 30, {"entry-1": 10, "entry-2": 0})
        network.entries["entry-2"] = Entry("entry-2", network)
        starting = network.run(clock, seconds, {"entry-1": 10, "entry-2": 10})
        settled = network.run(clock, 3 * seconds, {"entry-1": 10, "entry-2": 10})

    # An equal share of the rate and of the burst, and one more request per entry.
    assert sum(starting.values()) <= 1.5 * allowed + 500 / 300 + 2
    assert sum(settled.values()) <= 1.2 * 3 * allowed


def test_machine_that_restarts_and_is_cut_off_keeps_to_the_allowance() -> None:
    """Guards against a share for which a peer is believed to answer from the future.

    Until the other entry hears the new process, it echoes what the former one had sent,
    on a clock that was ahead of the new one.
    """
    with freeze_time() as clock:
        network = EntryNetwork()
        network.run(clock, 100, {"entry-1": 10, "entry-2": 0})
        network.entries["entry-1"] = Entry("entry-1", network, started_at=network.now)
        network.unheard_name = "entry-1"
        network.run(clock, 2, {"entry-1": 10, "entry-2": 0})
        network.unheard_name = ""
        network.run(clock, 4, {"entry-1": 10, "entry-2": 0})
        network.is_partitioned = True
        network.run(clock, 15, {"entry-1": 10, "entry-2": 10})
        admitted = network.run(clock, 30, {"entry-1": 10, "entry-2": 10})

    assert sum(admitted.values()) < 1.2 * 30 * 1000 / 300
