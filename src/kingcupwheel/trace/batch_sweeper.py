"""Finding expired batches whose writers do not delete them any more.

A process deletes its own batches, but forgets them with its life, and a name that is
replaced by another never comes back. Each writer leaves a mark under its name; now and
then every process lists the marks and takes over the names that are gone from the
platform's list, each name falling to one process.
"""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

from kingcupwheel.platform.errors import Conflict
from kingcupwheel.trace.batches import BATCH_KEY_PREFIX
from kingcupwheel.trace.batches import parse_key


if TYPE_CHECKING:
    from collections.abc import Iterable

    from kingcupwheel.platform.client import PlatformClient
    from kingcupwheel.trace.batches import BatchName

WRITER_MARKER_PREFIX = "trace-writers/"
# Names listed in one sweep besides the own one, each with one call.
MAX_NAMES_PER_SWEEP = 8


def select_successor(gone_process: str, live: Iterable[str]) -> str:
    """Return the live process that takes over from ``gone``, the same everywhere."""
    return max(
        live, key=lambda name: (zlib.crc32(f"{gone_process}/{name}".encode()), name)
    )


class BatchSweeper:
    """Lists batches to delete; makes about ``MAX_NAMES`` calls a sweep."""

    def __init__(self, client: PlatformClient, process: str) -> None:
        self._client = client
        self._process = process

    def create_marker(self) -> bool:
        """Leave the mark of this writer; return whether it stands."""
        made = self._client.create(f"{WRITER_MARKER_PREFIX}{self._process}", b"")
        return made.is_ok() or isinstance(made.error, Conflict)

    def find_batches(self) -> tuple[BatchName, ...]:
        """Return the batches of the own name and of names taken over.

        What the platform does not answer is left to the next sweep.
        """
        batches = self._list_batches(self._process)
        for name in self._list_taken_over()[:MAX_NAMES_PER_SWEEP]:
            found = self._list_batches(name)
            if not found:
                self._delete_marker(name)
            batches += found
        return batches

    def _list_taken_over(self) -> tuple[str, ...]:
        listed = self._client.instances()
        marks = self._client.keys(WRITER_MARKER_PREFIX)
        # Without the list every writer would seem gone.
        if listed.is_error() or marks.is_error() or not listed.ok:
            return ()
        live = {one.name for one in listed.ok} | {self._process}
        writers = (key.removeprefix(WRITER_MARKER_PREFIX) for key in marks.ok)
        gone = (name for name in writers if name not in live)
        return tuple(
            name for name in gone if select_successor(name, live) == self._process
        )

    def _list_batches(self, name: str) -> tuple[BatchName, ...]:
        keys = self._client.keys(f"{BATCH_KEY_PREFIX}{name}/")
        if keys.is_error():
            return ()
        return tuple(batch for key in keys.ok if (batch := parse_key(key)))

    def _delete_marker(self, name: str) -> None:
        """Remove the mark of a name that has no batches left."""
        mark = self._client.read(f"{WRITER_MARKER_PREFIX}{name}")
        left = self._client.keys(f"{BATCH_KEY_PREFIX}{name}/")
        if mark.is_ok() and mark.ok and left.is_ok() and not left.ok:
            self._client.delete(mark.ok.key, version=mark.ok.version)
