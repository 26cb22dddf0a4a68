from __future__ import annotations

from time import monotonic
from time import sleep
from typing import TYPE_CHECKING
from typing import Any
from typing import cast

import pytest
from expression import Error
from expression import Ok
from expression import Result

from kingcupwheel.manifest.shards import INDEX_KEY
from kingcupwheel.manifest.synchronizer import ManifestSynchronizer
from tests.manifest.builders import build_manifest
from tests.manifest.builders import key_of


if TYPE_CHECKING:
    from collections.abc import Iterator

    from kingcupwheel.manifest.compiled_manifest import CompiledManifest
    from kingcupwheel.manifest.store import ManifestStore
    from kingcupwheel.messages.membership import ManifestObject
    from kingcupwheel.platform.client import PlatformClient
    from kingcupwheel.platform.client import VersionedValue
    from kingcupwheel.platform.http import HttpPlatformClient
    from tests.standins.platform import PlatformStandIn

_WAIT_S = 10.0
_FIRST = "organisation-00000"


class Peers:
    """Keepers that reach each other by name, as processes do by messages."""

    def __init__(self, client: PlatformClient) -> None:
        self._client = client
        self.keepers_by_name: dict[str, ManifestSynchronizer] = {}
        self.cut_off: set[str] = set()
        self.versions_by_name: dict[str, list[int]] = {}

    def start(
        self, name: str, *, with_organisations: bool = True
    ) -> ManifestSynchronizer:
        versions = self.versions_by_name.setdefault(name, [])

        def note(in_force: CompiledManifest) -> None:
            versions.append(in_force.version)

        keeper = ManifestSynchronizer(
            self._client,
            fetch_from_peer=self._fetch,
            on_change=note,
            with_organisations=with_organisations,
            watch_s=0.5,
            max_read_delay_s=0.05,
        )
        self.keepers_by_name[name] = keeper
        keeper.start()
        return keeper

    def _fetch(self, address: str, key: str) -> Result[ManifestObject | None, str]:
        if address in self.cut_off:
            return Error("cut off")
        return Ok(self.keepers_by_name[address].get_object(key))


@pytest.fixture
def peers(client: HttpPlatformClient) -> Iterator[Peers]:
    peers = Peers(client)
    yield peers
    for keeper in peers.keepers_by_name.values():
        keeper.stop()


def _work_of_first(keeper: ManifestSynchronizer) -> float:
    assert keeper.current is not None
    organisation = keeper.current.find_organisation_by_key(key_of(_FIRST))
    assert organisation is not None
    return organisation.allowance.work_per_s


def test_a_change_is_in_force_at_once_and_reads_only_what_changed(
    platform: PlatformStandIn, store: ManifestStore, peers: Peers
) -> None:
    first = store.submit(build_manifest(organisations=6000), submission_id="a").ok
    entry = peers.start("entry")
    agent = peers.start("agent", with_organisations=False)
    assert entry.wait_for_version(first.version, _WAIT_S)
    assert agent.wait_for_version(first.version, _WAIT_S)
    reads = platform.state.calls["read"]

    changed = build_manifest(organisations=6000, work_per_s=7.0)
    second = store.submit(changed, submission_id="b").ok

    assert entry.wait_for_version(second.version, _WAIT_S)
    assert agent.wait_for_version(second.version, _WAIT_S)
    assert _work_of_first(entry) == 7.0
    # One read by the submitter, one of the changed shard by the entry.
    assert platform.state.calls["read"] - reads == 2
    assert agent.current is not None
    assert not agent.current.organisations_by_name
    assert set(agent.current.groups_by_name) == {"bundles", "banks"}
    assert entry.current is not None
    assert entry.current.find_organisation_by_key("some other key") is None
    assert len(entry.current.organisations_by_name) == 6000


class _StaleWatch:
    """Answers watches with ``replayed`` while that is set, and counts them."""

    def __init__(self, client: HttpPlatformClient) -> None:
        self._client = client
        self.replayed: VersionedValue | None = None
        self.replays = 0

    def __getattr__(self, name: str) -> Any:
        return getattr(self._client, name)

    def watch(self, key: str, *, after: int, timeout_s: float) -> Any:
        if self.replayed is None:
            return self._client.watch(key, after=after, timeout_s=timeout_s)
        self.replays += 1
        return Ok(self.replayed)


def test_a_stale_read_after_a_newer_version_changes_nothing(
    store: ManifestStore, client: HttpPlatformClient
) -> None:
    """A process has adopted version 2 when the platform answers version 1 again.

    Its shards can still be read, so it could be adopted. Callers keep the newer policy:
    nothing is adopted, and the next change is.
    """
    store.submit(build_manifest(), submission_id="a")
    stale = client.read(INDEX_KEY).ok
    second = store.submit(build_manifest(work_per_s=2.0), submission_id="b").ok.version
    watch = _StaleWatch(client)
    peers = Peers(cast("PlatformClient", watch))
    entry = peers.start("entry")
    assert entry.wait_for_version(second, _WAIT_S)

    watch.replayed = stale
    deadline = monotonic() + _WAIT_S
    while watch.replays < 3 and monotonic() < deadline:
        sleep(0.05)
    assert watch.replays >= 3
    assert _work_of_first(entry) == 2.0
    watch.replayed = None
    third = store.submit(build_manifest(work_per_s=3.0), submission_id="c").ok.version

    assert entry.wait_for_version(third, _WAIT_S)
    assert peers.versions_by_name["entry"] == [second, third]
    entry.stop()


