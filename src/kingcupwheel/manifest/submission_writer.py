"""Writes the objects of a manifest to the platform, shards first and index last."""

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

# Attempts to write one shard while other submitters write or delete it.
_MAX_SHARD_TRIES = 5


class BaseIndex(NamedTuple):
    """The index that a submission is based on; version 0 if there is none."""

    version: int
    previous_index: ManifestIndex | None


class AcceptedIndex(NamedTuple):
    """An index that was accepted.

    ``version`` is its version, or the current one if it is ``superseded``.
    """

    version: int
    superseded: bool


class SubmissionWriter:
    """Executes the steps of one submission; not thread-safe."""

    def __init__(self, client: PlatformClient, retrier: PlatformRetrier) -> None:
        self._client = client
        self._retrier = retrier

    def read_base_index(self) -> Result[BaseIndex, SubmitError]:
        """Read the current index."""
        found = self._retrier.call_with_retries(partial(self._client.read, INDEX_KEY))
        if found.is_error():
            return Error(PlatformFailure(describe_platform_error(found.error)))
        if found.ok is None:
            return Ok(BaseIndex(0, None))
        # An invalid index is replaced; it refers to no shards that could be reused.
        index = decode_index(found.ok.value)
        return Ok(BaseIndex(found.ok.version, index.ok if index.is_ok() else None))

    def write_shards(
        self, shards_by_key: Mapping[str, bytes], previous_index: ManifestIndex | None
    ) -> Result[int, SubmitError]:
        """Write the shards that ``previous_index`` lacks; return their number."""
        existing_keys = (
            set() if previous_index is None else set(previous_index.shard_keys)
        )
        new_keys = [key for key in shards_by_key if key not in existing_keys]
        for key in new_keys:
            error = self._write_shard(key, shards_by_key[key])
            if error is not None:
                return Error(PlatformFailure(describe_platform_error(error)))
        return Ok(len(new_keys))

    def _write_shard(self, key: str, value: bytes) -> PlatformError | None:
        """Create the shard, or rewrite it if it exists; return None on success.

        An existing shard may be retired, and another submitter about to delete it; the
        current index would then refer to a missing shard. Rewriting it raises its
        version, so that the delete, conditional on a version read earlier (see
        ``read_versions``), fails. A version above the one found here is as good,
        whether raised by this submitter, whose confirmation was lost, or by another.
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
            found_version = error.version
            again = partial(self._client.update, key, value, version=found_version)
            result = self._retrier.call_with_retries(again)
            if result.is_ok():
                return None
            error = result.error
            if not isinstance(error, Conflict):
                return error
            if error.version > found_version:
                return None
        return error

    def write_index(
        self, index: ManifestIndex, base: BaseIndex
    ) -> Result[AcceptedIndex, SubmitError]:
        """Make ``index`` the current one by one conditional update.

        If the update takes effect and its confirmation is lost, the retry conflicts
        with it. The submission id that is read back shows whether this submission was
        accepted; an index lists the earlier ids, so this works even if another
        submission has been accepted since.
        """
        unknown_detail = ""
        while True:
            result = self._put_index(encode_index(index), base.version)
            if result.is_ok():
                return Ok(AcceptedIndex(result.ok, superseded=False))
            match result.error:
                case Conflict():
                    outcome = self._resolve_conflict(index, base.version)
                    if outcome is not None:
                        return outcome
                    unknown_detail = "the platform did not return the current index"
                case Unavailable(_, sent):
                    unknown_detail = unknown_detail or (
                        describe_platform_error(result.error) if sent else ""
                    )
                case Rejected() if unknown_detail:
                    # An earlier update may have taken effect.
                    return Error(UnknownOutcome(index.submission_id, unknown_detail))
                case Rejected():
                    return Error(PlatformFailure(describe_platform_error(result.error)))
            if not self._retrier.wait_before_retry(result.error):
                if unknown_detail:
                    return Error(UnknownOutcome(index.submission_id, unknown_detail))
                return Error(PlatformFailure(describe_platform_error(result.error)))

    def read_versions(self, keys: Iterable[str]) -> dict[str, int]:
        """Return the versions of the objects that exist and can be read."""
        version_by_key: dict[str, int] = {}
        for key in keys:
            found = self._client.read(key)
            if found.is_ok() and found.ok is not None:
                version_by_key[key] = found.ok.version
        return version_by_key

    def delete_unchanged(self, version_by_key: Mapping[str, int]) -> None:
        """Delete the objects that are still at these versions; errors are ignored.

        Objects that can't be deleted remain as garbage, which only takes up space.
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
        """Return whether ``index`` was accepted, or None if it can't be read now."""
        found = self._client.read(INDEX_KEY)
        if found.is_error() or found.ok is None or found.ok.version <= expected_version:
            # No response, or a stale one: the conflict implies a later index.
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
