"""Sweeper that finds batches whose writers no longer delete them.

A process deletes its own batches, but does not know those of its earlier incarnations,
and a process replaced under another name never returns. Each writer creates a marker
under its name. At intervals every process lists the markers and takes over names that
are no longer in the platform's list; each name has exactly one successor.
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
# In addition to the process's own name; each takes one call.
MAX_NAMES_PER_SWEEP = 8


def select_successor(gone_process: str, live_processes: Iterable[str]) -> str:
    """Return the live process that takes over, the same on every process."""
    return max(
        live_processes,
        key=lambda name: (zlib.crc32(f"{gone_process}/{name}".encode()), name),
    )


class BatchSweeper:
    """Finds batches to delete, with about ``MAX_NAMES_PER_SWEEP`` calls a sweep."""

    def __init__(self, client: PlatformClient, process: str) -> None:
        self._client = client
        self._process = process

    def create_marker(self) -> bool:
        """Create the marker of this writer; return whether it exists."""
        created = self._client.create(f"{WRITER_MARKER_PREFIX}{self._process}", b"")
        return created.is_ok() or isinstance(created.error, Conflict)

    def find_batches(self) -> tuple[BatchName, ...]:
        """Return the batches of this process and of names taken over.

        Names that the platform does not answer for are left to the next sweep.
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
        markers = self._client.keys(WRITER_MARKER_PREFIX)
        # Without the list every writer would appear to be removed.
        if listed.is_error() or markers.is_error() or not listed.ok:
            return ()
        live = {one.name for one in listed.ok} | {self._process}
        writers = (key.removeprefix(WRITER_MARKER_PREFIX) for key in markers.ok)
        removed = (name for name in writers if name not in live)
        return tuple(
            name for name in removed if select_successor(name, live) == self._process
        )

    def _list_batches(self, name: str) -> tuple[BatchName, ...]:
        keys = self._client.keys(f"{BATCH_KEY_PREFIX}{name}/")
        if keys.is_error():
            return ()
        return tuple(batch for key in keys.ok if (batch := parse_key(key)))

    def _delete_marker(self, name: str) -> None:
        """Delete the marker of a name without remaining batches."""
        marker = self._client.read(f"{WRITER_MARKER_PREFIX}{name}")
        remaining = self._client.keys(f"{BATCH_KEY_PREFIX}{name}/")
        if marker.is_ok() and marker.ok and remaining.is_ok() and not remaining.ok:
            self._client.delete(marker.ok.key, version=marker.ok.version)
