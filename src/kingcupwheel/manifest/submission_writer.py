"""Writes a manifest's objects to the platform: shards first, the index last."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING
from typing import NamedTuple

from expression import Error
from expression import Ok
from expression import Result

from kingcupwheel.manifest.exceptions import PlatformFailure
from kingcupwheel.manifest.exceptions import UnknownOutcome
from kingcupwheel.manifest.exceptions import VersionConflict
from kingcupwheel.manifest.platform_retries import PlatformRetrier
from kingcupwheel.manifest.platform_retries import describe_platform_error
from kingcupwheel.manifest.shards import INDEX_KEY
from kingcupwheel.manifest.shards import ManifestIndex
from kingcupwheel.manifest.shards import decode_index
from kingcupwheel.manifest.shards import encode_index
from kingcupwheel.platform.errors import Conflict
from kingcupwheel.platform.errors import PlatformError
from kingcupwheel.platform.errors import Rejected
from kingcupwheel.platform.errors import Unavailable


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from kingcupwheel.manifest.exceptions import InvalidObject
    from kingcupwheel.manifest.exceptions import SubmitError
    from kingcupwheel.platform.client import PlatformClient
    from kingcupwheel.platform.client import VersionedValue

# Tries to write one shard that another submitter is writing or removing meanwhile.
_MAX_SHARD_TRIES = 5


class BaseIndex(NamedTuple):
    """The index that a submission builds on; version 0 if there is none."""

    version: int
    previous_index: ManifestIndex | None


class AcceptedIndex(NamedTuple):
    """The index is in force from ``version`` on, or was until a later one."""

    version: int
    superseded: bool


class SubmissionWriter:
    """Carries out the steps of one submission; belongs to one thread."""

    def __init__(self, client: PlatformClient, retrier: PlatformRetrier) -> None:
        self._client = client
        self._retrier = retrier

    def read_base(self) -> Result[BaseIndex, SubmitError]:
        """Return what there is to build on."""
        found = self._retrier.call_with_retries(partial(self._client.read, INDEX_KEY))
        if found.is_error():
            return Error(PlatformFailure(describe_platform_error(found.error)))
        if found.ok is None:
            return Ok(BaseIndex(0, None))
        # An index that can't be decoded is replaced; it names nothing to keep.
        index = decode_index(found.ok.value)
        return Ok(BaseIndex(found.ok.version, index.ok if index.is_ok() else None))

    def write_shards(
        self, shards_by_key: Mapping[str, bytes], previous_index: ManifestIndex | None
    ) -> Result[int, SubmitError]:
        """Write what ``previous`` does not name; return how many shards that were."""
        there = set() if previous_index is None else set(previous_index.shard_keys)
        new = [key for key in shards_by_key if key not in there]
        for key in new:
            error = self._write_shard(key, shards_by_key[key])
            if error is not None:
                return Error(PlatformFailure(describe_platform_error(error)))
        return Ok(len(new))

    def _write_shard(self, key: str, value: bytes) -> PlatformError | None:
        """Create the shard, or write it again if it is there; None on success.

        Failure: another submitter removes this shard, which it found retired, right
        after it was found here. Symptom: an index in force names a shard that is gone.
        Writing the same content again raises its version, and removals are conditional
        on a version read earlier (see ``versions_of``), so the removal fails. A version
        above the one found here says as much, whoever raised it: this submitter, whose
        confirmation was lost, or another since.
        """
        error: PlatformError | None = None
        for _ in range(_MAX_SHARD_TRIES):
            result = self._retrier.call_with_retries(
                partial(self._client.create, key, value)
            )
            if result.is_ok():
                return None
            error = result.error
            if not isinstance(error, Conflict):
                return error
            found = error.version
            again = partial(self._client.update, key, value, version=found)
            result = self._retrier.call_with_retries(again)
            if result.is_ok():
                return None
            error = result.error
            if not isinstance(error, Conflict):
                return error
            if error.version > found:
                return None
        return error

    def write_index(
        self, index: ManifestIndex, base: BaseIndex
    ) -> Result[AcceptedIndex, SubmitError]:
        """Make ``index`` the one in force by one conditional update.

        Failure: the update takes effect and its confirmation is lost. Symptom: the
        repeated update conflicts and the winner is told that it lost. Reading back the
        submission id tells who won; an index names the submissions before it, so that
        also holds when another has been accepted since.
        """
        doubt = ""
        while True:
            result = self._put_index(encode_index(index), base.version)
            if result.is_ok():
                return Ok(AcceptedIndex(result.ok, superseded=False))
            match result.error:
                case Conflict():
                    settled = self._resolve_conflict(index, base.version)
                    if settled is not None:
                        return settled
                    doubt = "the platform did not answer when read back"
                case Unavailable(_, sent):
                    doubt = doubt or (
                        describe_platform_error(result.error) if sent else ""
                    )
                case Rejected():
                    return Error(PlatformFailure(describe_platform_error(result.error)))
            if not self._retrier.wait_before_retry(result.error):
                if doubt:
                    return Error(UnknownOutcome(index.submission_id, doubt))
                return Error(PlatformFailure(describe_platform_error(result.error)))

    def read_versions(self, keys: Iterable[str]) -> dict[str, int]:
        """Return the versions of those objects that exist and could be read."""
        version_by_key: dict[str, int] = {}
        for key in keys:
            found = self._client.read(key)
            if found.is_ok() and found.ok is not None:
                version_by_key[key] = found.ok.version
        return version_by_key

    def delete_unchanged(self, version_by_key: Mapping[str, int]) -> None:
        """Remove the objects that are still at these versions; failures are left.

        What can't be removed stays as garbage, which costs nothing but its room.
        """
        for key, version in version_by_key.items():
            self._client.delete(key, version=version)

    def _put_index(self, value: bytes, base_version: int) -> Result[int, PlatformError]:
        if base_version == 0:
            return self._client.create(INDEX_KEY, value)
        return self._client.update(INDEX_KEY, value, version=base_version)

    def _resolve_conflict(
        self, index: ManifestIndex, expected_version: int
    ) -> Result[AcceptedIndex, SubmitError] | None:
        """Return who won, or None if that can't be read now."""
        found = self._client.read(INDEX_KEY)
        if found.is_error() or found.ok is None or found.ok.version <= expected_version:
            # No answer, or a stale one: the update conflicted, so there is a later one.
            return None
        return _check_acceptance(index, found.ok, expected_version)


def _check_acceptance(
    index: ManifestIndex, found: VersionedValue, expected_version: int
) -> Result[AcceptedIndex, SubmitError]:
    current: Result[ManifestIndex, InvalidObject] = decode_index(found.value)
    if current.is_ok() and current.ok.submission_id == index.submission_id:
        return Ok(AcceptedIndex(found.version, superseded=False))
    if current.is_ok() and index.submission_id in current.ok.earlier_submission_ids:
        return Ok(AcceptedIndex(found.version, superseded=True))
    return Error(VersionConflict(expected_version, found.version))
