from __future__ import annotations

from threading import Event
from typing import TYPE_CHECKING
from typing import cast

from kingcupwheel.entry.membership import Membership
from kingcupwheel.entry.server_table import ServerTable
from kingcupwheel.manifest.schema import Allowance
from kingcupwheel.manifest.schema import Organisation
from kingcupwheel.messages.membership import PeerHeartbeat
from kingcupwheel.platform.client import Instance
from kingcupwheel.settings.schema import PlatformSettings
from kingcupwheel.settings.schema import Role
from kingcupwheel.settings.schema import Settings
from kingcupwheel.settings.schema import Timings


if TYPE_CHECKING:
    from kingcupwheel.link.hub import MessageHub
    from kingcupwheel.platform.client import PlatformClient

TIMINGS = Timings()
# Its allowance is large enough for all entries to be listed.
ORGANISATION = Organisation(
    name="agency", key_digests=(), allowance=Allowance(work_per_s=1e6)
)


def entry_instance(number: int, *, leaving: bool = False) -> Instance:
    name, port = f"entry-{number}", 8000 + number
    http = f"127.0.0.1:{port}"
    return Instance(name, "entry", "", "dc-1", f"127.0.0.1:{number}", http, leaving)


def peer_heartbeat(number: int, *, leaving: bool = False) -> PeerHeartbeat:
    return PeerHeartbeat(f"entry-{number}", "dc-1", 1, "", leaving, ())


def entry_membership(number: int, leaving: Event | None = None) -> Membership:
    settings = Settings(
        name=f"entry-{number}",
        role=Role.ENTRY,
        data_centre="dc-1",
        listen="127.0.0.1:0",
        http="127.0.0.1:0",
        platform=PlatformSettings(url="http://127.0.0.1:1"),
    )
    return Membership(
        settings,
        cast("PlatformClient", None),
        ServerTable(TIMINGS),
        cast("MessageHub", None),
        leaving=leaving or Event(),
        request_from_seeds=lambda: None,
    )


def test_entry_sending_heartbeats_to_other_peers_stays_live() -> None:
    """Callers must get the addresses of all live entries.

    Entry 1 of five gets heartbeats of entries 2 to 5. Entry 6 joins. Entry 2 sends
    heartbeats to its four successors, which no longer include entry 1.
    """
    membership = entry_membership(1)
    membership.set_instances(tuple(entry_instance(n) for n in range(1, 6)))
    for number in (2, 3, 4, 5):
        membership.record_heartbeat(peer_heartbeat(number), 1.0)

    membership.set_instances(tuple(entry_instance(n) for n in range(1, 7)))
    for number in (3, 4, 5, 6):
        membership.record_heartbeat(peer_heartbeat(number), 100.0)

    assert len(membership.list_caller_addresses(ORGANISATION, 100.0)) == 6


def test_entry_without_heartbeats_is_not_listed_for_callers() -> None:
    membership = entry_membership(1)
    membership.set_instances(tuple(entry_instance(n) for n in range(1, 4)))
    membership.record_heartbeat(peer_heartbeat(2), 1.0)
    membership.record_heartbeat(peer_heartbeat(3), 1.0)
    membership.record_heartbeat(peer_heartbeat(3), 1.0 + TIMINGS.gone_s + 1)

    addresses = membership.list_caller_addresses(ORGANISATION, 1.0 + TIMINGS.gone_s + 1)

    assert sorted(addresses) == ["127.0.0.1:8001", "127.0.0.1:8003"]


def test_leaving_entry_is_not_listed_for_callers_even_by_itself() -> None:
    """Callers must not get the address of an entry that is about to refuse them.

    Entry 2's heartbeat says that it is leaving, and entry 1 itself is stopped.
    """
    leaving = Event()
    membership = entry_membership(1, leaving)
    membership.set_instances(tuple(entry_instance(n) for n in range(1, 4)))
    membership.record_heartbeat(peer_heartbeat(2, leaving=True), 1.0)
    leaving.set()

    assert membership.list_caller_addresses(ORGANISATION, 1.0) == ("127.0.0.1:8003",)
