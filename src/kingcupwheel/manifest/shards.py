"""Storage format of a manifest: an index object and content-addressed shards.

Objects are limited to a megabyte, too small for 43,000 organisations. These are hashed
by name into buckets, so that a change of one organisation rewrites one bucket. Groups,
routes and the rest form the core shard, which is all that an agent needs. The index
refers to each shard by its digest, so the content of an index can't change.
"""

from __future__ import annotations

import zlib
from hashlib import sha256
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import msgspec
from expression import Error
from expression import Ok
from expression import Result

from kingcupwheel.manifest.exceptions import InvalidObject
from kingcupwheel.manifest.exceptions import ObjectTooLarge
from kingcupwheel.manifest.schema import Goals
from kingcupwheel.manifest.schema import Manifest
from kingcupwheel.manifest.schema import Organisation
from kingcupwheel.manifest.schema import Retention
from kingcupwheel.manifest.schema import Route
from kingcupwheel.manifest.schema import ServerGroup
from kingcupwheel.platform.client import MAX_VALUE_BYTES
from kingcupwheel.utils.structs import StrictStruct


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

INDEX_KEY = "manifest/index"
SHARD_PREFIX = "manifest/shards/"

# Size limit of a packed bucket. When one organisation changes, each entry reads one
# bucket: 720 changes a day of this size are 1.3 KB/s of its 11 KB/s. When all of them
# change, or all entries start at once, each entry reads every bucket: with 370 entries
# and 43,000 organisations that is under 7,000 reads, which take the platform less than
# 4 s.
_MAX_BUCKET_BYTES = 160_000
# The number of buckets is halved when the largest is below this size. The gap to the
# limit keeps the number, and thus all shards, stable while organisations are added and
# removed.
_BUCKET_MERGE_BYTES = _MAX_BUCKET_BYTES // 8
_MAX_BUCKETS = 4096
# Size limit of an unpacked shard, so that a corrupt one can't exhaust memory.
_MAX_UNPACKED_BYTES = 16_000_000
_COMPRESSION_LEVEL = 6
# Earlier submissions listed in an index, so that a submitter whose confirmation was
# lost can tell that it was accepted even if others have been accepted since.
_MAX_EARLIER_SUBMISSIONS = 32
# Replaced shards are kept for this number of submissions, so that a process that read
# an index just before it was replaced still finds its shards; at 720 changes a day that
# is 30 min.
_MAX_RETIRED_SUBMISSIONS = 16


class ManifestIndex(StrictStruct, frozen=True):
    """Index of the shards of a manifest version, by their SHA-256 digests.

    ``earlier_submission_ids`` are those before it, latest first. ``core_digest`` is the
    shard of groups, routes and the rest; the number of buckets of organisations is a
    power of two. ``retired_digests`` are the shards that each of the last submissions
    replaced, latest first.
    """

    submission_id: str = msgspec.field(name="submission")
    core_digest: str = msgspec.field(name="core")
    bucket_digests: tuple[str, ...] = msgspec.field(name="organisations")
    earlier_submission_ids: tuple[str, ...] = msgspec.field(default=(), name="earlier")
    retired_digests: tuple[tuple[str, ...], ...] = msgspec.field(
        default=(), name="retired"
    )

    @property
    def shard_digests(self) -> tuple[str, ...]:
        """The digests of all shards, that of the core first."""
        return (self.core_digest, *self.bucket_digests)

    @property
    def shard_keys(self) -> tuple[str, ...]:
        """The keys of all shards, that of the core first."""
        return tuple(shard_key(each) for each in self.shard_digests)


class ManifestCore(StrictStruct, frozen=True):
    """A manifest without its organisations."""

    groups: tuple[ServerGroup, ...]
    routes: tuple[Route, ...]
    goals: Goals
    retention: Retention


class ShardedManifest(NamedTuple):
    """A manifest split into its index and encoded shards."""

    index_object: ManifestIndex
    shards_by_key: Mapping[str, bytes]


def shard_key(digest: str) -> str:
    """Return the key of the shard with this digest."""
    return SHARD_PREFIX + digest


def shard_manifest(
    manifest: Manifest, *, submission_id: str, previous_index: ManifestIndex | None
) -> Result[ShardedManifest, ObjectTooLarge]:
    """Split ``manifest`` into shards and an index that succeeds ``previous_index``."""
    core = ManifestCore(
        groups=manifest.groups,
        routes=manifest.routes,
        goals=manifest.goals,
        retention=manifest.retention,
    )
    core_value = _pack(core)
    values = _pack_buckets(manifest.organisations, previous_index)
    digests = tuple(_compute_digest(value) for value in values)
    index = ManifestIndex(
        submission_id=submission_id,
        core_digest=_compute_digest(core_value),
        bucket_digests=digests,
        earlier_submission_ids=_list_earlier_submission_ids(previous_index),
        retired_digests=_list_retired_digests(
            previous_index, {_compute_digest(core_value), *digests}
        ),
    )
    shards_by_key = {
        shard_key(_compute_digest(value)): value for value in (core_value, *values)
    }
    return _check_sizes(ShardedManifest(index, shards_by_key))


def list_expiring_shard_keys(previous_index: ManifestIndex | None) -> tuple[str, ...]:
    """Return the retired shards that a successor of ``previous_index`` drops."""
    if (
        previous_index is None
        or len(previous_index.retired_digests) < _MAX_RETIRED_SUBMISSIONS
    ):
        return ()
    return tuple(shard_key(digest) for digest in previous_index.retired_digests[-1])


