"""Submitting a manifest to the platform and reading the one in force."""

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

# How long a submission goes on trying. Operators wait at a terminal or a pipeline does;
# past this the platform is in an outage and they are better told so.
DEFAULT_RETRY_TIMEOUT_S = 20.0


class AcceptedSubmission(NamedTuple):
    """A manifest that is in force from ``version`` on, until a later one.

    ``shards_written`` and ``shards_reused`` count its shards; ``superseded`` tells that
    a later manifest, of that version, is in force already.
    """

    version: int
    submission: str
    shards_written: int
    shards_reused: int
    superseded: bool


class ManifestStore:
    """Manifests in the platform's service; ``patience_s`` bounds a submission."""

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
        """Put a checked ``manifest`` in force, whole or not at all.

        ``submission`` is a fresh unique id. ``expected`` is the version the operator
        saw, by default the one in force now. Shards go first and the index last, by one
        conditional update, so that nobody ever reads half of a manifest.
        """
        submitter = SubmissionWriter(
            self._client, PlatformRetrier(self._retry_timeout_s)
        )
        base = submitter.read_base()
        if base.is_error():
            return Error(base.error)
        if expected_version is not None and expected_version != base.ok.version:
            return Error(VersionConflict(expected_version, base.ok.version))
        sharded = shard_manifest(
            manifest, submission_id=submission_id, previous_index=base.ok.previous_index
        )
        if sharded.is_error():
            return Error(sharded.error)
        return _submit(submitter, sharded.ok, base.ok)

    def fetch(self) -> Result[tuple[int, AssembledManifest] | None, FetchError]:
        """Return the manifest in force and its version, or None if there is none."""
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
        """Return the version in force, 0 if there is none."""
        found = self._client.read(INDEX_KEY)
        if found.is_error():
            return Error(PlatformFailure(describe_platform_error(found.error)))
        return Ok(0 if found.ok is None else found.ok.version)


def read_object(client: PlatformClient, key: str) -> Result[bytes, FetchError]:
    """Return the value of an object that has to exist."""
    found = client.read(key)
    if found.is_error():
        return Error(PlatformFailure(describe_platform_error(found.error)))
    return Error(MissingObject(key)) if found.ok is None else Ok(found.ok.value)


def _submit(
    writer: SubmissionWriter, sharded: ShardedManifest, base: BaseIndex
) -> Result[AcceptedSubmission, SubmitError]:
    written = writer.write_shards(sharded.shards_by_key, base.previous_index)
    if written.is_error():
        return Error(written.error)
    # Versions are read before the update: that it succeeds proves that no submission
    # came between, so whoever uses one of these shards again raises its version later.
    expiring = writer.read_versions(list_expiring_shard_keys(base.previous_index))
    won = writer.write_index(sharded.index_object, base)
    if won.is_error():
        return Error(won.error)
    writer.delete_unchanged(expiring)
    return Ok(
        AcceptedSubmission(
            version=won.ok.version,
            submission=sharded.index_object.submission_id,
            shards_written=written.ok,
            shards_reused=len(sharded.shards_by_key) - written.ok,
            superseded=won.ok.superseded,
        )
    )
