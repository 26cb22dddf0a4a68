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
    base_manifest = build_manifest()
    manifest = Manifest(
        organisations=organisations,
        groups=base_manifest.groups,
        routes=base_manifest.routes,
    )
    sharded = shard_manifest(manifest, submission_id="s", previous_index=None).ok
    index_value = encode_index(sharded.index_object)
    return CompiledManifest(1, assemble_manifest(index_value, source_of(sharded)).ok)


@given(st.sets(st.text(min_size=1, max_size=8), min_size=1, max_size=20), st.text())
def test_a_key_maps_to_its_organisation_only(
    owners: set[str], unknown_owner: str
) -> None:
    name_by_owner = {owner: f"o{n}" for n, owner in enumerate(sorted(owners))}
    compiled = _compile(
        *(
            Organisation(
                name=name, key_digests=(digest_of(f"{owner}-old"), digest_of(owner))
            )
            for owner, name in name_by_owner.items()
        )
    )

    for owner, name in name_by_owner.items():
        organisation = compiled.find_organisation_by_key(key_of(owner))
        assert organisation is not None
        assert organisation.name == name
    if unknown_owner not in owners and not any(
        f"{o}-old" == unknown_owner for o in owners
    ):
        assert compiled.find_organisation_by_key(key_of(unknown_owner)) is None


def test_digests_with_the_same_prefix_are_distinguished() -> None:
    """Two organisations have keys whose digests share the indexed prefix.

    The key maps to its own organisation, whichever was compiled first, because the full
    digest of each candidate is compared.
    """
    digest = digest_of("right")
    same_prefix = digest[:16] + "0" * 48
    for names in (("a", "b"), ("b", "a")):
        right, wrong = names
        compiled = _compile(
            Organisation(name=right, key_digests=(digest,)),
            Organisation(name=wrong, key_digests=(same_prefix,)),
        )
        organisation = compiled.find_organisation_by_key(key_of("right"))
        assert organisation is not None
        assert organisation.name == right
