from __future__ import annotations

import json
import time
from typing import TYPE_CHECKING
from typing import Any
from typing import cast

import pytest
from expression import Error
from expression import Ok
from expression import Result
from hypothesis import given
from hypothesis import strategies as st

from kingcupwheel.forwarding import server_list
from kingcupwheel.forwarding.server_list import REREGISTRATION_GRACE_S
from kingcupwheel.forwarding.server_list import ServerListHandler
from kingcupwheel.forwarding.store_watcher import LARGE_FLEET_ENTRIES
from kingcupwheel.forwarding.store_watcher import LARGE_FLEET_WATCH_WAIT_S
from kingcupwheel.forwarding.store_watcher import WATCH_WAIT_S
from kingcupwheel.forwarding.store_watcher import StoreWatcher
from kingcupwheel.forwarding.store_watcher import WatchTiming
from kingcupwheel.forwarding.store_watcher import configuration_watch_timing
from kingcupwheel.forwarding.store_watcher import server_watch_timing
from kingcupwheel.platform.errors import Unavailable
from kingcupwheel.platform.object_store import DEFAULT_CALL_TIMEOUT_S
from kingcupwheel.platform.object_store import ObjectChange
from kingcupwheel.platform.object_store import ObjectList
from kingcupwheel.platform.object_store import StoredObject
from kingcupwheel.platform.object_store import WatchResult
from tests.forwarding.fleet import wait_until
from tests.platform.builders import server_entry


if TYPE_CHECKING:
    from kingcupwheel.forwarding.backends import Backend
    from kingcupwheel.platform.errors import WatchError

HANGS_S = 0.4


class ScriptedStore:
    """Answers each watch with the next entry of ``script``, then with no changes."""

    def __init__(
        self, script: list[tuple[float, Result[WatchResult, WatchError]]]
    ) -> None:
        self.script = script
        self.watched_at: list[float] = []
        # How many lists after the first watch fail.
        self.failing_lists = 0

    def list_objects(self, kind: str) -> Result[ObjectList, WatchError]:
        if self.watched_at and self.failing_lists:
            self.failing_lists -= 1
            return Error(Unavailable("timed out", sent=False, silent=True))
        return Ok(ObjectList((), 1))

    def watch(
        self, kind: str, *, after: int, wait_s: float
    ) -> Result[WatchResult, WatchError]:
        self.watched_at.append(time.monotonic())
        if not self.script:
            time.sleep(0.2)
            return Ok(WatchResult((), after))
        takes_s, answer = self.script.pop(0)
        time.sleep(takes_s)
        return answer


class Recorder:
    kind = "servers"

    def __init__(self) -> None:
        self.outage_s: list[float] = []
        self.certainties: list[bool] = []

    def on_list(
        self,
        objects: Any,
        requested_at: float,
        *,
        outage_s: float,
        is_outage_certain: bool,
    ) -> None:
        self.outage_s.append(outage_s)
        self.certainties.append(is_outage_certain)

    def on_changes(self, changes: Any, requested_at: float) -> None:
        """Ignore changes; the tests read only lists."""


def start_watcher(
    store: ScriptedStore, timing: WatchTiming
) -> tuple[StoreWatcher, Recorder]:
    recorder = Recorder()
    watcher = StoreWatcher(cast("Any", store), recorder, time.monotonic, lambda: timing)
    watcher.start()
    return watcher, recorder


@pytest.mark.parametrize(("silent", "least_s"), [(True, HANGS_S), (False, 0.0)])
def test_an_outage_of_a_silent_store_counts_from_the_call(
    silent: bool, least_s: float
) -> None:
    """A watch hangs through an outage and fails just before the store recovers.

    Registrations of servers expired meanwhile. Counted from the failure the outage
    would look too short for that, and every server would be removed. A watch that is
    aborted after a normal wait is no outage.
    """
    store = ScriptedStore([(HANGS_S, Error(Unavailable("gone", False, silent)))])
    watcher, recorder = start_watcher(store, WatchTiming(5.0))
    wait_until(lambda: len(recorder.outage_s) == 2)
    watcher.stop()

    assert recorder.outage_s[0] == 0.0
    assert least_s <= recorder.outage_s[1] < least_s + HANGS_S


def test_silence_of_the_own_connection_is_no_certain_outage() -> None:
    """Guards against servers that are kept though they were removed.

    The list is read at once, on a new connection. If that call fails too, the store
    itself was away.
    """
    silent = Error(Unavailable("timed out", sent=False, silent=True))
    store = ScriptedStore([(0.0, silent)])
    watcher, recorder = start_watcher(store, WatchTiming(5.0))
    wait_until(lambda: len(recorder.outage_s) == 2)
    watcher.stop()
    lost = ScriptedStore([(0.0, silent)])
    lost.failing_lists = 1
    watcher, recorder_of_lost = start_watcher(lost, WatchTiming(5.0))
    wait_until(lambda: len(recorder_of_lost.outage_s) == 2)
    watcher.stop()

    assert recorder.certainties == [False, False]
    assert recorder_of_lost.certainties == [False, True]


