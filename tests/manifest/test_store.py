from __future__ import annotations

from threading import Barrier
from threading import Thread
from typing import TYPE_CHECKING

from expression import Error

from kingcupwheel.manifest.exceptions import PlatformFailure
from kingcupwheel.manifest.exceptions import UnknownOutcome
from kingcupwheel.manifest.exceptions import VersionConflict
from kingcupwheel.manifest.shards import INDEX_KEY
from kingcupwheel.manifest.shards import SHARD_PREFIX
from kingcupwheel.manifest.store import ManifestStore
from kingcupwheel.platform.errors import Rejected
from kingcupwheel.platform.errors import Unavailable
from tests.manifest.builders import build_manifest


if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from expression import Result

    from kingcupwheel.platform.http import HttpPlatformClient
    from tests.standins.platform import PlatformStandIn


def test_a_submitted_manifest_is_read_back(store: ManifestStore) -> None:
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
    """Eight operators concurrently submit different manifests for the same version.

    Exactly one conditional update succeeds. Its operator's manifest is read back; all
    others get a conflict that reports the accepted version.
    """
    base_version = store.submit(build_manifest(), submission_id="seen").ok.version
    barrier = Barrier(8)
    results: dict[str, Result[Any, Any]] = {}

    def submit(name: str, work_per_s: float) -> None:
        manifest = build_manifest(work_per_s=work_per_s)
        barrier.wait()
        results[name] = ManifestStore(client).submit(
            manifest, submission_id=name, expected_version=base_version
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
    assert losers == [VersionConflict(base_version, version)] * 7


class _IndexUpdateHookClient:
    """Client that loses the response to the first index update, then runs a hook."""

    def __init__(
        self,
        client: HttpPlatformClient,
        platform: PlatformStandIn,
        hook: Callable[[], object] = lambda: None,
    ) -> None:
        self._client = client
        self._platform = platform
        self._hook = hook
        self._called: set[str] = set()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._client, name)

    def update(self, key: str, value: bytes, *, version: int) -> Any:
        if key != INDEX_KEY or "update" in self._called:
            return self._client.update(key, value, version=version)
        self._called.add("update")
        self._platform.state.set_switches(lose_answers=1)
        result = self._client.update(key, value, version=version)
        self._hook()
        return result


class _DeleteHookClient(_IndexUpdateHookClient):
    """Client that runs a hook before the first delete instead."""

    def update(self, key: str, value: bytes, *, version: int) -> Any:
        return self._client.update(key, value, version=version)

    def delete(self, key: str, *, version: int) -> Any:
        if "delete" not in self._called:
            self._called.add("delete")
            self._hook()
        return self._client.delete(key, version=version)


def test_a_lost_confirmation_is_settled_by_reading_back(
    platform: PlatformStandIn, store: ManifestStore, client: HttpPlatformClient
) -> None:
    """The write of a shard, then of the index, takes effect but its response is lost.

    The retry conflicts with the operator's own write. The submission id in the index
    shows this, so the submission is reported as accepted.
    """
    store.submit(build_manifest(), submission_id="a")
    platform.state.set_switches(lose_answers=1)
    shard_lost = store.submit(build_manifest(work_per_s=1.5), submission_id="b").ok
    assert platform.state.switches.lose_answers == 0

    lossy_store = ManifestStore(_IndexUpdateHookClient(client, platform))
    index_lost = lossy_store.submit(
        build_manifest(work_per_s=2.5), submission_id="c"
    ).ok

    assert platform.state.switches.lose_answers == 0
    assert not index_lost.superseded
    assert shard_lost.version < index_lost.version == store.read_version().ok


def test_a_submission_is_accepted_if_all_confirmations_are_lost(
    platform: PlatformStandIn, store: ManifestStore
) -> None:
    """All writes take effect and none is confirmed, as when 50 responses are lost.

    These are a shard's creation, its rewrite after the conflict with that creation, and
    the index. The submission is still reported as accepted.
    """
    store.submit(build_manifest(), submission_id="a")
    platform.state.set_switches(lose_answers=1000)

    accepted = store.submit(build_manifest(work_per_s=1.5), submission_id="b").ok

    assert not accepted.superseded
    assert accepted.version == store.read_version().ok


