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
# Large enough to be told every entry there is.
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
    """Callers go on being told of every entry that lives.

    Entry 1 hears entries 2 to 5 of five. Entry 6 joins: entry 2 sends to the next four
    after it, which entry 1 is no longer among, and is silent here from then on.
    """
    here = entry_membership(1)
    here.set_instances(tuple(entry_instance(n) for n in range(1, 6)))
    for number in (2, 3, 4, 5):
        here.record_heartbeat(peer_heartbeat(number), 1.0)

    here.set_instances(tuple(entry_instance(n) for n in range(1, 7)))
    for number in (3, 4, 5, 6):
        here.record_heartbeat(peer_heartbeat(number), 100.0)

    assert len(here.list_caller_addresses(ORGANISATION, 100.0)) == 6


def test_entry_without_heartbeats_is_not_listed_for_callers() -> None:
    here = entry_membership(1)
    here.set_instances(tuple(entry_instance(n) for n in range(1, 4)))
    here.record_heartbeat(peer_heartbeat(2), 1.0)
    here.record_heartbeat(peer_heartbeat(3), 1.0)
    here.record_heartbeat(peer_heartbeat(3), 1.0 + TIMINGS.gone_s + 1)

    told = here.list_caller_addresses(ORGANISATION, 1.0 + TIMINGS.gone_s + 1)

    assert sorted(told) == ["127.0.0.1:8001", "127.0.0.1:8003"]


def test_leaving_entry_is_not_listed_for_callers_even_by_itself() -> None:
    """Callers must not be sent to an entry that is about to refuse them.

    Entry 2 says in its heartbeat that it leaves, and entry 1 is told to stop itself.
    """
    leaving = Event()
    here = entry_membership(1, leaving)
    here.set_instances(tuple(entry_instance(n) for n in range(1, 4)))
    here.record_heartbeat(peer_heartbeat(2, leaving=True), 1.0)
    leaving.set()

    assert here.list_caller_addresses(ORGANISATION, 1.0) == ("127.0.0.1:8003",)
