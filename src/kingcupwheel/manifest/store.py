"""Store of manifests on the platform: submission, and reading the current one."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING
from typing import NamedTuple

from expression import Error
from expression import Ok
from expression import Result

from kingcupwheel.manifest.assembly import AssembledManifest
from kingcupwheel.manifest.assembly import assemble_manifest
from kingcupwheel.manifest.exceptions import MissingObject
from kingcupwheel.manifest.exceptions import PlatformFailure
from kingcupwheel.manifest.exceptions import VersionConflict
from kingcupwheel.manifest.platform_retries import PlatformRetrier
from kingcupwheel.manifest.platform_retries import describe_platform_error
from kingcupwheel.manifest.shards import INDEX_KEY
from kingcupwheel.manifest.shards import list_expiring_shard_keys
from kingcupwheel.manifest.shards import shard_manifest
from kingcupwheel.manifest.submission_writer import SubmissionWriter


if TYPE_CHECKING:
    from kingcupwheel.manifest.exceptions import FetchError
    from kingcupwheel.manifest.exceptions import SubmitError
    from kingcupwheel.manifest.schema import Manifest
    from kingcupwheel.manifest.shards import ShardedManifest
    from kingcupwheel.manifest.submission_writer import BaseIndex
    from kingcupwheel.platform.client import PlatformClient

# How long a submission is retried while an operator or a pipeline waits. A longer
# failure is an outage of the platform, which is better reported.
DEFAULT_RETRY_TIMEOUT_S = 20.0


class AcceptedSubmission(NamedTuple):
    """A submission that was accepted as ``version``.

    ``shards_written`` and ``shards_reused`` count its shards. If ``superseded``, a
    later manifest is already in force, and ``version`` is that manifest's.
    """

    version: int
    submission: str
    shards_written: int
    shards_reused: int
    superseded: bool


class ManifestStore:
    """Store of manifests; ``retry_timeout_s`` limits the retries of a submission."""

    def __init__(
        self,
        client: PlatformClient,
        *,
        retry_timeout_s: float = DEFAULT_RETRY_TIMEOUT_S,
    ) -> None:
        self._client = client
        self._retry_timeout_s = retry_timeout_s

    def submit(
        self,
        manifest: Manifest,
        *,
        submission_id: str,
        expected_version: int | None = None,
    ) -> Result[AcceptedSubmission, SubmitError]:
        """Put a validated ``manifest`` in force atomically.

        ``submission_id`` must be new and unique. ``expected_version`` is the version
        that the manifest is based on, by default the current one. Shards are written
        first and the index last, by one conditional update, so that no process can read
        a partial manifest.
        """
        writer = SubmissionWriter(self._client, PlatformRetrier(self._retry_timeout_s))
        base = writer.read_base_index()
        if base.is_error():
            return Error(base.error)
        if expected_version is not None and expected_version != base.ok.version:
            return Error(VersionConflict(expected_version, base.ok.version))
        sharded = shard_manifest(
            manifest, submission_id=submission_id, previous_index=base.ok.previous_index
        )
        if sharded.is_error():
            return Error(sharded.error)
        return _submit(writer, sharded.ok, base.ok)

    def fetch(self) -> Result[tuple[int, AssembledManifest] | None, FetchError]:
        """Return the current version and manifest, or None if there is none."""
        found = self._client.read(INDEX_KEY)
        if found.is_error():
            return Error(PlatformFailure(describe_platform_error(found.error)))
        if found.ok is None:
            return Ok(None)
        version = found.ok.version
        return assemble_manifest(
            found.ok.value, partial(read_object, self._client)
        ).map(lambda assembly: (version, assembly))

    def read_version(self) -> Result[int, FetchError]:
        """Return the current version, 0 if there is none."""
        found = self._client.read(INDEX_KEY)
        if found.is_error():
            return Error(PlatformFailure(describe_platform_error(found.error)))
        return Ok(0 if found.ok is None else found.ok.version)


def read_object(client: PlatformClient, key: str) -> Result[bytes, FetchError]:
    """Return the value of an object; a missing object is an error."""
    found = client.read(key)
    if found.is_error():
        return Error(PlatformFailure(describe_platform_error(found.error)))
    return Error(MissingObject(key)) if found.ok is None else Ok(found.ok.value)


def _submit(
    writer: SubmissionWriter, sharded: ShardedManifest, base: BaseIndex
) -> Result[AcceptedSubmission, SubmitError]:
    written_count = writer.write_shards(sharded.shards_by_key, base.previous_index)
    if written_count.is_error():
        return Error(written_count.error)
    # Versions are read before the update, whose success proves that no submission was
    # accepted meanwhile. A submitter that reuses one of these shards therefore raises
    # its version afterwards, and the conditional delete fails.
    expiring = writer.read_versions(list_expiring_shard_keys(base.previous_index))
    accepted = writer.write_index(sharded.index_object, base)
    if accepted.is_error():
        return Error(accepted.error)
    writer.delete_unchanged(expiring)
    return Ok(
        AcceptedSubmission(
            version=accepted.ok.version,
            submission=sharded.index_object.submission_id,
            shards_written=written_count.ok,
            shards_reused=len(sharded.shards_by_key) - written_count.ok,
            superseded=accepted.ok.superseded,
        )
    )