def test_a_lost_confirmation_is_settled_after_a_later_submission(
    platform: PlatformStandIn, store: ManifestStore, client: HttpPlatformClient
) -> None:
    """The confirmation is lost, and another manifest is accepted before the retry.

    The index that is read back is the other operator's. It lists the earlier
    submissions, so the first one is reported as accepted and superseded.
    """
    store.submit(build_manifest(), submission_id="a")
    later = build_manifest(work_per_s=2.0)
    overtaken_store = ManifestStore(
        _IndexUpdateHookClient(
            client, platform, lambda: store.submit(later, submission_id="later")
        )
    )

    accepted = overtaken_store.submit(
        build_manifest(work_per_s=1.5), submission_id="b"
    ).ok

    assert accepted.superseded
    _, assembly = store.fetch().ok or (0, None)
    assert assembly is not None
    assert assembly.index_object.submission_id == "later"
    assert assembly.index_object.earlier_submission_ids == ("b", "a")


def test_replaced_shards_are_deleted_after_16_submissions(
    store: ManifestStore, client: HttpPlatformClient
) -> None:
    for number in range(24):
        manifest = build_manifest(work_per_s=1.0 + number)
        assert store.submit(manifest, submission_id=str(number)).is_ok()

    # The two current shards and the one replaced by each of the last 16 submissions.
    assert len(client.keys(SHARD_PREFIX).ok) == 2 + 16
    assert store.fetch().is_ok()


def test_a_shard_that_is_reused_is_not_deleted(
    platform: PlatformStandIn, store: ManifestStore, client: HttpPlatformClient
) -> None:
    """A command pauses before it deletes an expired shard; another one reuses it.

    If the delete succeeded, the current index would refer to a missing shard, and new
    processes could not load the manifest. It fails because it is conditional on the
    version of the shard before the reuse.
    """
    old = build_manifest(work_per_s=0.5)
    store.submit(old, submission_id="old")
    for number in range(16):
        store.submit(build_manifest(work_per_s=1.0 + number), submission_id=str(number))
    paused_store = ManifestStore(
        _DeleteHookClient(
            client, platform, lambda: store.submit(old, submission_id="again")
        )
    )

    assert paused_store.submit(
        build_manifest(work_per_s=99.0), submission_id="p"
    ).is_ok()

    _, assembly = store.fetch().ok or (0, None)
    assert assembly is not None
    assert assembly.index_object.submission_id == "again"
    assert assembly.manifest == old


def test_an_outage_during_the_index_update_leaves_the_outcome_unknown(
    platform: PlatformStandIn, client: HttpPlatformClient
) -> None:
    """The platform goes down before any write, or during the write of the index.

    Before any write, the submission is reported as not accepted. During the write of
    the index the outcome can't be known until the platform is back, so it is reported
    as unknown, with the submission's id.
    """
    store = ManifestStore(client, retry_timeout_s=0.6)
    platform.state.set_switches(outage="down")
    assert isinstance(
        store.submit(build_manifest(), submission_id="a").error, PlatformFailure
    )
    platform.state.set_switches(outage="off")
    store.submit(build_manifest(), submission_id="b")

    class OutageClient:
        def __getattr__(self, name: str) -> Any:
            return getattr(client, name)

        def update(self, key: str, value: bytes, *, version: int) -> Any:
            platform.state.set_switches(outage="down")
            return client.update(key, value, version=version)

    result = ManifestStore(OutageClient(), retry_timeout_s=0.6).submit(
        build_manifest(), submission_id="c"
    )

    assert isinstance(result.error, UnknownOutcome)
    assert result.error.submission_id == "c"


def test_rejected_retry_of_an_index_update_leaves_the_outcome_unknown(
    client: HttpPlatformClient,
) -> None:
    """Guards against "not accepted" for a manifest that is in force.

    The first update takes effect and its confirmation is lost. The platform rejects the
    retry for a reason of its own, which proves nothing about the first.
    """
    ManifestStore(client).submit(build_manifest(), submission_id="a")

    class RejectingClient:
        is_first = True

        def __getattr__(self, name: str) -> Any:
            return getattr(client, name)

        def update(self, key: str, value: bytes, *, version: int) -> Any:
            if key == INDEX_KEY and not self.is_first:
                return Error(Rejected(403, "Forbidden"))
            result = client.update(key, value, version=version)
            if key == INDEX_KEY:
                self.is_first = False
                return Error(Unavailable("read timed out", sent=True))
            return result

    result = ManifestStore(RejectingClient()).submit(
        build_manifest(work_per_s=2.5), submission_id="b"
    )

    assert isinstance(result.error, UnknownOutcome)


def test_a_rate_limit_only_delays_a_submission(
    platform: PlatformStandIn, client: HttpPlatformClient
) -> None:
    platform.state.set_switches(writes_per_s=3)

    accepted = ManifestStore(client).submit(
        build_manifest(organisations=12_000), submission_id="a"
    )

    assert accepted.ok.shards_written == 5
    assert platform.state.call_counts["refused"] > 0