@pytest.mark.parametrize("outage", ["down", "hang"])
def test_a_process_that_starts_in_an_outage_copies_from_a_peer(
    platform: PlatformStandIn, store: ManifestStore, peers: Peers, outage: str
) -> None:
    """The platform is down or hangs when a new process starts.

    It has no manifest until a peer's message names a version. It then copies every
    object from that peer, and callers are served under the manifest in force.
    """
    version = store.submit(build_manifest(), submission_id="a").ok.version
    old = peers.start("old")
    assert old.wait_for_version(version, _WAIT_S)
    platform.state.switch(outage=outage)

    new = peers.start("new")
    assert new.current is None
    new.record_peer_version(version, old.digest, "old")

    assert new.wait_for_version(version, _WAIT_S)
    assert new.digest == old.digest
    assert _work_of_first(new) == 1000.0


def test_a_peer_that_fails_is_replaced_by_the_next_that_is_heard(
    platform: PlatformStandIn, store: ManifestStore, peers: Peers
) -> None:
    """During an outage the first peer that is ahead can't be reached.

    Nothing is adopted from it; the next heartbeat of another peer is enough.
    """
    version = store.submit(build_manifest(), submission_id="a").ok.version
    assert peers.start("dead").wait_for_version(version, _WAIT_S)
    assert peers.start("alive").wait_for_version(version, _WAIT_S)
    platform.state.switch(outage="down")
    peers.cut_off.add("dead")
    new = peers.start("new")

    digest = peers.keepers_by_name["alive"].digest
    new.record_peer_version(version, digest, "dead")
    assert not new.wait_for_version(version, 0.2)
    new.record_peer_version(version, digest, "alive")

    assert new.wait_for_version(version, _WAIT_S)


def test_two_changes_at_once_end_with_the_later_one_everywhere(
    store: ManifestStore, peers: Peers
) -> None:
    """Two changes are accepted while three processes are still reading the first.

    Each process may skip the earlier one but ends with the later one, whichever of
    platform and peers brings it, and none goes back.
    """
    first = store.submit(build_manifest(), submission_id="a").ok.version
    keepers = [peers.start(name) for name in ("x", "y", "z")]
    for keeper in keepers:
        assert keeper.wait_for_version(first, _WAIT_S)

    store.submit(build_manifest(work_per_s=2.0), submission_id="b")
    last = store.submit(build_manifest(work_per_s=3.0), submission_id="c").ok.version
    for keeper in keepers:
        for name, other in peers.keepers_by_name.items():
            keeper.record_peer_version(other.version, other.digest, name)

    for keeper in keepers:
        assert keeper.wait_for_version(last, _WAIT_S)
        assert _work_of_first(keeper) == 3.0
    for versions in peers.versions_by_name.values():
        assert versions == sorted(set(versions))


def test_the_manifest_is_followed_again_after_an_outage(
    platform: PlatformStandIn, store: ManifestStore, peers: Peers
) -> None:
    """The platform hangs, comes back, and a change is accepted.

    The waiting watch ends by its timeout and a new one brings the change.
    """
    first = store.submit(build_manifest(), submission_id="a").ok.version
    entry = peers.start("entry")
    assert entry.wait_for_version(first, _WAIT_S)

    platform.state.switch(outage="hang")
    assert not entry.wait_for_version(first + 1, 0.7)
    platform.state.switch(outage="off")
    second = store.submit(build_manifest(work_per_s=2.0), submission_id="b").ok.version

    assert entry.wait_for_version(second, _WAIT_S)


def test_a_start_under_the_platforms_rate_limit_gets_on_with_each_try(
    platform: PlatformStandIn, store: ManifestStore, peers: Peers
) -> None:
    """The platform takes three reads a second; the manifest has five shards.

    Every try is refused half-way. What it has read is kept, so that a later try is
    complete and callers are served, instead of all starting over for ever.
    """
    manifest = build_manifest(organisations=12_000)
    version = store.submit(manifest, submission_id="a").ok.version
    platform.state.switch(reads_per_s=3)

    assert peers.start("entry").wait_for_version(version, 2 * _WAIT_S)

    assert platform.state.calls["refused"] > 0


def test_a_watch_that_went_silent_is_made_up_for_by_any_message(
    store: ManifestStore, client: HttpPlatformClient
) -> None:
    """The watch's connection is silent for good: it never answers, and never fails.

    An agent's heartbeat names the new version. The agent has no manifest to copy, so
    the process reads the platform on a new connection, and the change is in force.
    """
    first = store.submit(build_manifest(), submission_id="a").ok.version
    silent = _SilentWatch(client)
    peers = Peers(cast("PlatformClient", silent))
    entry = peers.start("entry")
    assert entry.wait_for_version(first, _WAIT_S)
    second = store.submit(build_manifest(work_per_s=2.0), submission_id="b").ok.version
    assert not entry.wait_for_version(second, 0.5)

    entry.record_peer_version(second, "", "agent")

    assert entry.wait_for_version(second, _WAIT_S)
    entry.stop()


class _SilentWatch:
    """Answers the first watch only."""

    def __init__(self, client: HttpPlatformClient) -> None:
        self._client = client
        self._answered = False

    def __getattr__(self, name: str) -> Any:
        return getattr(self._client, name)

    def watch(self, key: str, *, after: int, timeout_s: float) -> Any:
        if self._answered:
            sleep(2 * _WAIT_S)
            return Ok(None)
        self._answered = True
        return self._client.watch(key, after=after, timeout_s=timeout_s)
