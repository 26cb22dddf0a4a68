from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from kingcupwheel.manifest.assembly import assemble_manifest
from kingcupwheel.manifest.compiled_manifest import CompiledManifest
from kingcupwheel.manifest.schema import Manifest
from kingcupwheel.manifest.schema import Organisation
from kingcupwheel.manifest.shards import encode_index
from kingcupwheel.manifest.shards import shard_manifest
from tests.manifest.builders import build_manifest
from tests.manifest.builders import digest_of
from tests.manifest.builders import key_of
from tests.manifest.sources import source_of


def _compile(*organisations: Organisation) -> CompiledManifest:
    plain = build_manifest()
    manifest = Manifest(
        organisations=organisations, groups=plain.groups, routes=plain.routes
    )
    sharded = shard_manifest(manifest, submission_id="s", previous_index=None).ok
    index_value = encode_index(sharded.index_object)
    return CompiledManifest(1, assemble_manifest(index_value, source_of(sharded)).ok)


@given(st.sets(st.text(min_size=1, max_size=8), min_size=1, max_size=20), st.text())
def test_a_key_finds_its_own_organisation_and_no_other(
    owners: set[str], stranger: str
) -> None:
    names_by_owner = {owner: f"o{n}" for n, owner in enumerate(sorted(owners))}
    in_force = _compile(
        *(
            Organisation(
                name=name, key_digests=(digest_of(f"{owner}-old"), digest_of(owner))
            )
            for owner, name in names_by_owner.items()
        )
    )

    for owner, name in names_by_owner.items():
        found = in_force.find_organisation_by_key(key_of(owner))
        assert found is not None
        assert found.name == name
    if stranger not in owners and not any(f"{o}-old" == stranger for o in owners):
        assert in_force.find_organisation_by_key(key_of(stranger)) is None


def test_digests_that_begin_alike_are_told_apart() -> None:
    """Two organisations have keys whose digests share the digits they are found by.

    The caller with one of the keys gets its own organisation, whichever was compiled
    first, because the rest of the digest is compared for each candidate.
    """
    digest = digest_of("right")
    alike = digest[:16] + "0" * 48
    for names in (("a", "b"), ("b", "a")):
        right, wrong = names
        in_force = _compile(
            Organisation(name=right, key_digests=(digest,)),
            Organisation(name=wrong, key_digests=(alike,)),
        )
        found = in_force.find_organisation_by_key(key_of("right"))
        assert found is not None
        assert found.name == right
