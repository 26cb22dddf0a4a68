from __future__ import annotations

from threading import Barrier
from threading import Thread
from typing import TYPE_CHECKING

from kingcupwheel.manifest.exceptions import PlatformFailure
from kingcupwheel.manifest.exceptions import UnknownOutcome
from kingcupwheel.manifest.exceptions import VersionConflict
from kingcupwheel.manifest.shards import INDEX_KEY
from kingcupwheel.manifest.shards import SHARD_PREFIX
from kingcupwheel.manifest.store import ManifestStore
from tests.manifest.builders import build_manifest


if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from expression import Result

    from kingcupwheel.platform.http import HttpPlatformClient
    from tests.standins.platform import PlatformStandIn


def test_a_submitted_manifest_is_read_back_whole(store: ManifestStore) -> None:
    assert store.fetch().ok is None
    manifest = build_manifest(organisations=6000)

    first = store.submit(manifest, submission_id="a").ok
    version, assembly = store.fetch().ok or (0, None)

    assert first.version == version
    assert (first.shards_written, first.shards_reused) == (3, 0)
    assert assembly is not None
    assert assembly.manifest == manifest
    changed = build_manifest(organisations=6000, work_per_s=7.0)
    second = store.submit(changed, submission_id="b", expected_version=version).ok
    assert (second.shards_written, second.shards_reused) == (1, 2)


