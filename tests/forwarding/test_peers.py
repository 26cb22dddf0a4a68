from __future__ import annotations

from kingcupwheel.forwarding.peers import DEFAULT_FLEET_SIZE
from kingcupwheel.forwarding.peers import HEARTBEAT_INTERVAL_S
from kingcupwheel.forwarding.peers import PEER_EXPIRY_S
from kingcupwheel.forwarding.peers import PeerTable
from kingcupwheel.forwarding.peers import confirmation_from
from kingcupwheel.messages.membership import EntryHeartbeat
from kingcupwheel.messages.membership import EntryInfo


def entry(name: str) -> EntryInfo:
    return EntryInfo(name, f"10.0.0.{name}:7000", f"10.0.0.{name}:80", "dc-1")


def heartbeat(
    name: str,
    *,
    leaving: bool = False,
    echo: float = 0.0,
    age_s: float = 0.0,
    incarnation: str = "a",
) -> EntryHeartbeat:
    return EntryHeartbeat(
        sender=entry(name),
        incarnation=incarnation,
        leaving=leaving,
        sent_at=5.0,
        echo=echo,
        version=3,
        age_s=age_s,
        crashed=(),
        known_entries=(),
    )


def test_callers_are_sent_only_to_entries_with_recent_heartbeats() -> None:
    """An entry loses power: its object stays in the store, its heartbeats stop."""
    peers = PeerTable(entry("1"))
    peers.add_known([entry("2"), entry("3")], 0.0)
    peers.record_heartbeat(heartbeat("2"), 1.0)

    assert peers.live_entries(1.0) == (entry("2"),)
    assert peers.live_entries(1.0 + 4 * HEARTBEAT_INTERVAL_S) == ()


def test_a_leaving_entry_is_not_live() -> None:
    peers = PeerTable(entry("1"))
    peers.record_heartbeat(heartbeat("2"), 1.0)
    peers.record_heartbeat(heartbeat("2", leaving=True), 1.1)

    assert peers.live_entries(1.1) == ()


def test_a_new_incarnation_is_reported() -> None:
    peers = PeerTable(entry("1"))

    assert peers.record_heartbeat(heartbeat("2"), 1.0)
    assert not peers.record_heartbeat(heartbeat("2"), 1.4)
    assert peers.record_heartbeat(heartbeat("2", incarnation="b"), 1.8)


def test_freshness_counts_from_the_clock_reading_that_is_echoed() -> None:
    """A cut link delays a heartbeat by 30 s, so the age in it is 30 s too low.

    It echoes the clock reading 10.0 of this process and states that its configuration
    was the newest 2 s before the heartbeat was written, which was after 10.0.
    """
    found = confirmation_from(heartbeat("2", echo=10.0, age_s=2.0))

    assert found is not None
    assert found.as_of == 8.0


def test_a_heartbeat_without_an_echo_proves_nothing() -> None:
    assert confirmation_from(heartbeat("2", age_s=0.1)) is None
    assert confirmation_from(heartbeat("2", echo=10.0, age_s=-1.0)) is None


def test_restarted_entries_do_not_each_use_the_whole_budget() -> None:
    """All entries are killed at once and know no peers after the restart.

    Seven that each use the whole budget would send seven times what is allowed.
    """
    peers = PeerTable(entry("1"))
    assert peers.estimate_fleet_size(0.0) == DEFAULT_FLEET_SIZE

    peers.add_known([entry(str(number)) for number in range(2, 8)], 0.0)
    assert peers.estimate_fleet_size(0.0) == 7


def test_a_silent_link_is_reconnected_at_a_bounded_rate() -> None:
    peers = PeerTable(entry("1"))
    peers.record_heartbeat(heartbeat("2"), 0.0)
    late = 4 * HEARTBEAT_INTERVAL_S

    assert peers.take_silent_addresses(late) == (entry("2").address,)
    assert peers.take_silent_addresses(late + 0.1) == ()


def test_an_entry_that_left_in_order_frees_its_part_of_the_budgets() -> None:
    """Guards against parts that nobody uses for good after a fleet has shrunk."""
    peers = PeerTable(entry("1"))
    for name in ("2", "3"):
        peers.record_heartbeat(heartbeat(name), 0.0)
    peers.record_heartbeat(heartbeat("3", leaving=True), 1.0)
    peers.record_heartbeat(heartbeat("2"), 50.0)

    peers.remove_expired(1.0 + PEER_EXPIRY_S + 1.0)

    assert peers.describe_fleet(62.0, has_read_list=True).size == 2


def test_a_silent_entry_keeps_its_part_of_the_budgets() -> None:
    """Guards against a part used twice when an entry is cut off for long."""
    peers = PeerTable(entry("1"))
    for name in ("2", "3"):
        peers.record_heartbeat(heartbeat(name), 0.0)

    peers.remove_expired(2 * PEER_EXPIRY_S)

    fleet = peers.describe_fleet(2 * PEER_EXPIRY_S, has_read_list=True)
    assert fleet.names == {"1"}
    assert fleet.size == 3


def test_a_started_entry_settles_when_the_others_have_heard_of_it() -> None:
    peers = PeerTable(entry("1"))
    assert not peers.describe_fleet(100.0, has_read_list=True).is_settled

    peers.mark_started(100.0)

    assert not peers.describe_fleet(101.9, has_read_list=True).is_settled
    assert peers.describe_fleet(102.1, has_read_list=True).is_settled


def test_an_entry_that_has_not_read_the_list_does_not_take_itself_for_alone() -> None:
    peers = PeerTable(entry("1"))

    assert peers.describe_fleet(0.0, has_read_list=False).size == DEFAULT_FLEET_SIZE
    assert peers.describe_fleet(0.0, has_read_list=True).size == 1
