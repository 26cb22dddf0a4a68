"""Submitting a manifest to the platform and reading the one in force."""

from __future__ import annotations

from functools import partial
from time import monotonic
from time import sleep
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import TypeVar

from expression import Error
from expression import Ok
from expression import Result

from kingcupwheel.manifest.assembly import Assembly
from kingcupwheel.manifest.assembly import assemble
from kingcupwheel.manifest.exceptions import LostRace
from kingcupwheel.manifest.exceptions import MissingObject
from kingcupwheel.manifest.exceptions import PlatformFailed
from kingcupwheel.manifest.exceptions import Unsettled
from kingcupwheel.manifest.shards import INDEX_KEY
from kingcupwheel.manifest.shards import Index
from kingcupwheel.manifest.shards import cut
from kingcupwheel.manifest.shards import decode_index
from kingcupwheel.manifest.shards import encode_index
from kingcupwheel.platform.errors import Conflict
from kingcupwheel.platform.errors import PlatformError
from kingcupwheel.platform.errors import RateLimited
from kingcupwheel.platform.errors import Rejected
from kingcupwheel.platform.errors import Unavailable


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from kingcupwheel.manifest.exceptions import BadObject
    from kingcupwheel.manifest.exceptions import FetchError
    from kingcupwheel.manifest.exceptions import SubmitError
    from kingcupwheel.manifest.schema import Manifest
    from kingcupwheel.platform.client import PlatformClient
    from kingcupwheel.platform.client import Versioned

T = TypeVar("T")

# How long a submission goes on trying. Operators wait at a terminal or a pipeline does;
# past this the platform is in an outage and they are better told so.
DEFAULT_PATIENCE_S = 20.0
_RETRY_S = 0.25


class Accepted(NamedTuple):
    """A manifest that is in force from ``version`` on, until a later one.

    ``shards_written`` and ``shards_reused`` count its shards; ``superseded`` tells that
    a later manifest is in force already.
    """

    version: int
    submission: str
    shards_written: int
    shards_reused: int
    superseded: bool


class _Base(NamedTuple):
    """The index that a submission builds on; version 0 if there is none."""

    version: int
    previous: Index | None


