from __future__ import annotations

from threading import Barrier
from threading import Thread
from typing import TYPE_CHECKING

from kingcupwheel.manifest.exceptions import LostRace
from kingcupwheel.manifest.exceptions import PlatformFailed
from kingcupwheel.manifest.exceptions import Unsettled
from kingcupwheel.manifest.store import ManifestStore
from tests.manifest.builders import build_manifest


if TYPE_CHECKING:
    from typing import Any

    from expression import Result

    from kingcupwheel.platform.errors import PlatformError
    from kingcupwheel.platform.http import HttpPlatformClient
    from tests.standins.platform import PlatformStandIn


def test_a_submitted_manifest_is_read_back_whole(store: ManifestStore) -> None:
    assert store.fetch().ok is None
    manifest = build_manifest(organisations=2000)

    first = store.submit(manifest, submission="a").ok
    version, assembly = store.fetch().ok or (0, None)

    assert first.version == version
    assert (first.shards_written, first.shards_reused) == (3, 0)
    assert assembly is not None
    assert assembly.manifest == manifest
    changed = build_manifest(organisations=2000, work_per_s=7.0)
    second = store.submit(changed, submission="b", expected=version).ok
    assert (second.shards_written, second.shards_reused) == (1, 2)


def test_of_two_racing_operators_one_wins_and_the_other_is_told(
    store: ManifestStore, client: HttpPlatformClient
) -> None:
    """Eight operators saw the same version and submit different manifests at once.

    One conditional update can succeed on that version. Exactly one operator is told
    that its manifest is in force, and it is the one that reads back; every other is
    told which version came first.
    """
    seen = store.submit(build_manifest(), submission="seen").ok.version
    together = Barrier(8)
    results: dict[str, Result[Any, Any]] = {}

    def submit(name: str, work_per_s: float) -> None:
        manifest = build_manifest(work_per_s=work_per_s)
        together.wait()
        results[name] = ManifestStore(client).submit(
            manifest, submission=name, expected=seen
        )

    threads = [Thread(target=submit, args=(f"s{n}", 10.0 + n)) for n in range(8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(30.0)

    winners = [name for name, result in results.items() if result.is_ok()]
    version, assembly = store.fetch().ok or (0, None)
    assert assembly is not None
    assert winners == [assembly.index_object.submission]
    losers = [result.error for result in results.values() if result.is_error()]
    assert losers == [LostRace(seen, version)] * 7


def test_a_lost_confirmation_is_settled_by_reading_back(
    platform: PlatformStandIn, store: ManifestStore
) -> None:
    """Every write of a submission takes effect and loses its answer once.

    The repeated update conflicts with the operator's own first one. The submission id
    in the index shows that, so the operator is told that the manifest is in force.
    """
    base = store.submit(build_manifest(), submission="a").ok.version
    # One new shard, whose create is repeated, then the index.
    platform.state.switch(lose_answers=1)
    shard_lost = store.submit(build_manifest(work_per_s=1.5), submission="b").ok
    platform.state.switch(lose_answers=1)
    index_lost = store.submit(build_manifest(), submission="c", expected=None).ok

    assert base < shard_lost.version < index_lost.version
    assert index_lost == index_lost._replace(superseded=False)
    found = store.fetch().ok
    assert found is not None
    assert found[0] == index_lost.version


class _Overtaken:
    """Passes calls on; another submission follows right after the first update."""

    def __init__(self, client: HttpPlatformClient, other: ManifestStore) -> None:
        self._client = client
        self._other = other
        self._updates = 0

    def __getattr__(self, name: str) -> Any:
        return getattr(self._client, name)

    def update(
        self, key: str, value: bytes, *, version: int
    ) -> Result[int, PlatformError]:
        result = self._client.update(key, value, version=version)
        self._updates += 1
        if self._updates == 1:
            self._other.submit(build_manifest(work_per_s=2.0), submission="later")
        return result


def test_a_winner_with_a_lost_confirmation_is_told_so_after_a_later_one_won(
    platform: PlatformStandIn, store: ManifestStore, client: HttpPlatformClient
) -> None:
    """The confirmation is lost, and another operator's manifest follows at once.

    What reads back is the other's index. It names the submissions before it, so the
    first operator learns that its manifest was in force and has been superseded.
    """
    store.submit(build_manifest(), submission="a")
    store.submit(build_manifest(work_per_s=1.5), submission="b")
    platform.state.switch(lose_answers=1)

    accepted = (
        ManifestStore(_Overtaken(client, store))
        .submit(build_manifest(), submission="c")
        .ok
    )

    assert accepted.superseded
    _, assembly = store.fetch().ok or (0, None)
    assert assembly is not None
    assert assembly.index_object.submission == "later"
    assert assembly.index_object.earlier == ("c", "b", "a")


def test_an_outage_before_the_index_means_not_accepted_and_after_it_doubt(
    platform: PlatformStandIn, client: HttpPlatformClient
) -> None:
    """The platform goes down before anything is written, or as the index is written.

    Before, the operator is told that nothing was accepted, which is true. As the index
    is written, nobody can know until the platform is back: the operator is told that
    too, with the submission's id, and never a guess.
    """
    store = ManifestStore(client, patience_s=0.6)
    platform.state.switch(outage="down")
    assert isinstance(
        store.submit(build_manifest(), submission="a").error, PlatformFailed
    )
    platform.state.switch(outage="off")
    store.submit(build_manifest(), submission="b")

    class Fails:
        def __getattr__(self, name: str) -> Any:
            return getattr(client, name)

        def update(self, key: str, value: bytes, *, version: int) -> Any:
            platform.state.switch(outage="down")
            return client.update(key, value, version=version)

    result = ManifestStore(Fails(), patience_s=0.6).submit(
        build_manifest(), submission="c"
    )

    assert isinstance(result.error, Unsettled)
    assert result.error.submission == "c"


def test_a_rate_limit_delays_a_submission_but_does_not_fail_it(
    platform: PlatformStandIn, client: HttpPlatformClient
) -> None:
    platform.state.switch(writes_per_s=3)

    accepted = ManifestStore(client).submit(
        build_manifest(organisations=3000), submission="a"
    )

    assert accepted.ok.shards_written == 5
    assert platform.state.calls["refused"] > 0
