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
    """Synchronizers that fetch objects from each other by name."""

    def __init__(self, client: PlatformClient) -> None:
        self._client = client
        self.synchronizers_by_name: dict[str, ManifestSynchronizer] = {}
        self.unreachable: set[str] = set()
        self.versions_by_name: dict[str, list[int]] = {}

    def start(
        self, name: str, *, with_organisations: bool = True
    ) -> ManifestSynchronizer:
        versions = self.versions_by_name.setdefault(name, [])

        def record_version(manifest: CompiledManifest) -> None:
            versions.append(manifest.version)

        synchronizer = ManifestSynchronizer(
            self._client,
            fetch_from_peer=self._fetch,
            on_change=record_version,
            with_organisations=with_organisations,
            watch_s=0.5,
            max_read_delay_s=0.05,
        )
        self.synchronizers_by_name[name] = synchronizer
        synchronizer.start()
        return synchronizer

    def _fetch(self, address: str, key: str) -> Result[ManifestObject | None, str]:
        if address in self.unreachable:
            return Error("unreachable")
        return Ok(self.synchronizers_by_name[address].get_object(key))


@pytest.fixture
def peers(client: HttpPlatformClient) -> Iterator[Peers]:
    peers = Peers(client)
    yield peers
    for synchronizer in peers.synchronizers_by_name.values():
        synchronizer.stop()


def _work_of_first(synchronizer: ManifestSynchronizer) -> float:
    assert synchronizer.current is not None
    organisation = synchronizer.current.find_organisation_by_key(key_of(_FIRST))
    assert organisation is not None
    return organisation.allowance.work_per_s


def test_a_change_is_adopted_and_only_changed_shards_are_read(
    platform: PlatformStandIn, store: ManifestStore, peers: Peers
) -> None:
    first = store.submit(build_manifest(organisations=6000), submission_id="a").ok
    entry = peers.start("entry")
    agent = peers.start("agent", with_organisations=False)
    assert entry.wait_for_version(first.version, _WAIT_S)
    assert agent.wait_for_version(first.version, _WAIT_S)
    reads = platform.state.call_counts["read"]

    changed = build_manifest(organisations=6000, work_per_s=7.0)
    second = store.submit(changed, submission_id="b").ok

    assert entry.wait_for_version(second.version, _WAIT_S)
    assert agent.wait_for_version(second.version, _WAIT_S)
    assert _work_of_first(entry) == 7.0
    # One read by the submitter, and one of the changed shard by the entry.
    assert platform.state.call_counts["read"] - reads == 2
    assert agent.current is not None
    assert not agent.current.organisations_by_name
    assert set(agent.current.groups_by_name) == {"bundles", "banks"}
    assert entry.current is not None
    assert entry.current.find_organisation_by_key("some other key") is None
    assert len(entry.current.organisations_by_name) == 6000


class _StaleWatchClient:
    """Client that returns ``replayed`` for watches if it is set, and counts these."""

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


def test_a_stale_read_after_a_newer_version_is_ignored(
    store: ManifestStore, client: HttpPlatformClient
) -> None:
    """The platform returns version 1 again after a process has adopted version 2.

    The shards of version 1 still exist, so it could be adopted. It must be ignored, and
    the next change adopted.
    """
    store.submit(build_manifest(), submission_id="a")
    stale = client.read(INDEX_KEY).ok
    second = store.submit(build_manifest(work_per_s=2.0), submission_id="b").ok.version
    watch = _StaleWatchClient(client)
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
    """The platform is down or hangs when a process starts.

    The process has no manifest until a peer's message reports a version. It then copies
    all objects from that peer.
    """
    version = store.submit(build_manifest(), submission_id="a").ok.version
    old = peers.start("old")
    assert old.wait_for_version(version, _WAIT_S)
    platform.state.set_switches(outage=outage)

    new = peers.start("new")
    assert new.current is None
    new.record_peer_version(version, old.digest, "old")

    assert new.wait_for_version(version, _WAIT_S)
    assert new.digest == old.digest
    assert _work_of_first(new) == 1000.0