def test_an_outage_that_begins_during_a_watch_is_not_underestimated() -> None:
    """A watch ends normally in the outage, the next is refused, the store recovers.

    Counted from the refusal the outage would look too short for registrations to
    expire, and every server would be removed.
    """
    unchanged = Ok(WatchResult((), 1))
    refused = Error(Unavailable("status 503", sent=False))
    store = ScriptedStore([(HANGS_S, unchanged), (0.0, refused)])
    watcher, recorder = start_watcher(store, WatchTiming(HANGS_S))
    wait_until(lambda: len(recorder.outage_s) == 2)
    watcher.stop()

    assert recorder.outage_s[1] >= HANGS_S


def test_a_large_fleet_batches_changes_before_the_next_watch() -> None:
    """75 servers start together; 31 entries would watch again for each one."""
    change = ObjectChange(
        StoredObject("i-1", 2, 2, b"{}", is_deleting=False), is_removed=False
    )
    store = ScriptedStore([(0.0, Ok(WatchResult((change,), 2)))])
    watcher, _ = start_watcher(store, WatchTiming(5.0, delay_after_change_s=0.3))
    wait_until(lambda: len(store.watched_at) >= 2)
    watcher.stop()

    assert store.watched_at[1] - store.watched_at[0] >= 0.3


def test_watches_are_short_in_a_small_fleet_and_long_in_a_large_one() -> None:
    assert configuration_watch_timing(LARGE_FLEET_ENTRIES - 1) == WatchTiming(
        WATCH_WAIT_S
    )
    assert configuration_watch_timing(LARGE_FLEET_ENTRIES) == WatchTiming(
        LARGE_FLEET_WATCH_WAIT_S
    )
    assert server_watch_timing(LARGE_FLEET_ENTRIES - 1, 4.0) == WatchTiming(
        WATCH_WAIT_S
    )


def test_a_hanging_watch_of_servers_is_detected_within_the_steady_time() -> None:
    for steady_s in (3.0, 4.0, 6.0):
        timing = server_watch_timing(31, steady_s)
        assert timing.wait_s + DEFAULT_CALL_TIMEOUT_S <= max(
            steady_s, WATCH_WAIT_S + DEFAULT_CALL_TIMEOUT_S
        )


def entry(name: str, body: object = None, revision: int = 5) -> StoredObject:
    raw = json.dumps(server_entry() if body is None else body).encode()
    return StoredObject(name, revision, 3, raw, is_deleting=False)


class RecordedServers:
    """Records what a ``ServerListHandler`` passes to its callback."""

    def __init__(self) -> None:
        self.incarnations: set[str] = set()
        self.leaving: set[str] = set()
        self.gone: list[str] = []
        self.handler = ServerListHandler(self._note)

    def _note(self, used: tuple[Backend, ...], gone: tuple[Backend, ...]) -> None:
        self.incarnations = {one.incarnation for one in used}
        self.leaving = {one.incarnation for one in used if one.is_leaving}
        self.gone += [one.incarnation for one in gone]

    def list_all(self, *objects: StoredObject) -> None:
        self.handler.on_list(objects, 0.0, outage_s=0.0, is_outage_certain=False)

    def list_after_outage(self, *objects: StoredObject, is_certain: bool) -> None:
        self.handler.on_list(objects, 0.0, outage_s=2.0, is_outage_certain=is_certain)

    def change(self, *objects: StoredObject) -> None:
        changes = tuple(ObjectChange(one, is_removed=False) for one in objects)
        self.handler.on_changes(changes, 0.0)


@pytest.mark.parametrize("bad", [7, [], "x", {}, {"Service": "llm"}])
def test_an_unreadable_registration_leaves_the_other_servers_usable(
    bad: object,
) -> None:
    """Another writer overwrites a registration, seen in a list or in a watch."""
    servers = RecordedServers()
    servers.list_all(entry("i-1"), entry("i-2", bad), entry("i-3"))
    assert servers.incarnations == {"i-1", "i-3"}

    servers.change(entry("i-4", bad))
    assert servers.incarnations == {"i-1", "i-3"}


def test_an_overwritten_server_is_used_again_once_it_is_readable() -> None:
    """An unreadable registration may hide that a server leaves: it gets no requests.

    It does not count as dead, so its losses are not attributed to the requests.
    """
    servers = RecordedServers()
    servers.list_all(entry("i-1"), entry("i-2"))

    servers.change(entry("i-1", "overwritten"))
    assert servers.incarnations == {"i-2"}
    assert servers.gone == []

    servers.change(entry("i-1", revision=9))
    assert servers.incarnations == {"i-1", "i-2"}


def test_a_smaller_birth_never_replaces_a_greater_one() -> None:
    """A late write of the previous incarnation arrives after the new one's."""
    servers = RecordedServers()
    servers.list_all(entry("i-1", server_entry(born=2_000)))

    servers.change(entry("i-1", server_entry(born=1_000)))
    servers.list_all(entry("i-1", server_entry(born=1_000)))

    assert servers.incarnations == {"i-1@2000"}
    assert servers.gone == []