def test_of_two_racing_operators_one_wins_and_the_other_is_told(
    store: ManifestStore, client: HttpPlatformClient
) -> None:
    """Eight operators saw the same version and submit different manifests at once.

    One conditional update can succeed on that version. Exactly one operator is told
    that its manifest is in force, and it is the one that reads back; every other is
    told which version came first.
    """
    seen = store.submit(build_manifest(), submission_id="seen").ok.version
    together = Barrier(8)
    results: dict[str, Result[Any, Any]] = {}

    def submit(name: str, work_per_s: float) -> None:
        manifest = build_manifest(work_per_s=work_per_s)
        together.wait()
        results[name] = ManifestStore(client).submit(
            manifest, submission_id=name, expected_version=seen
        )

    threads = [Thread(target=submit, args=(f"s{n}", 10.0 + n)) for n in range(8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(30.0)

    winners = [name for name, result in results.items() if result.is_ok()]
    version, assembly = store.fetch().ok or (0, None)
    assert assembly is not None
    assert winners == [assembly.index_object.submission_id]
    losers = [result.error for result in results.values() if result.is_error()]
    assert losers == [VersionConflict(seen, version)] * 7


class _Hooked:
    """Passes calls on; the first write of the index or the first removal is special.

    The index's answer is lost, and ``then`` follows before anything else; or ``then``
    comes right before the removal.
    """

    def __init__(
        self,
        client: HttpPlatformClient,
        platform: PlatformStandIn,
        then: Callable[[], object] = lambda: None,
    ) -> None:
        self._client = client
        self._platform = platform
        self._then = then
        self._called: set[str] = set()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._client, name)

    def update(self, key: str, value: bytes, *, version: int) -> Any:
        if key != INDEX_KEY or "update" in self._called:
            return self._client.update(key, value, version=version)
        self._called.add("update")
        self._platform.state.switch(lose_answers=1)
        result = self._client.update(key, value, version=version)
        self._then()
        return result


class _HookedRemoval(_Hooked):
    def update(self, key: str, value: bytes, *, version: int) -> Any:
        return self._client.update(key, value, version=version)

    def delete(self, key: str, *, version: int) -> Any:
        if "delete" not in self._called:
            self._called.add("delete")
            self._then()
        return self._client.delete(key, version=version)


def test_a_lost_confirmation_is_settled_by_reading_back(
    platform: PlatformStandIn, store: ManifestStore, client: HttpPlatformClient
) -> None:
    """A shard's write, then the index's, takes effect and its answer is lost.

    The repeated write conflicts with the operator's own first one. For the index the
    submission id shows that, so the operator is told that the manifest is in force.
    """
    store.submit(build_manifest(), submission_id="a")
    platform.state.switch(lose_answers=1)
    shard_lost = store.submit(build_manifest(work_per_s=1.5), submission_id="b").ok
    assert platform.state.switches.lose_answers == 0

    losing = ManifestStore(_Hooked(client, platform))
    index_lost = losing.submit(build_manifest(work_per_s=2.5), submission_id="c").ok

    assert platform.state.switches.lose_answers == 0
    assert not index_lost.superseded
    assert shard_lost.version < index_lost.version == store.read_version().ok


def test_a_submission_is_accepted_though_every_confirmation_is_lost(
    platform: PlatformStandIn, store: ManifestStore
) -> None:
    """The operator is told that the manifest is in force, as it is.

    Each write takes effect and none is confirmed: a shard's creation, its rewriting
    after the conflict with itself, then the index. Found by a scenario that lost 50.
    """
    store.submit(build_manifest(), submission_id="a")
    platform.state.switch(lose_answers=1000)

    accepted = store.submit(build_manifest(work_per_s=1.5), submission_id="b").ok

    assert not accepted.superseded
    assert accepted.version == store.read_version().ok


def test_a_winner_with_a_lost_confirmation_is_told_so_after_a_later_one_won(
    platform: PlatformStandIn, store: ManifestStore, client: HttpPlatformClient
) -> None:
    """The confirmation is lost, and another operator's manifest follows at once.

    What reads back is the other's index. It names the submissions before it, so the
    first operator learns that its manifest was in force and has been superseded.
    """
    store.submit(build_manifest(), submission_id="a")
    later = build_manifest(work_per_s=2.0)
    overtaken = ManifestStore(
        _Hooked(client, platform, lambda: store.submit(later, submission_id="later"))
    )

    accepted = overtaken.submit(build_manifest(work_per_s=1.5), submission_id="b").ok

    assert accepted.superseded
    _, assembly = store.fetch().ok or (0, None)
    assert assembly is not None
    assert assembly.index_object.submission_id == "later"
    assert assembly.index_object.earlier_submission_ids == ("b", "a")


def test_replaced_shards_are_removed_after_a_while(
    store: ManifestStore, client: HttpPlatformClient
) -> None:
    for number in range(24):
        manifest = build_manifest(work_per_s=1.0 + number)
        assert store.submit(manifest, submission_id=str(number)).is_ok()

    # The two in force and the one that each of the last 16 submissions replaced.
    assert len(client.keys(SHARD_PREFIX).ok) == 2 + 16
    assert store.fetch().is_ok()


def test_a_shard_that_is_used_again_is_not_removed(
    platform: PlatformStandIn, store: ManifestStore, client: HttpPlatformClient
) -> None:
    """An operator's command is paused just before it removes a shard long replaced.

    Meanwhile another operator submits the very content of that shard. The paused
    command wakes and removes it: the manifest in force would name a shard that is gone,
    and processes that start would have none. The removal names an earlier version of
    the shard and fails.
    """
    old = build_manifest(work_per_s=0.5)
    store.submit(old, submission_id="old")
    for number in range(16):
        store.submit(build_manifest(work_per_s=1.0 + number), submission_id=str(number))
    paused = ManifestStore(
        _HookedRemoval(
            client, platform, lambda: store.submit(old, submission_id="again")
        )
    )

    assert paused.submit(build_manifest(work_per_s=99.0), submission_id="p").is_ok()

    _, assembly = store.fetch().ok or (0, None)
    assert assembly is not None
    assert assembly.index_object.submission_id == "again"
    assert assembly.manifest == old


def test_an_outage_before_the_index_means_not_accepted_and_after_it_doubt(
    platform: PlatformStandIn, client: HttpPlatformClient
) -> None:
    """The platform goes down before anything is written, or as the index is written.

    Before, the operator is told that nothing was accepted, which is true. As the index
    is written, nobody can know until the platform is back: the operator is told that
    too, with the submission's id, and never a guess.
    """
    store = ManifestStore(client, retry_timeout_s=0.6)
    platform.state.switch(outage="down")
    assert isinstance(
        store.submit(build_manifest(), submission_id="a").error, PlatformFailure
    )
    platform.state.switch(outage="off")
    store.submit(build_manifest(), submission_id="b")

    class Fails:
        def __getattr__(self, name: str) -> Any:
            return getattr(client, name)

        def update(self, key: str, value: bytes, *, version: int) -> Any:
            platform.state.switch(outage="down")
            return client.update(key, value, version=version)

    result = ManifestStore(Fails(), retry_timeout_s=0.6).submit(
        build_manifest(), submission_id="c"
    )

    assert isinstance(result.error, UnknownOutcome)
    assert result.error.submission_id == "c"


def test_a_rate_limit_delays_a_submission_but_does_not_fail_it(
    platform: PlatformStandIn, client: HttpPlatformClient
) -> None:
    platform.state.switch(writes_per_s=3)

    accepted = ManifestStore(client).submit(
        build_manifest(organisations=12_000), submission_id="a"
    )

    assert accepted.ok.shards_written == 5
    assert platform.state.calls["refused"] > 0
