"""Assembles a manifest from its stored objects, reusing unchanged shards."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import NamedTuple

from expression import Error
from expression import Ok
from expression import Result

from kingcupwheel.manifest.exceptions import FetchError
from kingcupwheel.manifest.exceptions import InvalidObject
from kingcupwheel.manifest.shards import ManifestCore
from kingcupwheel.manifest.shards import ManifestIndex
from kingcupwheel.manifest.shards import decode_bucket
from kingcupwheel.manifest.shards import decode_core
from kingcupwheel.manifest.shards import decode_index
from kingcupwheel.manifest.shards import join_shards
from kingcupwheel.manifest.shards import shard_key


if TYPE_CHECKING:
    from collections.abc import Mapping

    from kingcupwheel.manifest.schema import Manifest
    from kingcupwheel.manifest.schema import Organisation

# Returns the value of the object with the given key.
ObjectSource = Callable[[str], Result[bytes, FetchError]]


class OrganisationBucket(NamedTuple):
    """A decoded shard of organisations and its stored value."""

    value: bytes
    organisations: tuple[Organisation, ...]


class AssembledManifest(NamedTuple):
    """A manifest and the objects that it was assembled from.

    ``buckets_by_digest`` is empty if it was assembled without organisations.
    """

    index_value: bytes
    index_object: ManifestIndex
    core_value: bytes
    core: ManifestCore
    buckets_by_digest: Mapping[str, OrganisationBucket]

    @property
    def manifest(self) -> Manifest:
        """The complete manifest, with organisations sorted by name."""
        buckets = self.buckets_by_digest.values()
        return join_shards(self.core, (bucket.organisations for bucket in buckets))


class FetchedObjectCache:
    """Cache of the objects read in failed attempts to assemble one manifest.

    If an attempt that exceeds the platform's rate limit started over with the first
    shard, many processes starting at once would keep the platform at its limit. Objects
    are kept until an attempt succeeds or the index changes; keys are digests, so cached
    values can't be stale.
    """

    def __init__(self) -> None:
        self._index_value = b""
        self._values_by_key: dict[str, bytes] = {}

    def wrap(self, source: ObjectSource, index_value: bytes) -> ObjectSource:
        """Return ``source`` with the objects cached for this index in front of it."""
        if index_value != self._index_value:
            self.clear()
            self._index_value = index_value

        def read(key: str) -> Result[bytes, FetchError]:
            cached = self._values_by_key.get(key)
            if cached is not None:
                return Ok(cached)
            value = source(key)
            if value.is_ok():
                self._values_by_key[key] = value.ok
            return value

        return read

    def clear(self) -> None:
        """Remove all objects."""
        self._values_by_key.clear()


def assemble_manifest(
    index_value: bytes,
    source: ObjectSource,
    *,
    previous: AssembledManifest | None = None,
    with_organisations: bool = True,
) -> Result[AssembledManifest, FetchError]:
    """Assemble the manifest whose encoded index is ``index_value``.

    Shards that are in ``previous`` are reused; all others are read from ``source`` and
    verified against their digests.
    """
    index = decode_index(index_value)
    if index.is_error():
        return Error(index.error)
    core = _load_core(index.ok, source, previous)
    if core.is_error():
        return Error(core.error)
    digests = index.ok.bucket_digests if with_organisations else ()
    buckets = _load_buckets(digests, source, previous)
    if buckets.is_error():
        return Error(buckets.error)
    return Ok(AssembledManifest(index_value, index.ok, *core.ok, buckets.ok))


def _load_core(
    index: ManifestIndex, source: ObjectSource, previous: AssembledManifest | None
) -> Result[tuple[bytes, ManifestCore], FetchError]:
    if previous is not None and previous.index_object.core_digest == index.core_digest:
        return Ok((previous.core_value, previous.core))
    value = source(shard_key(index.core_digest))
    if value.is_error():
        return Error(value.error)
    decoded: Result[ManifestCore, InvalidObject] = decode_core(
        index.core_digest, value.ok
    )
    return Ok((value.ok, decoded.ok)) if decoded.is_ok() else Error(decoded.error)


def _load_buckets(
    digests: tuple[str, ...], source: ObjectSource, previous: AssembledManifest | None
) -> Result[dict[str, OrganisationBucket], FetchError]:
    previous_buckets = {} if previous is None else previous.buckets_by_digest
    buckets_by_digest: dict[str, OrganisationBucket] = {}
    for digest in digests:
        bucket = previous_buckets.get(digest)
        if bucket is not None:
            buckets_by_digest[digest] = bucket
            continue
        value = source(shard_key(digest))
        if value.is_error():
            return Error(value.error)
        decoded = decode_bucket(digest, value.ok)
        if decoded.is_error():
            return Error(decoded.error)
        buckets_by_digest[digest] = OrganisationBucket(value.ok, decoded.ok)
    return Ok(buckets_by_digest)
