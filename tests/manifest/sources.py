"""Sources of manifest objects for tests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result

from kingcupwheel.manifest.exceptions import MissingObject


if TYPE_CHECKING:
    from kingcupwheel.manifest.assembly import ObjectSource
    from kingcupwheel.manifest.exceptions import FetchError
    from kingcupwheel.manifest.shards import ShardedManifest


def source_of(sharded: ShardedManifest) -> ObjectSource:
    """Return a source that reads from ``sharded``."""

    def read(key: str) -> Result[bytes, FetchError]:
        value = sharded.shards_by_key.get(key)
        return Error(MissingObject(key)) if value is None else Ok(value)

    return read
