from __future__ import annotations

from threading import Thread
from typing import TYPE_CHECKING

from hypothesis import given
from hypothesis import strategies as st

from kingcupwheel.manifest.assembly import AssembledManifest
from kingcupwheel.manifest.assembly import assemble_manifest
from kingcupwheel.manifest.current_manifest import CurrentManifest
from kingcupwheel.manifest.shards import INDEX_KEY
from kingcupwheel.manifest.shards import encode_index
from kingcupwheel.manifest.shards import shard_manifest
from tests.manifest.builders import build_manifest
from tests.manifest.sources import source_of


if TYPE_CHECKING:
    from kingcupwheel.messages.membership import ManifestObject


def _assembly(submission: str) -> AssembledManifest:
    sharded = shard_manifest(
        build_manifest(), submission_id=submission, previous_index=None
    ).ok
    return assemble_manifest(encode_index(sharded.index_object), source_of(sharded)).ok


_ASSEMBLIES_BY_VERSION = {version: _assembly(str(version)) for version in range(1, 9)}


@given(
    st.lists(
        st.lists(st.sampled_from(sorted(_ASSEMBLIES_BY_VERSION)), max_size=8),
        min_size=1,
        max_size=3,
    )
)
def test_no_order_of_reads_brings_back_an_earlier_version(
    reads_by_thread: list[list[int]],
) -> None:
    """Threads adopt versions in any order, as stale reads and peers may return them.

    Listeners and readers only see increasing versions, the highest version remains, and
    the index sent to peers always belongs to the version sent with it.
    """
    current_manifest = CurrentManifest()
    notified_versions: list[int] = []
    replies: list[tuple[int, ManifestObject]] = []
    current_manifest.subscribe(
        lambda manifest: notified_versions.append(manifest.version)
    )

    def adopt(versions: list[int]) -> None:
        for version in versions:
            current_manifest.adopt(version, _ASSEMBLIES_BY_VERSION[version])
            replies.append((version, current_manifest.get_object(INDEX_KEY)))

    threads = [Thread(target=adopt, args=(reads,)) for reads in reads_by_thread]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(10.0)

    assert notified_versions == sorted(set(notified_versions))
    highest = max(
        (version for reads in reads_by_thread for version in reads), default=0
    )
    assert current_manifest.version == highest
    assert (notified_versions or [0])[-1] == highest
    for version, reply in replies:
        assert reply.version >= version
        assert reply.value == _ASSEMBLIES_BY_VERSION[reply.version].index_value
