from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from kingcupwheel.manifest.assembly import assemble_manifest
from kingcupwheel.manifest.exceptions import InvalidObject
from kingcupwheel.manifest.exceptions import ObjectTooLarge
from kingcupwheel.manifest.schema import Manifest
from kingcupwheel.manifest.schema import Organisation
from kingcupwheel.manifest.schema import Route
from kingcupwheel.manifest.shards import ShardedManifest
from kingcupwheel.manifest.shards import encode_index
from kingcupwheel.manifest.shards import shard_key
from kingcupwheel.manifest.shards import shard_manifest
from kingcupwheel.platform.client import MAX_VALUE_BYTES
from tests.manifest.builders import build_manifest
from tests.manifest.builders import build_organisation
from tests.manifest.builders import digest_of
from tests.manifest.sources import source_of


_ORGANISATIONS = st.lists(
    st.builds(
        build_organisation,
        st.from_regex(r"[a-z][a-z0-9._-]{0,20}", fullmatch=True),
        work_per_s=st.floats(0.1, 1e9),
    ),
    unique_by=lambda each: each.name,
    max_size=40,
)


def _shard(
    manifest: Manifest, previous: ShardedManifest | None = None
) -> ShardedManifest:
    index = None if previous is None else previous.index_object
    return shard_manifest(manifest, submission_id="s", previous_index=index).ok


@given(_ORGANISATIONS)
def test_a_manifest_is_restored_from_its_shards(
    organisations: list[Organisation],
) -> None:
    base_manifest = build_manifest()
    manifest = Manifest(
        organisations=tuple(organisations),
        groups=base_manifest.groups,
        routes=base_manifest.routes,
    )
    sharded = _shard(manifest)

    assembly = assemble_manifest(
        encode_index(sharded.index_object), source_of(sharded)
    ).ok

    by_name = tuple(sorted(organisations, key=lambda each: each.name))
    assert assembly.manifest.organisations == by_name
    assert assembly.manifest.groups == manifest.groups
    assert assembly.manifest.routes == manifest.routes


def test_a_change_of_one_organisation_rewrites_one_shard() -> None:
    before = _shard(build_manifest(organisations=20_000))
    after = _shard(build_manifest(organisations=20_000, work_per_s=7.0), before)

    assert len(before.shards_by_key) == 9
    assert len(after.shards_by_key.keys() - before.shards_by_key.keys()) == 1


def test_the_bucket_count_is_stable_when_organisations_are_added_and_removed() -> None:
    """A bucket exceeds its limit and is split; then organisations are removed.

    Without hysteresis each change around the limit would rewrite all shards. The count
    decreases only when all buckets are small.
    """
    below = _shard(build_manifest(organisations=3000))
    above = _shard(build_manifest(organisations=4500), below)
    below_again = _shard(build_manifest(organisations=3000), above)
    small = _shard(build_manifest(organisations=300), below_again)

    counts = [
        len(each.index_object.bucket_digests) for each in (below, above, below_again)
    ]
    assert counts == [1, 2, 2]
    assert len(small.index_object.bucket_digests) == 1


def test_values_for_43000_organisations_are_far_below_the_limit() -> None:
    sharded = _shard(build_manifest(organisations=43_000))

    sizes = [len(value) for value in sharded.shards_by_key.values()]
    assert max(sizes) <= 160_000 < MAX_VALUE_BYTES / 5
    assert len(sizes) == 17
    assert len(encode_index(sharded.index_object)) < MAX_VALUE_BYTES / 100


def test_organisations_with_many_keys_get_more_buckets() -> None:
    base_manifest = build_manifest()
    organisations = tuple(
        Organisation(
            name=f"o{n}",
            key_digests=tuple(digest_of(f"{n}-{key}") for key in range(64)),
        )
        for n in range(1000)
    )
    manifest = Manifest(
        organisations=organisations,
        groups=base_manifest.groups,
        routes=base_manifest.routes,
    )

    sizes = [len(value) for value in _shard(manifest).shards_by_key.values()]

    assert max(sizes) <= 160_000


def test_a_shard_over_the_limit_is_rejected() -> None:
    base_manifest = build_manifest()
    routes = tuple(
        Route(path=f"/{index}/{hash((index, seed))}", group="bundles")
        for index in range(40_000)
        for seed in range(2)
    )
    manifest = Manifest(
        organisations=base_manifest.organisations,
        groups=base_manifest.groups,
        routes=routes,
    )

    error = shard_manifest(manifest, submission_id="s", previous_index=None).error

    assert isinstance(error, ObjectTooLarge)


def test_a_corrupt_shard_is_rejected() -> None:
    sharded = _shard(build_manifest())
    core = shard_key(sharded.index_object.core_digest)
    corrupt = sharded._replace(
        shards_by_key={**sharded.shards_by_key, core: b"something else"}
    )

    result = assemble_manifest(encode_index(sharded.index_object), source_of(corrupt))

    assert result.error == InvalidObject(core, "digest mismatch")