class ManifestStore:
    """Manifests in the platform's service; ``patience_s`` bounds a submission."""

    def __init__(
        self, client: PlatformClient, *, patience_s: float = DEFAULT_PATIENCE_S
    ) -> None:
        self._client = client
        self._patience_s = patience_s

    def submit(
        self, manifest: Manifest, *, submission: str, expected: int | None = None
    ) -> Result[Accepted, SubmitError]:
        """Put a checked ``manifest`` in force, whole or not at all.

        ``submission`` is a fresh unique id. ``expected`` is the version the operator
        saw, by default the one in force now. Shards go first and the index last, by one
        conditional update, so that nobody ever reads half of a manifest.
        """
        deadline = monotonic() + self._patience_s
        base = self._base(deadline)
        if base.is_error():
            return Error(base.error)
        if expected is not None and expected != base.ok.version:
            return Error(LostRace(expected, base.ok.version))
        sharded = cut(manifest, submission=submission, previous=base.ok.previous)
        if sharded.is_error():
            return Error(sharded.error)
        written = self._write_shards(
            sharded.ok.shards_by_key, base.ok.previous, deadline
        )
        if written.is_error():
            return Error(written.error)
        reused = len(sharded.ok.shards_by_key) - written.ok
        return self._write_index(sharded.ok.index_object, base.ok, deadline).map(
            lambda accepted: accepted._replace(
                shards_written=written.ok, shards_reused=reused
            )
        )

    def fetch(self) -> Result[tuple[int, Assembly] | None, FetchError]:
        """Return the manifest in force and its version, or None if there is none."""
        found = self._client.read(INDEX_KEY)
        if found.is_error():
            return Error(PlatformFailed(describe(found.error)))
        if found.ok is None:
            return Ok(None)
        version = found.ok.version
        return assemble(found.ok.value, partial(read_object, self._client)).map(
            lambda assembly: (version, assembly)
        )

    def _base(self, deadline: float) -> Result[_Base, SubmitError]:
        found = _insist(partial(self._client.read, INDEX_KEY), deadline)
        if found.is_error():
            return Error(PlatformFailed(describe(found.error)))
        if found.ok is None:
            return Ok(_Base(0, None))
        # An index that can't be decoded is replaced; it names nothing to keep.
        index = decode_index(found.ok.value)
        return Ok(_Base(found.ok.version, index.ok if index.is_ok() else None))

    def _write_shards(
        self,
        shards_by_key: Mapping[str, bytes],
        previous: Index | None,
        deadline: float,
    ) -> Result[int, SubmitError]:
        """Return how many shards were new to the platform.

        A shard's key is its content's digest: a conflict means that it is there, and
        repeating a write whose answer was lost is harmless.
        """
        there = set() if previous is None else set(previous.shard_keys)
        written = 0
        for key, value in shards_by_key.items():
            if key in there:
                continue
            result = _insist(partial(self._client.create, key, value), deadline)
            if result.is_ok():
                written += 1
            elif not isinstance(result.error, Conflict):
                return Error(PlatformFailed(describe(result.error)))
        return Ok(written)

    def _write_index(
        self, index: Index, base: _Base, deadline: float
    ) -> Result[Accepted, SubmitError]:
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
                return Ok(Accepted(result.ok, index.submission, 0, 0, False))
            match result.error:
                case Conflict():
                    settled = self._settle(index, base.version)
                    if settled is not None:
                        return settled
                    doubt = "the platform did not answer when read back"
                case Unavailable(_, sent):
                    doubt = doubt or (describe(result.error) if sent else "")
                case Rejected():
                    return Error(PlatformFailed(describe(result.error)))
            if not _pause(result.error, deadline):
                if doubt:
                    return Error(Unsettled(index.submission, doubt))
                return Error(PlatformFailed(describe(result.error)))

    def _put_index(self, value: bytes, version: int) -> Result[int, PlatformError]:
        if version == 0:
            return self._client.create(INDEX_KEY, value)
        return self._client.update(INDEX_KEY, value, version=version)

    def _settle(
        self, index: Index, expected: int
    ) -> Result[Accepted, SubmitError] | None:
        """Return who won, or None if that can't be read now."""
        found = self._client.read(INDEX_KEY)
        if found.is_error() or found.ok is None or found.ok.version <= expected:
            # No answer, or a stale one: the update conflicted, so there is a later one.
            return None
        return _who_won(index, found.ok, expected)


def read_object(client: PlatformClient, key: str) -> Result[bytes, FetchError]:
    """Return the value of an object that has to exist."""
    found = client.read(key)
    if found.is_error():
        return Error(PlatformFailed(describe(found.error)))
    return Error(MissingObject(key)) if found.ok is None else Ok(found.ok.value)


def _who_won(
    index: Index, found: Versioned, expected: int
) -> Result[Accepted, SubmitError]:
    current: Result[Index, BadObject] = decode_index(found.value)
    if current.is_ok() and current.ok.submission == index.submission:
        return Ok(Accepted(found.version, index.submission, 0, 0, False))
    if current.is_ok() and index.submission in current.ok.earlier:
        return Ok(Accepted(found.version, index.submission, 0, 0, True))
    return Error(LostRace(expected, found.version))


def _insist(
    call: Callable[[], Result[T, PlatformError]], deadline: float
) -> Result[T, PlatformError]:
    """Repeat an idempotent call until it is answered or the deadline has passed."""
    while True:
        result = call()
        if result.is_ok() or isinstance(result.error, Conflict | Rejected):
            return result
        if not _pause(result.error, deadline):
            return result


def _pause(error: PlatformError, deadline: float) -> bool:
    """Wait as ``error`` asks; False if the deadline would pass."""
    wait_s = error.retry_after_s if isinstance(error, RateLimited) else _RETRY_S
    if monotonic() + wait_s >= deadline:
        return False
    sleep(wait_s)
    return True


def describe(error: PlatformError) -> str:
    """Return ``error`` in a few words for an operator."""
    match error:
        case Unavailable(detail, _):
            return f"no answer ({detail})"
        case Conflict(key, version):
            return f"{key} is at version {version}"
        case RateLimited(retry_after_s):
            return f"too many calls, again in {retry_after_s:g} s"
        case Rejected(status, detail):
            return f"refused with status {status} {detail}".rstrip()