def test_another_peer_is_used_if_the_first_one_fails(
    platform: PlatformStandIn, store: ManifestStore, peers: Peers
) -> None:
    """During an outage the first peer with a later version is unreachable.

    The next heartbeat of another peer must be sufficient to adopt the version.
    """
    version = store.submit(build_manifest(), submission_id="a").ok.version
    assert peers.start("dead").wait_for_version(version, _WAIT_S)
    assert peers.start("alive").wait_for_version(version, _WAIT_S)
    platform.state.set_switches(outage="down")
    peers.unreachable.add("dead")
    new = peers.start("new")

    digest = peers.synchronizers_by_name["alive"].digest
    new.record_peer_version(version, digest, "dead")
    assert not new.wait_for_version(version, 0.2)
    new.record_peer_version(version, digest, "alive")

    assert new.wait_for_version(version, _WAIT_S)


def test_all_processes_adopt_the_later_of_two_concurrent_changes(
    store: ManifestStore, peers: Peers
) -> None:
    """Two changes are accepted while three processes are still reading the first.

    Processes may skip the earlier one but must end with the later one, whether from the
    platform or a peer, and never revert.
    """
    first = store.submit(build_manifest(), submission_id="a").ok.version
    synchronizers = [peers.start(name) for name in ("x", "y", "z")]
    for synchronizer in synchronizers:
        assert synchronizer.wait_for_version(first, _WAIT_S)

    store.submit(build_manifest(work_per_s=2.0), submission_id="b")
    last = store.submit(build_manifest(work_per_s=3.0), submission_id="c").ok.version
    for synchronizer in synchronizers:
        for name, other in peers.synchronizers_by_name.items():
            synchronizer.record_peer_version(other.version, other.digest, name)

    for synchronizer in synchronizers:
        assert synchronizer.wait_for_version(last, _WAIT_S)
        assert _work_of_first(synchronizer) == 3.0
    for versions in peers.versions_by_name.values():
        assert versions == sorted(set(versions))


def test_the_watch_resumes_after_an_outage(
    platform: PlatformStandIn, store: ManifestStore, peers: Peers
) -> None:
    """The platform hangs and recovers, and then a change is accepted.

    The pending watch times out, and a new one returns the change.
    """
    first = store.submit(build_manifest(), submission_id="a").ok.version
    entry = peers.start("entry")
    assert entry.wait_for_version(first, _WAIT_S)

    platform.state.set_switches(outage="hang")
    assert not entry.wait_for_version(first + 1, 0.7)
    platform.state.set_switches(outage="off")
    second = store.submit(build_manifest(work_per_s=2.0), submission_id="b").ok.version

    assert entry.wait_for_version(second, _WAIT_S)


def test_a_start_under_the_platforms_rate_limit_gets_on_with_each_try(
    platform: PlatformStandIn, store: ManifestStore, peers: Peers
) -> None:
    """The platform allows three reads a second; the manifest has five shards.

    Every attempt exceeds the limit midway. The objects already read are cached, so that
    a later attempt completes instead of starting over forever.
    """
    manifest = build_manifest(organisations=12_000)
    version = store.submit(manifest, submission_id="a").ok.version
    platform.state.set_switches(reads_per_s=3)

    assert peers.start("entry").wait_for_version(version, 2 * _WAIT_S)

    assert platform.state.call_counts["refused"] > 0


def test_a_message_replaces_a_watch_that_does_not_respond(
    store: ManifestStore, client: HttpPlatformClient
) -> None:
    """The watch's connection neither responds nor fails.

    An agent's heartbeat reports the new version. The agent has no manifest to copy, so
    the process reads the platform on a new connection and adopts the change.
    """
    first = store.submit(build_manifest(), submission_id="a").ok.version
    silent = _SilentWatchClient(client)
    peers = Peers(cast("PlatformClient", silent))
    entry = peers.start("entry")
    assert entry.wait_for_version(first, _WAIT_S)
    second = store.submit(build_manifest(work_per_s=2.0), submission_id="b").ok.version
    assert not entry.wait_for_version(second, 0.5)

    entry.record_peer_version(second, "", "agent")

    assert entry.wait_for_version(second, _WAIT_S)
    entry.stop()


class _SilentWatchClient:
    """Client whose watches after the first one do not respond."""

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