def test_server_that_leaves_with_an_earlier_start_than_before_gets_no_requests() -> (
    None
):
    """Guards against requests to a draining server whose clock was set back.

    Its new start is then before that of its former incarnation. If the write was late
    and not the server's newest, its next one uses the server again.
    """
    servers = RecordedServers()
    servers.list_all(entry("i-1", server_entry(born=2_000)))

    servers.change(entry("i-1", server_entry(born=1_000, State="draining")))
    assert servers.leaving == {"i-1@2000"}
    assert servers.gone == []

    servers.change(entry("i-1", server_entry(born=2_000)))
    assert servers.leaving == set()


def test_entry_without_a_start_is_not_of_a_server_that_had_named_its_own() -> None:
    """Guards against requests to a leaving server, taken for a new incarnation.

    Another writer's entry under the server's id lacks the field; what the server had
    said of itself would no longer hold.
    """
    servers = RecordedServers()
    servers.list_all(entry("i-1", server_entry(born=1_000)), entry("i-2"))

    servers.change(entry("i-1", server_entry()))
    servers.list_all(entry("i-1", server_entry()), entry("i-2"))
    assert servers.incarnations == {"i-2"}
    assert servers.gone == []

    servers.change(entry("i-1", server_entry(born=1_000)))
    assert servers.incarnations == {"i-1@1000", "i-2"}


def test_a_restarted_server_ends_its_previous_incarnation() -> None:
    """The registration stays, but the requests of the previous incarnation are lost."""
    servers = RecordedServers()
    servers.list_all(entry("i-1", server_entry(born=1_000)))

    servers.change(entry("i-1", server_entry(born=2_000)))

    assert servers.incarnations == {"i-1@2000"}
    assert servers.gone == ["i-1@1000"]


def test_removed_server_is_not_kept_for_silence_of_the_own_connection() -> None:
    """Guards against requests to a server that left, after its time."""
    servers = RecordedServers()
    servers.list_all(entry("i-1"), entry("i-2"), entry("i-3"))

    servers.list_after_outage(entry("i-2"), entry("i-3"), is_certain=False)

    assert servers.incarnations == {"i-2", "i-3"}
    assert servers.gone == ["i-1"]


def test_most_servers_of_a_service_are_kept_though_no_outage_is_certain() -> None:
    """Guards against a service without servers after a short outage of the store.

    Its calls were silent, and it returned before the next one.
    """
    servers = RecordedServers()
    other = server_entry(Service="other")
    servers.list_all(
        entry("i-1"), entry("i-2"), entry("i-3"), entry("o-1", other), entry("o-2")
    )

    servers.list_after_outage(entry("i-3"), entry("o-1", other), is_certain=False)

    assert servers.incarnations == {"i-1", "i-2", "i-3", "o-1", "o-2"}


@pytest.mark.parametrize("is_certain", [True, False])
def test_servers_that_lapsed_are_kept_for_their_time_and_no_longer(
    monkeypatch: pytest.MonkeyPatch, is_certain: bool
) -> None:
    """Guards against requests to a server that is gone, until the next watch ends."""
    now = time.monotonic()
    monkeypatch.setattr(server_list, "monotonic", lambda: now)
    servers = RecordedServers()
    servers.list_all(entry("i-1"), entry("i-2"))
    servers.list_after_outage(is_certain=is_certain)
    servers.change(entry("i-2"))
    assert servers.incarnations == {"i-1", "i-2"}

    now += REREGISTRATION_GRACE_S - 0.1
    servers.handler.on_tick()
    assert servers.incarnations == {"i-1", "i-2"}

    now += 0.2
    servers.handler.on_tick()
    assert servers.incarnations == {"i-2"}
    assert servers.gone == ["i-1"]


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["i-1", "i-2", "i-3"]),
            st.one_of(
                st.none(),
                st.integers(0, 5).map(lambda born: server_entry(born=born)),
                st.text(),
                st.dictionaries(st.text(), st.integers()),
            ),
        )
    )
)
def test_whatever_is_written_a_good_entry_is_used_and_births_only_rise(
    written: list[tuple[str, object]],
) -> None:
    """Writers overwrite registrations in any order; one is never overwritten."""
    servers = RecordedServers()
    servers.list_all(entry("i-good"))
    for name, body in written:
        before = {
            incarnation.split("@")[0]: incarnation
            for incarnation in servers.incarnations
        }
        servers.change(entry(name, body, revision=9))

        after = {
            incarnation.split("@")[0]: incarnation
            for incarnation in servers.incarnations
        }
        assert "i-good" in servers.incarnations
        assert set(before) - set(after) <= {name}
        births = [
            int(one[name].partition("@")[2] or 0)
            for one in (before, after)
            if name in one
        ]
        assert 0 in births or births == sorted(births)