def join_shards(
    core: ManifestCore, buckets: Iterable[tuple[Organisation, ...]]
) -> Manifest:
    """Return the manifest of the shards, with organisations sorted by name."""
    organisations = [each for bucket in buckets for each in bucket]
    return Manifest(
        organisations=_sort_by_name(organisations),
        groups=core.groups,
        routes=core.routes,
        goals=core.goals,
        retention=core.retention,
    )


def encode_index(index: ManifestIndex) -> bytes:
    """Return the value of the index object, which is JSON."""
    return msgspec.json.encode(index)


def decode_index(value: bytes) -> Result[ManifestIndex, InvalidObject]:
    """Return the index in the value of an index object."""
    try:
        return Ok(msgspec.json.decode(value, type=ManifestIndex))
    except msgspec.DecodeError as error:
        return Error(InvalidObject(INDEX_KEY, str(error)))


def decode_core(digest: str, value: bytes) -> Result[ManifestCore, InvalidObject]:
    """Return the decoded core shard if ``value`` matches the digest."""
    return _unpack(digest, value, ManifestCore)


def decode_bucket(
    digest: str, value: bytes
) -> Result[tuple[Organisation, ...], InvalidObject]:
    """Return the organisations of a bucket if ``value`` matches the digest."""
    return _unpack(digest, value, tuple[Organisation, ...])


def _pack_buckets(
    organisations: tuple[Organisation, ...], previous_index: ManifestIndex | None
) -> list[bytes]:
    """Return the packed buckets, whose number is a power of two.

    A change of the number rewrites all buckets, so the previous one is kept unless a
    bucket is too large or all are small.
    """
    buckets = (
        1
        if previous_index is None
        else _floor_power_of_two(len(previous_index.bucket_digests))
    )
    while True:
        values = _pack_into_buckets(buckets, organisations)
        largest = max(len(value) for value in values)
        if largest > _MAX_BUCKET_BYTES and buckets < _MAX_BUCKETS:
            buckets *= 2
        elif largest < _BUCKET_MERGE_BYTES and buckets > 1:
            buckets //= 2
        else:
            return values


def _pack_into_buckets(
    bucket_count: int, organisations: tuple[Organisation, ...]
) -> list[bytes]:
    organisations_by_bucket: list[list[Organisation]] = [
        [] for _ in range(bucket_count)
    ]
    for organisation in organisations:
        bucket = _bucket_index(organisation.name, bucket_count)
        organisations_by_bucket[bucket].append(organisation)
    return [_pack(_sort_by_name(each)) for each in organisations_by_bucket]


def _floor_power_of_two(number: int) -> int:
    """Return the largest power of two that is at most ``number``; at least 1."""
    return 1 << max(0, number.bit_length() - 1)


def _bucket_index(name: str, bucket_count: int) -> int:
    return int.from_bytes(sha256(name.encode()).digest()[:4], "big") % bucket_count


def _sort_by_name(organisations: list[Organisation]) -> tuple[Organisation, ...]:
    return tuple(sorted(organisations, key=lambda each: each.name))


def _list_earlier_submission_ids(
    previous_index: ManifestIndex | None,
) -> tuple[str, ...]:
    if previous_index is None:
        return ()
    return (previous_index.submission_id, *previous_index.earlier_submission_ids)[
        :_MAX_EARLIER_SUBMISSIONS
    ]


def _list_retired_digests(
    previous_index: ManifestIndex | None, used_digests: set[str]
) -> tuple[tuple[str, ...], ...]:
    if previous_index is None:
        return ()
    replaced_digests = tuple(sorted(set(previous_index.shard_digests) - used_digests))
    earlier_digests = [
        tuple(digest for digest in digests if digest not in used_digests)
        for digests in previous_index.retired_digests
    ]
    return (replaced_digests, *earlier_digests)[:_MAX_RETIRED_SUBMISSIONS]


def _check_sizes(sharded: ShardedManifest) -> Result[ShardedManifest, ObjectTooLarge]:
    values_by_key = {
        INDEX_KEY: encode_index(sharded.index_object),
        **sharded.shards_by_key,
    }
    for key, value in values_by_key.items():
        if len(value) > MAX_VALUE_BYTES:
            return Error(ObjectTooLarge(key, len(value), MAX_VALUE_BYTES))
    return Ok(sharded)


def _compute_digest(value: bytes) -> str:
    return sha256(value).hexdigest()


def _pack(content: Any) -> bytes:
    return zlib.compress(msgspec.json.encode(content), _COMPRESSION_LEVEL)


def _unpack(digest: str, value: bytes, content_type: Any) -> Result[Any, InvalidObject]:
    key = shard_key(digest)
    if _compute_digest(value) != digest:
        return Error(InvalidObject(key, "digest mismatch"))
    try:
        decompressor = zlib.decompressobj()
        content = decompressor.decompress(value, _MAX_UNPACKED_BYTES)
        if decompressor.unconsumed_tail:
            return Error(
                InvalidObject(key, f"unpacked size exceeds {_MAX_UNPACKED_BYTES} bytes")
            )
        return Ok(msgspec.json.decode(content, type=content_type))
    except (zlib.error, msgspec.DecodeError) as error:
        return Error(InvalidObject(key, str(error)))
